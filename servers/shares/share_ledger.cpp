#include "servers/shares/share_ledger.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

ShareLedger::ShareLedger(RosterMember self, ShareTiming timing)
    : topology(std::move(self), timing)
    , lender(this->topology)
    , borrower(this->topology)
{ }

ShareActions ShareLedger::setGroups(std::vector<ShareGroup> groups, absl::Time now)
{
    this->topology.setGroups(std::move(groups));
    this->lender.onTopologyChange();
    return this->refresh(now);
}

ShareActions ShareLedger::setRoster(Roster roster, absl::Time now)
{
    if (this->topology.adopt(std::move(roster)))
        return {};
    this->lender.onTopologyChange();
    return this->refresh(now);
}

ShareActions ShareLedger::onPeerState(const RosterMember &peer, PeerState state, absl::Time now)
{
    this->topology.setPeerState(peer, state);
    return this->refresh(now);
}

ShareActions ShareLedger::onInstanceList(std::span<const RosterMember> listed, absl::Time now)
{
    this->topology.recordInstanceList(listed, now);
    return this->refresh(now);
}

ShareActions ShareLedger::onPeerSettled(const RosterMember &member, std::uint64_t version,
                                        absl::Time now)
{
    this->topology.recordSettled(member, version);
    return this->refresh(now);
}

ShareActions ShareLedger::onLoanRequest(const LoanRequest &request, absl::Time now)
{
    const RosterMember &sender = request.sender;
    this->topology.recordSettled(sender, request.settledVersion);
    if (request.isLeaving)
        this->topology.setPeerState(sender, PeerState::Leaving);
    // This process must stop using its own share before the offer lends it.
    this->releaseUnownedGroups(now);
    LoanOffer offer;
    ShareActions actions;
    if (this->lender.onRequest(request, now, offer))
        actions.emplace_back(SendLoanOffer {sender.instance, std::move(offer)});
    ShareActions more = this->refresh(now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    return actions;
}

ShareActions ShareLedger::onLoanOffer(const LoanOffer &offer, absl::Time now)
{
    this->topology.recordSettled(offer.lender, offer.settledVersion);
    if (offer.isLeaving)
        this->topology.setPeerState(offer.lender, PeerState::Leaving);
    // A rejected offer changes no loans, so the error needs no handling.
    (void)this->borrower.onOffer(offer, now);
    return this->refresh(now);
}

ShareActions ShareLedger::onTick(absl::Time now)
{
    return this->refresh(now);
}

ShareActions ShareLedger::leave(absl::Time now)
{
    this->topology.setLeaving();
    return this->refresh(now);
}

void ShareLedger::setOwnUse(const GroupId &group, const BackendServerId &server, ServerUse use)
{
    this->servers[group][server].ownUse = use;
}

void ShareLedger::onLoadReport(const GroupId &group, const LoadReport &report, ServerUse ownRunning,
                               absl::Time now)
{
    const ServerUse foreign {
        std::max<std::int64_t>(0, report.running + report.queued - ownRunning.requests),
        std::max<std::int64_t>(0, report.heldTokens - ownRunning.memoryTokens)};
    const auto held = this->heldShares(group, now);
    this->servers[group][report.server].gate.onReport(foreign, now - report.age, held,
                                                      this->topology.timing().startBound);
}

bool ShareLedger::isOwner(const GroupId &group) const
{
    const HeldGroup *held = this->topology.find(group);
    return held != nullptr && this->topology.isOwner(*held);
}

InstanceId ShareLedger::ownerOf(const GroupId &group) const
{
    const HeldGroup *held = this->topology.find(group);
    const InstanceId *owner = held == nullptr ? nullptr : this->topology.ownerOf(*held);
    return owner == nullptr ? InstanceId() : *owner;
}

std::vector<HeldShare> ShareLedger::heldShares(const GroupId &group, absl::Time now) const
{
    std::vector<HeldShare> held;
    if (!this->isOwner(group))
        return held;
    if (const auto own = this->lender.heldShare(group))
        held.push_back(*own);
    this->borrower.appendHeld(group, now, held);
    return held;
}

std::int64_t ShareLedger::usableUnits(const GroupId &group, std::int64_t limit,
                                      absl::Time now) const
{
    std::int64_t units = 0;
    for (const HeldShare &share : this->heldShares(group, now))
        units += shareUnits(limit, share.index, share.holders);
    return units;
}

const ShareLedger::ServerState *ShareLedger::findServer(const GroupId &group,
                                                        const BackendServerId &server) const
{
    const auto found = this->servers.find(group);
    if (found == this->servers.end())
        return nullptr;
    const auto state = found->second.find(server);
    return state == found->second.end() ? nullptr : &state->second;
}

ServerUse ShareLedger::usable(const GroupId &group, const BackendServerId &server, ServerUse limit,
                              absl::Time now) const
{
    static const TakeoverGate kNoReports;
    const ServerState *state = this->findServer(group, server);
    const TakeoverGate &gate = state == nullptr ? kNoReports : state->gate;
    return gate.usable(limit, this->heldShares(group, now), server,
                       this->topology.timing().startBound);
}

absl::Time ShareLedger::takeoverReadyAt(const GroupId &group, absl::Time now) const
{
    const HeldGroup *topologyGroup = this->topology.find(group);
    const auto held = this->heldShares(group, now);
    if (topologyGroup == nullptr || held.empty())
        return absl::InfiniteFuture();
    const ShareTiming &timing = this->topology.timing();
    absl::Time ready = now;
    for (const BackendServerId &server : topologyGroup->servers) {
        const ServerState *state = this->findServer(group, server);
        for (const HeldShare &share : held) {
            const bool isSettled = state != nullptr
                && (state->gate.isCleared(share)
                    || state->gate.lastReportTakenAt() >= share.acquiredAt + timing.startBound);
            if (!isSettled && share.statement == nullptr)
                ready = std::max(ready, share.acquiredAt + timing.startBound + timing.reportLag);
        }
    }
    return ready;
}

UseStatement ShareLedger::makeStatement(const GroupId &group)
{
    UseStatement statement;
    statement.user = this->topology.self();
    statement.number = ++this->statements;
    std::vector<HeldShare> held;
    if (const auto own = this->lender.lastUsedShare(group))
        held.push_back(*own);
    this->borrower.appendUnreturned(group, held);
    GroupServers &groupServers = this->servers[group];
    if (const HeldGroup *topologyGroup = this->topology.find(group))
        for (const BackendServerId &server : topologyGroup->servers)
            groupServers.try_emplace(server);
    for (const auto &[server, state] : groupServers) {
        ServerUse foreign;
        if (!state.gate.earlierUseBound(held, server, this->topology.timing().startBound, foreign))
            continue;
        statement.uses.push_back({server,
                                  {state.ownUse.requests + foreign.requests,
                                   state.ownUse.memoryTokens + foreign.memoryTokens}});
    }
    return statement;
}

void ShareLedger::releaseUnownedGroups(absl::Time now)
{
    absl::btree_set<GroupId> ended;
    for (const GroupId &group : this->owned)
        if (!this->isOwner(group))
            ended.insert(group);
    for (const GroupId &group : this->borrower.unreturnedGroups())
        if (!this->isOwner(group))
            ended.insert(group);
    for (const GroupId &group : ended) {
        const UseStatement statement = this->makeStatement(group);
        this->lender.onOwnUseEnded(group, statement);
        this->borrower.returnLoans(group, statement, now);
        this->owned.erase(group);
    }
}

ShareActions ShareLedger::refresh(absl::Time now)
{
    this->lender.update(now);
    this->releaseUnownedGroups(now);
    for (const auto &[id, held] : this->topology.groups())
        if (this->topology.isOwner(held))
            this->owned.insert(id);
    ShareActions actions;
    for (auto &[to, request] : this->borrower.dueRequests(this->settledVersion(), now))
        actions.emplace_back(SendLoanRequest {to, std::move(request)});
    for (auto &[to, offer] : this->lender.pushOffers(now))
        actions.emplace_back(SendLoanOffer {to, std::move(offer)});
    return actions;
}

} // namespace foxtailtally
