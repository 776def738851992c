#include "main/lib/control_plane.h"

#include "core/clock.h"
#include "core/hash.h"
#include "core/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(20);
constexpr absl::Duration kSummaryPeriod = absl::Milliseconds(500);
constexpr absl::Duration kPermitReportPeriod = absl::Seconds(5);
constexpr absl::Duration kNoteWatch = absl::Seconds(20);
constexpr absl::Duration kNoteRetry = absl::Milliseconds(500);
/** Time beyond the caller's deadline after which an owner's answer is of no use. */
constexpr absl::Duration kReplyMargin = absl::Milliseconds(50);
constexpr std::size_t kPollLoops = 4;
constexpr std::size_t kSummariesPerDatagram = 6;

} // namespace

ControlPlane::ControlPlane(ControlOptions controlOptions, PlatformClient &platform,
                           EngineClient &engines, Metrics &metrics)
    : options(std::move(controlOptions))
    , platform(platform)
    , engines(engines)
    , metrics(metrics)
    , routingView(std::make_unique<RoutingView>())
    , servingState(std::make_unique<ServingState>())
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
    this->platformLoop = std::make_unique<EventLoop>("platform");
    this->noteLoop = std::make_unique<EventLoop>("note-watch");
    for (std::size_t i = 0; i < kPollLoops; ++i)
        this->pollers.push_back(std::make_unique<EventLoop>("engine-poll"));
    this->platformLoop->post([this] { this->readInstanceList(); });
    this->platformLoop->every(this->options.platformPoll, [this] { this->readInstanceList(); });
    this->noteLoop->post([this] { this->readNote(); });
    this->loop->every(this->options.enginePoll, [this] { this->pollEngines(); });
    this->loop->every(kTickPeriod, [this] { this->onTick(); });
}

void ControlPlane::stop()
{
    if (this->loop == nullptr)
        return;
    for (const std::unique_ptr<EventLoop> &poller : this->pollers)
        poller->stop();
    this->platformLoop->stop();
    this->noteLoop->stop();
    this->loop->stop();
}

void ControlPlane::leave()
{
    this->leaving.store(true);
    this->loop->post([this] {
        for (const auto &[id, group] : this->owned)
            group->answer(group->admission().stop(RefusalReason::Leaving, Clock::now()));
        this->nextSummaries = absl::InfinitePast();
    });
}

void ControlPlane::readInstanceList()
{
    const Result<std::vector<InstanceEntry>> list = this->platform.instances();
    if (!list.ok()) {
        logEvent(LogLevel::Warning, "instance_list_unreadable",
                 {{"error", errorName(list.error())}});
        return;
    }
    this->loop->post([this, entriesRead = *list] { this->onInstanceList(entriesRead); });
}

void ControlPlane::readNote()
{
    const auto object = this->platform.watch("notes/current", this->noteVersion, kNoteWatch);
    if (object.ok() && object->has_value()) {
        const StoredObject stored = **object;
        this->noteVersion = stored.version;
        DocumentProblems problems;
        Result<ReleaseNote> note = ReleaseNote::parse(stored.value, problems);
        if (note.ok()) {
            this->loop->post([this, accepted = std::move(*note)] {
                if (accepted.number <= this->current.note.number)
                    return;
                this->current.note = accepted;
                this->current.indexCustomers();
                this->servingState.publish(std::make_unique<ServingState>(this->current));
                logEvent(LogLevel::Info, "release_note_in_force", {{"number", accepted.number}});
            });
        }
    }
    const absl::Duration pause = object.ok() ? absl::ZeroDuration() : kNoteRetry;
    this->noteLoop->postAt(Clock::now() + pause, [this] { this->readNote(); });
}

void ControlPlane::onInstanceList(const std::vector<InstanceEntry> &list)
{
    this->entries.clear();
    this->domainGroups.clear();
    this->current.services.clear();
    for (const InstanceEntry &entry : list) {
        if (entry.kind == InstanceKind::Entry)
            this->entries.push_back(entry);
        else if (entry.kind == InstanceKind::Service && !entry.isLeaving)
            this->current.services[entry.service].push_back(entry);
        else if (entry.kind == InstanceKind::Engine && entry.domain == this->options.domain)
            this->domainGroups[entry.group].push_back(entry.backendServer());
    }
    this->servingState.publish(std::make_unique<ServingState>(this->current));
    this->updateOwnership(Clock::now());
}

InstanceId ControlPlane::ownerOf(const GroupId &group) const
{
    const auto summary = this->summaryOwners.find(group);
    if (summary != this->summaryOwners.end() && !this->domainGroups.contains(group))
        return summary->second;
    InstanceId best;
    std::uint64_t bestWeight = 0;
    for (const InstanceEntry &entry : this->entries) {
        if (entry.isLeaving || entry.domain != this->options.domain)
            continue;
        const std::uint64_t weight = rendezvousWeight(group.str(), entry.id);
        if (best.isEmpty() || weight > bestWeight) {
            best = InstanceId(entry.id);
            bestWeight = weight;
        }
    }
    return best;
}

void ControlPlane::updateOwnership(absl::Time now)
{
    for (const auto &[group, servers] : this->domainGroups) {
        const bool mine = this->ownerOf(group) == this->options.self;
        const auto found = this->owned.find(group);
        if (!mine && found != this->owned.end()) {
            found->second->failWaiting();
            this->owned.erase(found);
        }
        if (!mine)
            continue;
        if (found == this->owned.end()) {
            const Result<AdmissionOptions> admission =
                AdmissionOptionsBuilder()
                    .setGroup(group, this->options.domain, servers.front().model)
                    .setOwner(this->options.self, this->options.incarnation)
                    .build();
            if (!admission.ok())
                continue;
            this->owned[group] = std::make_unique<OwnedGroup>(
                makeAdmissionPolicy(this->options.admissionPolicy, *admission), servers);
        }
        OwnedGroup &own = *this->owned[group];
        own.setServers(servers);
        std::vector<UsableUnits> limits;
        for (const BackendServer &server : servers)
            limits.push_back({server.id, server.coldLimit, server.memoryTokens});
        own.answer(own.admission().setServers(servers, now));
        own.answer(own.admission().setLimits(limits, now));
    }
}

std::string ControlPlane::addressOf(const InstanceId &instance) const
{
    const PeerEntry *peer = this->options.peers.find(instance);
    return peer == nullptr ? std::string() : peer->address;
}

void ControlPlane::pollEngines()
{
    for (const auto &[group, own] : this->owned) {
        for (const BackendServer &server : own->servers()) {
            EventLoop &poller = *this->pollers[stableHash(server.id.str()) % this->pollers.size()];
            poller.post([this, group = group, id = server.id, address = server.address] {
                const Result<LoadReport> report = this->engines.at(address)->load();
                this->loop->post([this, group, id, report] { this->onReport(group, id, report); });
            });
        }
    }
}

void ControlPlane::onReport(const GroupId &group, const BackendServerId &server,
                            const Result<LoadReport> &report)
{
    const auto found = this->owned.find(group);
    if (found == this->owned.end())
        return;
    OwnedGroup &own = *found->second;
    const absl::Time now = Clock::now();
    if (report.ok())
        own.answer(own.admission().onLoadReport(*report, now));
    else if (report.error() == Error::ConnectionFailed)
        own.answer(own.admission().onServerLost(server, now));
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
            this->reserveHere(group, {profile, this->options.self, this->options.incarnation},
                              recording);
        else
            this->reserveRemote(owner, group, profile, recording);
    });
}

void ControlPlane::reserveHere(const GroupId &group, const ReserveRequest &request,
                               Callback callback)
{
    const auto found = this->owned.find(group);
    if (found == this->owned.end()) {
        ReserveReply reply;
        reply.refusal = {RefusalReason::NotOwner, true, absl::Milliseconds(500)};
        return callback(reply);
    }
    OwnedGroup &own = *found->second;
    own.addWaiting(request.profile.id, std::move(callback));
    own.answer(own.admission().reserve(request, Clock::now()));
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
            Result<ReserveReply> reply = envelope.error();
            if (envelope.ok()) {
                const auto message = unpackMessage<ReserveReplyMessage>(envelope->payload);
                reply = message.error();
                if (message.ok())
                    reply = ReserveReply {
                        {}, message->granted, message->grant, message->addresses, message->refusal};
            }
            this->loop->post([callback, reply] { callback(reply); });
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
    held.deadline = profile.deadline;
    this->permits[grant.permit] = {owner, group, std::move(held)};
}

void ControlPlane::cancelReserve(const GroupId &group, const RequestId &request)
{
    this->loop->post([this, group, request] {
        const InstanceId owner = this->ownerOf(group);
        if (owner != this->options.self) {
            this->transport->send(this->addressOf(owner), MessageKind::ReserveCancel,
                                  packMessage(ReserveCancelMessage {group, request}));
            return;
        }
        const auto found = this->owned.find(group);
        if (found == this->owned.end())
            return;
        found->second->dropWaiting(request);
        found->second->answer(found->second->admission().withdraw(request, Clock::now()));
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
        if (owner != this->options.self) {
            this->transport->send(this->addressOf(owner), MessageKind::PermitRelease,
                                  packMessage(PermitReleaseMessage {group, release}));
            return;
        }
        const auto found = this->owned.find(group);
        if (found != this->owned.end())
            found->second->answer(found->second->admission().release(release, Clock::now()));
    });
}

void ControlPlane::reportSuspect(const BackendServerId &server, const Fingerprint & /*fingerprint*/)
{
    logEvent(LogLevel::Warning, "stream_broken", {{"server", server.str()}});
}

void ControlPlane::onMessage(const Envelope &message, const InstanceTransport::Reply &reply)
{
    this->loop->post([this, message, reply] { this->handle(message, reply); });
}

void ControlPlane::handle(const Envelope &message, const InstanceTransport::Reply &reply)
{
    const absl::Time now = Clock::now();
    switch (message.kind) {
    case MessageKind::ReserveRequest:
        return this->handleReserve(message, reply);
    case MessageKind::Gossip:
        return this->handleGossip(message);
    case MessageKind::ReserveCancel: {
        const auto cancel = unpackMessage<ReserveCancelMessage>(message.payload);
        if (!cancel.ok())
            return;
        const auto found = this->owned.find(cancel->group);
        if (found == this->owned.end())
            return;
        found->second->dropWaiting(cancel->request);
        return found->second->answer(found->second->admission().withdraw(cancel->request, now));
    }
    case MessageKind::PermitRelease: {
        const auto release = unpackMessage<PermitReleaseMessage>(message.payload);
        if (!release.ok())
            return;
        const auto found = this->owned.find(release->group);
        if (found != this->owned.end())
            found->second->answer(found->second->admission().release(release->release, now));
        return;
    }
    case MessageKind::PermitReport: {
        const auto report = unpackMessage<PermitReportMessage>(message.payload);
        if (!report.ok())
            return;
        const auto found = this->owned.find(report->group);
        if (found == this->owned.end())
            return;
        PermitReport held {message.sender, message.incarnation, {}};
        for (const PermitReportMessage::Held &entry : report->permits)
            held.held.push_back({entry.permit, entry.servers, entry.tokens, entry.isLong,
                                 entry.isSuspect, now + entry.remaining});
        return found->second->answer(found->second->admission().onPermitReport(held, now));
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
    request->profile.deadline = Clock::now() + request->remaining;
    this->reserveHere(
        request->group, {request->profile, message.sender, message.incarnation},
        [reply](const Result<ReserveReply> &result) {
            ReserveReplyMessage answer;
            if (result.ok()) {
                answer.granted = result->granted;
                answer.grant = result->grant;
                answer.addresses = result->addresses;
                answer.refusal = result->refusal;
            } else {
                answer.refusal = {RefusalReason::NotOwner, true, absl::Milliseconds(500)};
            }
            reply(MessageKind::ReserveReply, packMessage(answer));
        });
}

void ControlPlane::handleGossip(const Envelope &message)
{
    const auto summaries = unpackMessage<SummariesMessage>(message.payload);
    if (!summaries.ok())
        return;
    for (const GroupSummary &summary : summaries->summaries) {
        this->viewBuilder.setSummary(summary, Clock::now());
        this->summaryOwners[summary.group] = summary.owner;
    }
}

void ControlPlane::onTick()
{
    const absl::Time now = Clock::now();
    for (const auto &[id, group] : this->owned)
        group->answer(group->admission().onTick(now));
    if (now >= this->nextSummaries) {
        this->nextSummaries = now + kSummaryPeriod;
        this->sendSummaries(now);
        this->publishView();
    }
    if (now >= this->nextReports) {
        this->nextReports = now + kPermitReportPeriod;
        this->sendPermitReports();
    }
}

void ControlPlane::sendSummaries(absl::Time now)
{
    std::vector<GroupSummary> summaries;
    for (const auto &[id, group] : this->owned) {
        GroupSummary summary = group->admission().summary(now);
        summary.accepting = summary.accepting && !this->leaving.load();
        this->viewBuilder.setSummary(summary, now);
        summaries.push_back(std::move(summary));
    }
    for (std::size_t first = 0; first < summaries.size(); first += kSummariesPerDatagram) {
        SummariesMessage message;
        const std::size_t last = std::min(summaries.size(), first + kSummariesPerDatagram);
        message.summaries.assign(summaries.begin() + static_cast<std::ptrdiff_t>(first),
                                 summaries.begin() + static_cast<std::ptrdiff_t>(last));
        for (const PeerEntry &peer : this->options.peers.entries())
            this->transport->sendDatagram(peer.address, MessageKind::Gossip, packMessage(message));
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
                                  permit.held.isSuspect, permit.held.deadline - now});
    }
    for (const auto &[target, report] : reports)
        this->transport->send(this->addressOf(target.first), MessageKind::PermitReport,
                              packMessage(report));
}

void ControlPlane::publishView()
{
    this->routingView.publish(this->viewBuilder.build());
    const bool hasNote = this->current.note.number > 0;
    this->ready.store(hasNote && !this->leaving.load());
}

} // namespace foxtailtally
