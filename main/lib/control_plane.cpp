#include "main/lib/control_plane.h"

#include "core/clock.h"
#include "core/hash.h"
#include "core/log.h"
#include "main/lib/reserve_wire.h"
#include "peers/instance/membership_wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(20);
constexpr absl::Duration kMembershipPeriod = absl::Milliseconds(100);
constexpr absl::Duration kRosterPeriod = absl::Seconds(1);
constexpr absl::Duration kListPullPeriod = absl::Seconds(2);
constexpr absl::Duration kSummaryPeriod = absl::Milliseconds(500);
constexpr absl::Duration kPermitReportPeriod = absl::Seconds(5);
constexpr absl::Duration kPullTimeout = absl::Seconds(1);
/** Time after the caller's deadline for which an owner's reply is still awaited. */
constexpr absl::Duration kReplyMargin = absl::Milliseconds(50);
constexpr std::size_t kPollLoops = 4;
/** Instances of a domain that read the platform's instance list. */
constexpr std::size_t kWatchersPerDomain = 2;

MemberUpdate selfUpdate(const ControlOptions &options)
{
    MemberUpdate self;
    self.instance = options.self;
    self.domain = options.domain;
    self.address = options.address;
    self.incarnation = options.incarnation;
    return self;
}

OwnershipOptions ownershipOptions(const ControlOptions &options)
{
    OwnershipOptions ownership;
    ownership.self = {options.self, options.incarnation};
    ownership.domain = options.domain;
    ownership.admissionPolicy = options.admissionPolicy;
    ownership.timing.reportLag = options.reportLag;
    return ownership;
}

SpreadSettings spreadSettings(const ControlOptions &options)
{
    SpreadSettings settings;
    settings.self = options.self;
    settings.domain = options.domain;
    for (const PeerEntry &peer : options.peers.entries()) {
        if (peer.domain == options.domain && peer.id != options.self)
            settings.seedPeers.push_back(peer.id);
    }
    return settings;
}

} // namespace

ControlPlane::ControlPlane(ControlOptions controlOptions, PlatformClient &platform,
                           EngineClient &engines, Metrics &metrics)
    : options(std::move(controlOptions))
    , platform(platform)
    , engines(engines)
    , metrics(metrics)
    , routingView(std::make_unique<RoutingView>())
    , servingState(std::make_unique<ServingState>())
    , membership(selfUpdate(this->options), this->options.incarnation)
    , ownership(ownershipOptions(this->options),
                [this](const ShareAction &action) { this->sendShares(action); })
    , limits({this->options.self, this->options.incarnation},
             this->options.peers.domainCount(this->options.domain),
             [this](const InstanceId &to, MessageKind kind, const std::string &payload) {
                 this->sendDatagram(to, kind, payload);
             })
{
    this->viewBuilder.setLocalDomain(this->options.domain);
}

ControlPlane::~ControlPlane()
{
    this->stop();
}

void ControlPlane::start(InstanceTransport &instanceTransport)
{
    this->transport = &instanceTransport;
    this->loop = std::make_unique<EventLoop>("control");
    for (std::size_t i = 0; i < kPollLoops; ++i)
        this->pollers.push_back(std::make_unique<EventLoop>("engine-poll"));
    this->rosterWriter = std::make_unique<RosterWriter>(
        this->options.self, this->options.incarnation, this->options.domain, this->platform);
    this->spread = std::make_unique<DocumentSpread>(
        spreadSettings(this->options), *this->loop, this->platform, *this,
        [this](const Document &document) { this->onDocument(document); });
    this->platformList = std::make_unique<PlatformList>(
        this->platform, this->options.platformPoll, [this](const InstanceListSnapshot &list) {
            this->loop->post([this, list] { this->onInstanceList(list); });
        });
    this->loop->post([this] {
        std::vector<KnownInstance> known;
        for (const PeerEntry &peer : this->options.peers.entries())
            known.push_back({peer.id, peer.domain, peer.address});
        this->apply(this->membership.addKnown(known, Clock::now()));
    });
    this->loop->every(kTickPeriod, [this] { this->onTick(); });
    this->loop->every(kMembershipPeriod, [this] { this->onMembershipTick(); });
    this->loop->every(kRosterPeriod, [this] { this->updateRoster(); });
    this->loop->every(kListPullPeriod, [this] { this->pullInstanceList(); });
    this->loop->every(this->options.enginePoll, [this] { this->pollEngines(); });
}

void ControlPlane::stop()
{
    if (this->loop == nullptr)
        return;
    for (const std::unique_ptr<EventLoop> &poller : this->pollers)
        poller->stop();
    this->platformList->stop();
    this->rosterWriter->stop();
    this->spread->stop();
    this->loop->stop();
}

void ControlPlane::leave()
{
    this->leaving.store(true);
    this->ready.store(false);
    this->loop->post([this] {
        const absl::Time now = Clock::now();
        this->ownership.leave(now);
        this->apply(this->membership.leave(now));
        this->nextSummaries = absl::InfinitePast();
    });
}

void ControlPlane::onInstanceList(const InstanceListSnapshot &list)
{
    const absl::Time now = Clock::now();
    const bool isChanged = list.digest != this->instanceList.digest;
    this->instanceList = list;
    std::vector<ListedInstance> listed;
    std::vector<InstanceId> listedIds;
    for (const InstanceEntry &entry : list.entries) {
        if (entry.kind != InstanceKind::Entry || entry.domain != this->options.domain)
            continue;
        listedIds.emplace_back(entry.id);
    }
    const std::vector<RosterMember> members = this->domainMembers(list.entries);
    listed.reserve(members.size());
    for (const RosterMember &member : members)
        listed.push_back({member.instance, member.incarnation, false});
    this->rosterWriter->onInstanceList(listed, now);
    this->ownership.onInstanceList(members, now);
    this->spread->plan().onInstanceList(listedIds, list.requestedAt);
    if (!isChanged)
        return;
    DomainGroups groups;
    this->current.services.clear();
    for (const InstanceEntry &entry : list.entries) {
        if (entry.kind == InstanceKind::Service && !entry.isLeaving)
            this->current.services[entry.service].push_back(entry);
        if (entry.kind == InstanceKind::Engine && entry.domain == this->options.domain)
            groups[entry.group].push_back(entry.backendServer());
    }
    this->servingState.publish(std::make_unique<ServingState>(this->current));
    this->ownership.setGroups(std::move(groups), now);
}

std::vector<RosterMember> ControlPlane::domainMembers(const std::vector<InstanceEntry> &list) const
{
    // The platform's incarnation numbers differ from ours, so the incarnation that the process
    // itself announces is used. The platform never runs two processes with the same name.
    std::vector<RosterMember> members;
    for (const InstanceEntry &entry : list) {
        if (entry.kind != InstanceKind::Entry || entry.domain != this->options.domain)
            continue;
        const InstanceId id(entry.id);
        if (id == this->options.self) {
            members.push_back({id, this->options.incarnation});
            continue;
        }
        const MemberTable::Member *member = this->membership.members().find(id);
        Incarnation incarnation = member == nullptr ? 0 : member->update.incarnation;
        for (const RosterDocument::Member &known : this->roster.members) {
            if (known.id == id)
                incarnation = std::max(incarnation, known.incarnation);
        }
        if (incarnation != 0)
            members.push_back({id, incarnation});
    }
    std::sort(members.begin(), members.end());
    return members;
}

void ControlPlane::onDocument(const Document &document)
{
    DocumentProblems problems;
    const absl::Time now = Clock::now();
    this->apply(this->membership.setDocument(static_cast<GossipDocument>(indexOf(document.kind)),
                                             document.number, now));
    switch (document.kind) {
    case DocumentKind::ReleaseNote: {
        const Result<ReleaseNote> note = ReleaseNote::parse(document.body, problems);
        if (!note.ok())
            return;
        this->current.note = *note;
        this->current.indexCustomers();
        this->limits.setCustomers(this->current.note.state.customers, now);
        this->servingState.publish(std::make_unique<ServingState>(this->current));
        return;
    }
    case DocumentKind::OutOfServiceList: {
        const Result<OutOfServiceList> list = OutOfServiceList::parse(document.body, problems);
        if (list.ok())
            this->onOutOfServiceList(*list);
        return;
    }
    case DocumentKind::Roster: {
        const Result<RosterDocument> parsed = RosterDocument::parse(document.body, problems);
        if (!parsed.ok())
            return;
        this->roster = *parsed;
        this->ownership.setRoster(toShareRoster(*parsed, this->options.domain), now);
        this->limits.setRoster(this->ownership.roster(), now);
        return;
    }
    }
}

void ControlPlane::onOutOfServiceList(const OutOfServiceList &list)
{
    for (const OutOfServiceList::Entry &domain : this->current.outOfServiceList.failureDomains)
        this->viewBuilder.setDomainOutOfService(FailureDomainId(domain.id), false);
    for (const OutOfServiceList::Entry &domain : list.failureDomains)
        this->viewBuilder.setDomainOutOfService(FailureDomainId(domain.id), true);
    this->current.outOfServiceList = list;
    this->servingState.publish(std::make_unique<ServingState>(this->current));
    this->isOwnDomainOutOfService = list.isOutOfService(this->options.domain);
    // An instance that has returned its shares gets new ones only after a restart; see
    // docs/operators.md.
    if (list.isOutOfService(this->options.self) && !this->leaving.load())
        this->leave();
    this->ownership.setOutOfService(this->isOwnDomainOutOfService, Clock::now());
    this->publishView();
}

InstanceId ControlPlane::ownerOf(const GroupId &group) const
{
    if (this->ownership.isOfDomain(group))
        return this->ownership.ownerOf(group);
    const auto summary = this->summaryOwners.find(group);
    return summary == this->summaryOwners.end() ? InstanceId() : summary->second;
}

std::string ControlPlane::addressOf(const InstanceId &instance) const
{
    const MemberTable::Member *member = this->membership.members().find(instance);
    return member == nullptr ? std::string() : member->update.address;
}

void ControlPlane::pollEngines()
{
    for (const auto &[group, ownedGroup] : this->ownership.owned()) {
        for (const BackendServer &server : ownedGroup->servers()) {
            EventLoop &poller = *this->pollers[stableHash(server.id.str()) % this->pollers.size()];
            poller.post([this, group = group, id = server.id, address = server.address] {
                const Result<LoadReport> report = this->engines.at(address)->load();
                this->loop->post([this, group, id, report] {
                    if (report.ok())
                        this->ownership.onLoadReport(group, *report, Clock::now());
                    else if (report.error() == Error::ConnectionFailed)
                        this->ownership.onServerLost(group, id, Clock::now());
                });
            });
        }
    }
}

void ControlPlane::reserve(const GroupId &group, const RequestProfile &profile, Callback callback)
{
    this->loop->post([this, group, profile, callback = std::move(callback)] {
        const InstanceId owner = this->ownerOf(group);
        const Callback recording = [this, owner, group, profile,
                                    callback](const Result<ReserveReply> &reply) {
            if (reply.ok() && reply->granted)
                this->recordPermit(owner, group, profile, reply->grant);
            callback(reply);
        };
        if (owner == this->options.self)
            this->ownership.reserve(group, {profile, this->options.self, this->options.incarnation},
                                    recording, Clock::now());
        else
            this->reserveRemote(owner, group, profile, recording);
    });
}

void ControlPlane::reserveRemote(const InstanceId &owner, const GroupId &group,
                                 const RequestProfile &profile, Callback callback)
{
    const std::string address = this->addressOf(owner);
    if (address.empty())
        return callback(Error::ConnectionFailed);
    const absl::Duration remaining = profile.deadline - Clock::now();
    this->transport->call(
        address, MessageKind::ReserveRequest,
        packMessage(ReserveRequestMessage {group, profile, remaining}), remaining + kReplyMargin,
        [this, callback = std::move(callback)](const Result<Envelope> &envelope) {
            this->loop->post([callback, reply = toReserveReply(envelope)] { callback(reply); });
        });
}

void ControlPlane::recordPermit(const InstanceId &owner, const GroupId &group,
                                const RequestProfile &profile, const Grant &grant)
{
    HeldPermit held;
    held.permit = grant.permit;
    held.servers = grant.servers;
    held.tokens = profile.memoryTokens();
    held.isLong = profile.promptTokens > kLongPromptTokens;
    held.isSuspect = profile.deathsSeen > 0;
    held.fingerprint = profile.fingerprint;
    held.deadline = profile.deadline;
    this->permits[grant.permit] = {owner, group, std::move(held)};
}

void ControlPlane::cancelReserve(const GroupId &group, const RequestId &request)
{
    this->loop->post([this, group, request] {
        const InstanceId owner = this->ownerOf(group);
        if (owner == this->options.self)
            return this->ownership.withdraw(group, request, Clock::now());
        this->transport->send(this->addressOf(owner), MessageKind::ReserveCancel,
                              packMessage(ReserveCancelMessage {group, request}));
    });
}

void ControlPlane::release(const GroupId &group, const PermitRelease &release)
{
    this->loop->post([this, group, release] {
        const auto permit = this->permits.find(release.permit);
        if (permit == this->permits.end())
            return;
        const InstanceId owner = permit->second.owner;
        this->permits.erase(permit);
        if (owner == this->options.self)
            return this->ownership.release(group, release, Clock::now());
        this->transport->send(this->addressOf(owner), MessageKind::PermitRelease,
                              packMessage(PermitReleaseMessage {group, release}));
    });
}

void ControlPlane::reportSuspect(const ReportSuspect &suspect, const Fingerprint &fingerprint)
{
    EventLoop &poller = *this->pollers[stableHash(suspect.server.str()) % this->pollers.size()];
    poller.post([this, suspect, fingerprint] {
        // Only a server that is gone or has restarted counts as dead; a broken connection alone
        // does not.
        const Result<LoadReport> report = this->engines.at(suspect.address)->load();
        const bool isDead = report.ok() ? report->incarnation != suspect.incarnation
                                        : report.error() == Error::ConnectionFailed;
        logEvent(LogLevel::Warning, "stream_broken",
                 {{"server", suspect.server.str()}, {"server_died", isDead}});
        if (!isDead)
            return;
        this->loop->post([this, suspect, fingerprint] {
            const absl::Time now = Clock::now();
            for (const CrashReportEntry &crashReport : this->suspects.onServerDeath(
                     suspect.server, suspect.incarnation, fingerprint, now))
                this->membership.addCrashReport(crashReport, now);
            this->ownership.onSuspect(fingerprint, this->suspects.deathsSeen(fingerprint, now),
                                      now);
        });
    });
}

std::uint32_t ControlPlane::deathsSeen(const Fingerprint &fingerprint) const
{
    return this->suspects.deathsSeen(fingerprint, Clock::now());
}

void ControlPlane::pull(const PullDocument &request, Answer answer)
{
    const DocumentPullMessage message {static_cast<std::uint8_t>(request.kind), request.held,
                                       request.wantsBody};
    this->transport->call(
        this->addressOf(request.to), MessageKind::DocumentPull, packMessage(message), kPullTimeout,
        [this, kind = request.kind, answer = std::move(answer)](const Result<Envelope> &envelope) {
            Result<DocumentAnswer> result = envelope.error();
            if (envelope.ok()) {
                const auto body = unpackMessage<DocumentBodyMessage>(envelope->payload);
                result = body.error();
                if (body.ok()) {
                    DocumentAnswer parsed {kind, body->number, body->isSettled, std::nullopt};
                    if (!body->body.empty())
                        parsed.document = Document::make(kind, body->number, body->body);
                    result = std::move(parsed);
                }
            }
            this->loop->post([answer, result] { answer(result); });
        });
}

void ControlPlane::pullInstanceList()
{
    const bool isWatcher = this->membership.ranked().isSelfAmong(kWatchersPerDomain);
    this->platformList->setWatching(isWatcher);
    if (isWatcher)
        return;
    const std::vector<InstanceId> watchers =
        this->membership.ranked().lowest(this->options.domain, kWatchersPerDomain);
    if (watchers.empty())
        return;
    // Spreads the requests over the instances that read the platform's list; their copies differ
    // only by the platform's lag.
    const InstanceId &watcher = watchers[stableHash(this->options.self.str()) % watchers.size()];
    this->transport->call(
        this->addressOf(watcher), MessageKind::InstanceListPull,
        packMessage(InstanceListPullMessage {this->instanceList.digest}), kPullTimeout,
        [this, requestedAt = Clock::now()](const Result<Envelope> &envelope) {
            if (!envelope.ok())
                return;
            auto body = unpackMessage<InstanceListBodyMessage>(envelope->payload);
            if (!body.ok())
                return;
            this->loop->post([this, requestedAt, text = std::move(body->body)] {
                if (text.empty()) {
                    this->instanceList.requestedAt = requestedAt;
                    return this->onInstanceList(InstanceListSnapshot(this->instanceList));
                }
                const Result<InstanceListSnapshot> list = parseInstanceList(text, requestedAt);
                if (list.ok())
                    this->onInstanceList(*list);
            });
        });
}

void ControlPlane::onMessage(const Envelope &message, const InstanceTransport::Reply &reply)
{
    this->loop->post([this, message, reply] { this->handle(message, reply); });
}

void ControlPlane::handle(const Envelope &message, const InstanceTransport::Reply &reply)
{
    const absl::Time now = Clock::now();
    switch (message.kind) {
    case MessageKind::Gossip:
        return this->handleGossip(message, now);
    case MessageKind::LoanRequest: {
        const auto request = unpackMessage<LoanRequest>(message.payload);
        if (request.ok())
            this->ownership.onLoanRequest(*request, now);
        return;
    }
    case MessageKind::LoanOffer: {
        const auto offer = unpackMessage<LoanOffer>(message.payload);
        if (offer.ok())
            this->ownership.onLoanOffer(*offer, now);
        return;
    }
    case MessageKind::QuotaRequest:
    case MessageKind::QuotaGrant:
        return this->limits.onMessage(message, now);
    case MessageKind::ReserveRequest:
        return this->handleReserve(message, reply);
    case MessageKind::ReserveCancel: {
        const auto cancel = unpackMessage<ReserveCancelMessage>(message.payload);
        if (cancel.ok())
            this->ownership.withdraw(cancel->group, cancel->request, now);
        return;
    }
    case MessageKind::PermitRelease: {
        const auto release = unpackMessage<PermitReleaseMessage>(message.payload);
        if (release.ok())
            this->ownership.release(release->group, release->release, now);
        return;
    }
    case MessageKind::PermitReport:
        return this->handlePermitReport(message, now);
    case MessageKind::DocumentPull:
        return this->handleDocumentPull(message, reply);
    case MessageKind::InstanceListPull: {
        const auto request = unpackMessage<InstanceListPullMessage>(message.payload);
        if (!request.ok() || !reply)
            return;
        InstanceListBodyMessage body {this->instanceList.digest, ""};
        if (request->digest != this->instanceList.digest)
            body.body = this->instanceList.text;
        return reply(MessageKind::InstanceListBody, packMessage(body));
    }
    default:
        return;
    }
}

void ControlPlane::handleReserve(const Envelope &message, const InstanceTransport::Reply &reply)
{
    auto request = unpackMessage<ReserveRequestMessage>(message.payload);
    if (!request.ok() || !reply)
        return;
    const absl::Time now = Clock::now();
    request->profile.deadline = now + request->remaining;
    this->ownership.reserve(
        request->group, {request->profile, message.sender, message.incarnation},
        [reply](const Result<ReserveReply> &result) {
            reply(MessageKind::ReserveReply, packMessage(toMessage(result)));
        },
        now);
}

void ControlPlane::handlePermitReport(const Envelope &message, absl::Time now)
{
    const auto report = unpackMessage<PermitReportMessage>(message.payload);
    if (!report.ok())
        return;
    PermitReport held {message.sender, message.incarnation, {}};
    for (const PermitReportMessage::Held &entry : report->permits)
        held.held.push_back({entry.permit, entry.servers, entry.tokens, entry.isLong,
                             entry.isSuspect, entry.fingerprint, now + entry.remaining});
    this->ownership.onPermitReport(report->group, held, now);
}

void ControlPlane::handleDocumentPull(const Envelope &message,
                                      const InstanceTransport::Reply &reply)
{
    const auto request = unpackMessage<DocumentPullMessage>(message.payload);
    if (!request.ok() || !reply || request->kind >= kDocumentKindCount)
        return;
    const DocumentAnswer answer =
        this->spread->plan().answerPull(message.sender, static_cast<DocumentKind>(request->kind),
                                        request->held, request->wantsBody);
    DocumentBodyMessage body;
    body.kind = request->kind;
    body.number = answer.number;
    body.isSettled = answer.isSettled;
    if (answer.document.has_value())
        body.body = answer.document->body;
    reply(MessageKind::DocumentBody, packMessage(body));
}

void ControlPlane::handleGossip(const Envelope &message, absl::Time now)
{
    const auto datagram = unpackMessage<MembershipDatagram>(message.payload);
    if (!datagram.ok())
        return;
    const Result<MembershipActions> actions = this->membership.onDatagram(datagram->message, now);
    if (!actions.ok()) {
        this->metrics
            .counter("foxtailtally_peer_messages_dropped_total",
                     {{"error", errorName(actions.error())}})
            .add();
        return;
    }
    this->spread->plan().onGossip(message.sender, datagram->documents);
    this->apply(*actions);
}

void ControlPlane::apply(const MembershipActions &actions)
{
    const absl::Time now = Clock::now();
    for (const MembershipAction &action : actions) {
        if (const auto *send = std::get_if<SendMembership>(&action)) {
            const MembershipDatagram datagram {send->message, this->spread->plan().gossip()};
            this->transport->sendDatagram(send->address, MessageKind::Gossip,
                                          packMessage(datagram));
        } else if (const auto *changed = std::get_if<PeerChanged>(&action)) {
            const MemberUpdate &member = changed->member;
            const RosterMember peer {member.instance, member.incarnation};
            logEvent(LogLevel::Info, "peer_changed",
                     {{"peer", member.instance.str()}, {"state", peerStateName(member.state)}});
            if (member.domain == this->options.domain)
                this->ownership.onPeerState(peer, member.state, now);
            this->ownership.onPeerSettled(peer, member.settledRoster, now);
            if (member.state == PeerState::Dead)
                this->ownership.onInstanceDead(peer, now);
            this->updateSpreadPeers();
        } else if (const auto *crashReport = std::get_if<CrashReportReceived>(&action)) {
            const auto fingerprint = this->suspects.onCrashReport(crashReport->crashReport, now);
            if (fingerprint.has_value())
                this->ownership.onSuspect(*fingerprint,
                                          this->suspects.deathsSeen(*fingerprint, now), now);
        }
    }
}

void ControlPlane::sendShares(const ShareAction &action)
{
    if (const auto *request = std::get_if<SendLoanRequest>(&action))
        this->sendDatagram(request->to, MessageKind::LoanRequest, packMessage(request->request));
    else if (const auto *offer = std::get_if<SendLoanOffer>(&action))
        this->sendDatagram(offer->to, MessageKind::LoanOffer, packMessage(offer->offer));
}

void ControlPlane::sendDatagram(const InstanceId &to, MessageKind kind, const std::string &payload)
{
    this->transport->sendDatagram(this->addressOf(to), kind, payload);
}

void ControlPlane::onTick()
{
    const absl::Time now = Clock::now();
    this->ownership.onTick(now);
    this->spread->onTick(now);
    if (now >= this->nextSummaries) {
        this->nextSummaries = now + kSummaryPeriod;
        this->updateSummaries(now);
        this->publishView();
    }
    if (now >= this->nextReports) {
        this->nextReports = now + kPermitReportPeriod;
        this->sendPermitReports();
    }
}

void ControlPlane::onMembershipTick()
{
    const absl::Time now = Clock::now();
    this->membership.setSettledRoster(this->ownership.settledVersion());
    this->apply(this->membership.onTick(now));
    this->suspects.onTick(now);
    this->limits.onTick(
        [this, now](const RosterMember &member, std::uint64_t version) {
            return this->ownership.hasRelinquished(member, version, now);
        },
        now);
}

void ControlPlane::updateSpreadPeers()
{
    std::vector<InstanceId> live {this->options.self};
    for (const auto &[id, member] : this->membership.members().members()) {
        if (member.update.domain == this->options.domain && isServing(member.update.state))
            live.push_back(id);
    }
    this->spread->plan().setLive(live);
}

void ControlPlane::updateRoster()
{
    this->updateSpreadPeers();
    if (!this->spread->plan().isSettled() || !this->membership.ranked().isSelfAmong(1))
        return;
    const absl::Time now = Clock::now();
    this->rosterWriter->update(
        this->roster,
        [this, now](const RosterMember &member, std::uint64_t version) {
            return this->ownership.hasRelinquished(member, version, now);
        },
        now, Clock::wallNow());
}

void ControlPlane::updateSummaries(absl::Time now)
{
    for (const auto &[id, group] : this->ownership.owned()) {
        GroupSummary summary = group->admission().summary(now);
        summary.accepting =
            summary.accepting && !this->leaving.load() && !this->isOwnDomainOutOfService;
        this->membership.setSummary(summary, now);
    }
    for (const GroupSummary &summary : this->membership.summaries(now)) {
        this->viewBuilder.setSummary(summary, now);
        this->summaryOwners[summary.group] = summary.owner;
    }
}

void ControlPlane::sendPermitReports()
{
    absl::flat_hash_map<std::pair<InstanceId, GroupId>, PermitReportMessage> reports;
    const absl::Time now = Clock::now();
    for (const auto &[id, permit] : this->permits) {
        if (permit.owner == this->options.self)
            continue;
        PermitReportMessage &report = reports[{permit.owner, permit.group}];
        report.group = permit.group;
        report.permits.push_back({id, permit.held.servers, permit.held.tokens, permit.held.isLong,
                                  permit.held.isSuspect, permit.held.fingerprint,
                                  permit.held.deadline - now});
    }
    for (const auto &[target, report] : reports)
        this->transport->send(this->addressOf(target.first), MessageKind::PermitReport,
                              packMessage(report));
}

void ControlPlane::publishView()
{
    std::unique_ptr<const RoutingView> next = this->viewBuilder.build();
    const auto groups = next->groups();
    const bool canServe = this->current.note.number > 0 && this->spread->plan().isReady()
        && this->limits.isReady(Clock::now())
        && std::any_of(groups.begin(), groups.end(),
                       [](const RoutingGroup &group) { return group.mayTakeRequests(); });
    this->routingView.publish(std::move(next));
    this->ready.store(canServe && !this->leaving.load());
}

} // namespace foxtailtally
