#include "servers/membership/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

/**
 * Period after the start during which gossip rounds ask every receiver for a reply. A receiver
 * whose own entry changed within this period is sent as much of the rotation as fits.
 */
constexpr absl::Duration kJoinPeriod = absl::Seconds(10);
/** Time after which an unanswered indirect probe is discarded. */
constexpr absl::Duration kRelayTimeout = absl::Seconds(5);
/** Time after which an instance of another domain that does not answer is skipped. */
constexpr absl::Duration kRemoteTimeout = absl::Seconds(5);
/** Time after which a skipped instance of another domain is tried again. */
constexpr absl::Duration kRemoteRetryDelay = absl::Seconds(30);
/** Time for which a dead instance is kept in the table. */
constexpr absl::Duration kDeadRetention = absl::Hours(1);
/**
 * On average, one in this many gossip rounds also contacts a member that is dead or from which
 * no message has ever arrived.
 */
constexpr std::uint64_t kDeadRetryRounds = 3;
/** Relay numbers have the top bit set, so that they never equal a probe's own number. */
constexpr std::uint64_t kRelayBit = 1ULL << 63;

/** Limits of the sections of one gossip message, in packed bytes. */
constexpr std::size_t kMaxMemberSectionBytes = 400;
constexpr std::size_t kMaxCrashReportSectionBytes = 200;
/** Bytes reserved for the rotation over all members, which repairs lost updates. */
constexpr std::size_t kReservedRotationBytes = 150;

} // namespace

Membership::Membership(const MemberUpdate &self, std::uint64_t seed)
    : random(seed)
    , table([&] {
        MemberUpdate update = self;
        update.state = PeerState::Alive;
        update.refutation = 0;
        return update;
    }())
    , detector(this->table, this->random)
    , relayNumber(kRelayBit)
{ }

MembershipActions Membership::addKnown(std::span<const KnownInstance> instances, absl::Time now)
{
    if (this->joiningUntil == absl::InfinitePast())
        this->joiningUntil = now + kJoinPeriod;
    this->table.addKnown(instances, now);
    return {};
}

Result<MembershipActions> Membership::onDatagram(const MembershipMessage &message, absl::Time now)
{
    const MemberUpdate &sender =
        std::visit([](const auto &m) -> const MemberUpdate & { return m.sender; }, message);
    if (sender.instance.isEmpty() || sender.instance == this->self().instance)
        return Error::MessageMalformed;
    const MemberTable::Member *known = this->table.find(sender.instance);
    if (known != nullptr && known->isConfirmed && sender.incarnation < known->update.incarnation)
        return Error::MessageStaleIncarnation;
    MembershipActions actions;
    this->mergeMember(sender, now, actions);
    this->table.recordReceived(sender.instance, now);
    const GossipDocumentNumbers &numbers = std::visit(
        [](const auto &m) -> const GossipDocumentNumbers & { return m.documents; }, message);
    this->mergeDocuments(sender, numbers, actions);
    std::visit([&](const auto &m) { this->handle(m, now, actions); }, message);
    return actions;
}

void Membership::mergeMember(const MemberUpdate &update, absl::Time now, MembershipActions &actions)
{
    if (!update.instance.isEmpty() && this->table.merge(update, now))
        actions.emplace_back(PeerChanged {this->table.find(update.instance)->update});
}

void Membership::mergeDocuments(const MemberUpdate &sender, const GossipDocumentNumbers &numbers,
                                MembershipActions &actions)
{
    for (std::size_t i = 0; i < kGossipDocumentCount; ++i) {
        const auto kind = static_cast<GossipDocument>(i);
        if (kind == GossipDocument::Roster && sender.domain != this->self().domain)
            continue;
        // Reported again with every message until setDocument() is called, so a lost answer to the
        // first request for the document does no harm.
        if (numbers[kind] > this->documents[kind])
            actions.emplace_back(DocumentAdvanced {kind, numbers[kind], sender.instance});
    }
}

void Membership::handle(const GossipMessage &gossip, absl::Time now, MembershipActions &actions)
{
    for (const MemberUpdate &update : gossip.members)
        this->mergeMember(update, now, actions);
    for (const SummaryEntry &entry : gossip.summaries)
        this->gossipTable.merge(entry, now);
    for (const CrashReportEntry &entry : gossip.crashReports)
        if (this->gossipTable.merge(entry, now))
            actions.emplace_back(CrashReportReceived {entry});
    if (gossip.isReplyWanted)
        this->gossipTo(gossip.sender.instance, false, now, actions);
    else if (gossip.sender.domain != this->self().domain)
        // Tells a bridge of another domain that this instance can be reached.
        this->sendTo(gossip.sender.instance,
                     ProbeAck {this->self(), this->documents, 0, this->self(), {}}, now, actions);
}

void Membership::handle(const Probe &probe, absl::Time now, MembershipActions &actions)
{
    for (const MemberUpdate &suspicion : probe.suspicions)
        this->mergeMember(suspicion, now, actions);
    const InstanceId &sender = probe.sender.instance;
    if (probe.target.isEmpty() || probe.target == this->self().instance) {
        this->sendTo(sender,
                     ProbeAck {this->self(), this->documents, probe.number, this->self(),
                               this->suspicionsOf(sender)},
                     now, actions);
        return;
    }
    const std::uint64_t number = ++this->relayNumber;
    this->relays[number] = {sender, probe.number, now};
    this->probe({probe.target, {}, number}, now, actions);
}

void Membership::handle(const ProbeAck &ack, absl::Time now, MembershipActions &actions)
{
    for (const MemberUpdate &suspicion : ack.suspicions)
        this->mergeMember(suspicion, now, actions);
    this->mergeMember(ack.responder, now, actions);
    const auto relay = this->relays.find(ack.number);
    if (relay == this->relays.end()) {
        this->detector.onAck(ack.number);
        return;
    }
    const Relay origin = relay->second;
    this->relays.erase(relay);
    this->sendTo(origin.requester,
                 ProbeAck {this->self(), this->documents, origin.number, ack.sender,
                           this->suspicionsOf(origin.requester)},
                 now, actions);
}

std::vector<MemberUpdate> Membership::suspicionsOf(const InstanceId &instance) const
{
    const MemberTable::Member *member = this->table.find(instance);
    const bool isSuspected = member != nullptr && member->isConfirmed
        && (member->update.state == PeerState::Suspect || member->update.state == PeerState::Dead);
    return isSuspected ? std::vector<MemberUpdate> {member->update} : std::vector<MemberUpdate> {};
}

void Membership::probe(const FailureDetector::ProbeRequest &request, absl::Time now,
                       MembershipActions &actions)
{
    this->sendTo(request.to,
                 Probe {this->self(), this->documents, request.number, request.target,
                        this->suspicionsOf(request.to)},
                 now, actions);
}

void Membership::sendTo(const InstanceId &to, MembershipMessage message, absl::Time now,
                        MembershipActions &actions)
{
    const MemberTable::Member *member = this->table.find(to);
    if (member == nullptr)
        return;
    this->table.recordSent(to, now);
    actions.emplace_back(SendMembership {to, member->update.address, std::move(message)});
}

std::uint32_t Membership::transmissionLimit() const
{
    // An update that every instance sends 3 log2(n) times reaches all but a vanishing fraction.
    return 3 * static_cast<std::uint32_t>(std::bit_width(this->table.size() + 1));
}

void Membership::gossipTo(const InstanceId &to, bool isReplyWanted, absl::Time now,
                          MembershipActions &actions)
{
    const MemberTable::Member *receiver = this->table.find(to);
    if (receiver == nullptr)
        return;
    GossipMessage gossip;
    gossip.sender = this->self();
    gossip.documents = this->documents;
    gossip.isReplyWanted = isReplyWanted;
    gossip.members = this->suspicionsOf(to);
    if (receiver->update.domain != this->self().domain)
        // Tells the receiver's domain which instances bridge from this domain.
        for (const InstanceId &id : this->ranked().lowest(this->self().domain, kBridgesPerDomain))
            if (const MemberTable::Member *bridge = this->table.find(id))
                gossip.members.push_back(bridge->update);
    std::size_t remainingBytes = kMaxGossipBytes - packedSize(MembershipMessage(gossip));
    std::size_t remainingMemberBytes = std::min(remainingBytes, kMaxMemberSectionBytes);
    const auto add = [&](const MemberTable::Member &member, std::size_t &limit) {
        const std::size_t size = packedSize(member.update);
        if (size > limit || size > remainingBytes)
            return false;
        limit -= size;
        remainingBytes -= size;
        gossip.members.push_back(member.update);
        this->table.recordTransmitted(member.update.instance);
        return true;
    };
    for (const MemberTable::Member *member : this->table.pendingUpdates(this->transmissionLimit()))
        if (!add(*member, remainingMemberBytes))
            break;
    gossip.crashReports = this->gossipTable.takeCrashReports(
        std::min(remainingBytes, kMaxCrashReportSectionBytes), this->transmissionLimit(), now);
    for (const CrashReportEntry &crashReport : gossip.crashReports)
        remainingBytes -= packedSize(crashReport);
    const std::size_t reservedBytes = std::min(remainingBytes, kReservedRotationBytes);
    gossip.summaries = this->gossipTable.takeSummaries(remainingBytes - reservedBytes,
                                                       this->transmissionLimit(), now);
    for (const SummaryEntry &entry : gossip.summaries)
        remainingBytes -= packedSize(entry);
    // A joining instance needs all members; for others a slow repair of lost updates is enough.
    std::size_t remainingRotationBytes = isReplyWanted || receiver->changedAt + kJoinPeriod > now
        ? remainingBytes
        : std::min(remainingBytes, kReservedRotationBytes);
    for (const MemberTable::Member *member :
         this->table.nextInRotation(remainingRotationBytes / 32))
        if (!add(*member, remainingRotationBytes))
            break;
    this->sendTo(to, std::move(gossip), now, actions);
}

std::vector<InstanceId> Membership::bridgeTargets(absl::Time now) const
{
    using Key = std::tuple<int, absl::Time, InstanceId>;
    absl::btree_map<FailureDomainId, std::vector<Key>> byDomain;
    for (const auto &[id, member] : this->table.members()) {
        if (member.update.domain == this->self().domain)
            continue;
        const bool isUnresponsive = now >= member.unansweredSince + kRemoteTimeout
            && now < member.lastSentAt + kRemoteRetryDelay;
        if (!isUnresponsive && isServing(member.update.state))
            byDomain[member.update.domain].emplace_back(0, absl::InfinitePast(), id);
        else if (!isUnresponsive && !member.isConfirmed)
            byDomain[member.update.domain].emplace_back(1, absl::InfinitePast(), id);
        else
            byDomain[member.update.domain].emplace_back(2, member.lastSentAt, id);
    }
    std::vector<InstanceId> targets;
    for (auto &[domain, keys] : byDomain) {
        const std::size_t count = std::min(kBridgesPerDomain, keys.size());
        std::partial_sort(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(count),
                          keys.end());
        for (std::size_t i = 0; i < count; ++i)
            targets.push_back(std::get<2>(keys[i]));
    }
    return targets;
}

void Membership::gossipRound(absl::Time now, MembershipActions &actions)
{
    const bool isJoining = now < this->joiningUntil;
    std::vector<InstanceId> peers = this->table.randomPeers(kGossipFanout, {}, this->random);
    if (peers.size() < kGossipFanout || this->random.below(kDeadRetryRounds) == 0)
        for (InstanceId &dead : this->table.randomDead(1, this->random))
            peers.push_back(std::move(dead));
    for (const InstanceId &peer : peers) {
        const MemberTable::Member *member = this->table.find(peer);
        const bool isDead = member->update.state == PeerState::Dead;
        this->gossipTo(peer, isJoining || isDead, now, actions);
    }
}

MembershipActions Membership::onTick(absl::Time now)
{
    MembershipActions actions;
    std::vector<InstanceId> changed;
    for (const FailureDetector::ProbeRequest &request : this->detector.onTick(now, changed))
        this->probe(request, now, actions);
    for (const InstanceId &id : changed) {
        const MemberUpdate &update = this->table.find(id)->update;
        actions.emplace_back(PeerChanged {update});
        // Lets the suspected instance refute the suspicion at once.
        if (update.state == PeerState::Suspect)
            this->gossipTo(id, true, now, actions);
    }
    if (now >= this->nextGossipAt) {
        this->nextGossipAt = now + kGossipInterval;
        this->gossipTable.expire(now);
        this->table.removeDead(now - kDeadRetention);
        absl::erase_if(this->relays,
                       [&](const auto &entry) { return entry.second.at + kRelayTimeout < now; });
        this->gossipRound(now, actions);
    }
    if (now >= this->nextBridgeAt && this->ranked().isSelfAmong(kBridgesPerDomain)) {
        this->nextBridgeAt = now + kBridgeInterval;
        for (const InstanceId &target : this->bridgeTargets(now))
            this->gossipTo(target, false, now, actions);
    }
    return actions;
}

MembershipActions Membership::leave(absl::Time now)
{
    MembershipActions actions;
    this->table.announceLeaving();
    for (const InstanceId &peer : this->table.randomPeers(kDocumentFanout, {}, this->random))
        this->gossipTo(peer, false, now, actions);
    return actions;
}

MembershipActions Membership::setDocument(GossipDocument kind, std::uint64_t number, absl::Time now)
{
    MembershipActions actions;
    if (number <= this->documents[kind])
        return actions;
    this->documents[kind] = number;
    for (const InstanceId &peer : this->table.randomPeers(kDocumentFanout, {}, this->random))
        this->gossipTo(peer, false, now, actions);
    if (kind != GossipDocument::Roster && this->ranked().isSelfAmong(kBridgesPerDomain))
        for (const InstanceId &target : this->bridgeTargets(now))
            this->gossipTo(target, false, now, actions);
    return actions;
}

void Membership::setSummary(const GroupSummary &summary, absl::Time now)
{
    this->gossipTable.setSummary(summary, now);
}

void Membership::addCrashReport(const CrashReportEntry &crashReport, absl::Time now)
{
    this->gossipTable.addCrashReport(crashReport, now);
}

void Membership::setSettledRoster(std::uint64_t version)
{
    this->table.setSettledRoster(version);
}

} // namespace foxtailtally
