#include "main/lib/group_ownership.h"

#include "core/log.h"
#include "servers/admission/group_servers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kNotOwnerRetryAfter = absl::Milliseconds(500);

/** Requests and memory tokens that this owner uses on one server. */
ServerUse useOf(const ServerSlot &slot)
{
    return {slot.ledger.requests(), slot.ledger.usedTokens()};
}

/** Converts @p requests of the ramp's current limit to units of the cold limit, rounded down. */
std::int64_t coldUnitsFor(const ServerSlot &slot, std::int64_t requests)
{
    const std::int64_t limit = std::max<std::int64_t>(slot.ramp.limit(), 1);
    const std::int64_t cold = std::max<std::int64_t>(slot.ramp.coldLimit(), 1);
    return requests * cold / limit;
}

} // namespace

GroupOwnership::GroupOwnership(OwnershipOptions ownershipOptions, SendShares send)
    : options(std::move(ownershipOptions))
    , sendShares(std::move(send))
    , ledger(this->options.self, this->options.timing)
{ }

void GroupOwnership::setGroups(DomainGroups next, absl::Time now)
{
    this->groups = std::move(next);
    std::vector<ShareGroup> shareGroups;
    for (const auto &[id, servers] : this->groups) {
        ShareGroup group {id, {}};
        for (const BackendServer &server : servers)
            group.servers.push_back(server.id);
        shareGroups.push_back(std::move(group));
    }
    this->send(this->ledger.setGroups(std::move(shareGroups), now));
    for (const auto &[id, servers] : this->groups) {
        OwnedGroup *ownedGroup = this->find(id);
        if (ownedGroup == nullptr)
            continue;
        ownedGroup->setServers(servers);
        ownedGroup->answer(ownedGroup->admission().setServers(servers, now));
    }
    this->refresh(now);
}

void GroupOwnership::setRoster(Roster roster, absl::Time now)
{
    this->currentRoster = roster;
    this->send(this->ledger.setRoster(std::move(roster), now));
    this->refresh(now);
}

void GroupOwnership::onPeerState(const RosterMember &peer, PeerState state, absl::Time now)
{
    if (isServing(state))
        this->livePeers[peer.instance] = peer;
    else
        this->livePeers.erase(peer.instance);
    this->send(this->ledger.onPeerState(peer, state, now));
    this->refresh(now);
}

void GroupOwnership::onPeerSettled(const RosterMember &peer, std::uint64_t version, absl::Time now)
{
    this->send(this->ledger.onPeerSettled(peer, version, now));
}

void GroupOwnership::onInstanceList(std::span<const RosterMember> listed, absl::Time now)
{
    this->send(this->ledger.onInstanceList(listed, now));
}

void GroupOwnership::onLoanRequest(const LoanRequest &request, absl::Time now)
{
    this->send(this->ledger.onLoanRequest(request, now));
}

void GroupOwnership::onLoanOffer(const LoanOffer &offer, absl::Time now)
{
    this->send(this->ledger.onLoanOffer(offer, now));
}

void GroupOwnership::onTick(absl::Time now)
{
    this->send(this->ledger.onTick(now));
    this->refresh(now);
    for (const auto &[id, ownedGroup] : this->ownedGroups) {
        ownedGroup->answer(ownedGroup->admission().onTick(now));
        this->reportUse(id, *ownedGroup);
    }
}

void GroupOwnership::setOutOfService(bool isOutOfService, absl::Time now)
{
    this->isOutOfService = isOutOfService;
    for (const auto &[id, ownedGroup] : this->ownedGroups) {
        if (isOutOfService)
            ownedGroup->answer(ownedGroup->admission().stop(RefusalReason::DomainOut, now));
        else
            ownedGroup->admission().resume();
    }
}

void GroupOwnership::leave(absl::Time now)
{
    this->leaving = true;
    for (const auto &[id, ownedGroup] : this->ownedGroups) {
        ownedGroup->answer(ownedGroup->admission().stop(RefusalReason::Leaving, now));
        this->reportUse(id, *ownedGroup);
    }
    this->send(this->ledger.leave(now));
}

OwnedGroup *GroupOwnership::find(const GroupId &group)
{
    const auto found = this->ownedGroups.find(group);
    return found == this->ownedGroups.end() ? nullptr : found->second.get();
}

InstanceId GroupOwnership::ownerOf(const GroupId &group) const
{
    for (const RosterMember &holder : shareHolders(this->currentRoster.current.members, group)) {
        if (holder == this->options.self && !this->leaving)
            return holder.instance;
        const auto peer = this->livePeers.find(holder.instance);
        if (peer != this->livePeers.end() && peer->second == holder)
            return holder.instance;
    }
    return {};
}

template <typename Call>
void GroupOwnership::withGroup(const GroupId &group, Call &&call)
{
    OwnedGroup *ownedGroup = this->find(group);
    if (ownedGroup == nullptr)
        return;
    ownedGroup->answer(call(ownedGroup->admission()));
    this->reportUse(group, *ownedGroup);
}

void GroupOwnership::reserve(const GroupId &group, const ReserveRequest &request,
                             ReservationPort::Callback callback, absl::Time now)
{
    OwnedGroup *ownedGroup = this->find(group);
    if (ownedGroup == nullptr) {
        ReserveReply reply;
        reply.refusal = {RefusalReason::NotOwner, true, kNotOwnerRetryAfter};
        return callback(reply);
    }
    // The request must not be admitted under limits that have just expired.
    this->updateLimits(group, *ownedGroup, now);
    ownedGroup->addWaiting(request.profile.id, std::move(callback));
    this->withGroup(group, [&](AdmissionPolicy &policy) { return policy.reserve(request, now); });
}

void GroupOwnership::withdraw(const GroupId &group, const RequestId &request, absl::Time now)
{
    OwnedGroup *ownedGroup = this->find(group);
    if (ownedGroup == nullptr)
        return;
    ownedGroup->removeWaiting(request);
    this->withGroup(group, [&](AdmissionPolicy &policy) { return policy.withdraw(request, now); });
}

void GroupOwnership::release(const GroupId &group, const PermitRelease &release, absl::Time now)
{
    this->withGroup(group, [&](AdmissionPolicy &policy) { return policy.release(release, now); });
}

void GroupOwnership::onPermitReport(const GroupId &group, const PermitReport &report,
                                    absl::Time now)
{
    this->withGroup(group,
                    [&](AdmissionPolicy &policy) { return policy.onPermitReport(report, now); });
}

void GroupOwnership::onLoadReport(const GroupId &group, const LoadReport &report, absl::Time now)
{
    this->ledger.onLoadReport(group, report, {}, now);
    this->withGroup(group,
                    [&](AdmissionPolicy &policy) { return policy.onLoadReport(report, now); });
}

void GroupOwnership::onServerLost(const GroupId &group, const BackendServerId &server,
                                  absl::Time now)
{
    this->withGroup(group,
                    [&](AdmissionPolicy &policy) { return policy.onServerLost(server, now); });
}

void GroupOwnership::onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now)
{
    for (const auto &[id, ownedGroup] : this->ownedGroups)
        ownedGroup->answer(ownedGroup->admission().onSuspect(fingerprint, deaths, now));
}

void GroupOwnership::onInstanceDead(const RosterMember &instance, absl::Time now)
{
    for (const auto &[id, ownedGroup] : this->ownedGroups)
        ownedGroup->answer(
            ownedGroup->admission().onInstanceDead(instance.instance, instance.incarnation, now));
}

void GroupOwnership::send(const ShareActions &actions)
{
    for (const ShareAction &action : actions)
        this->sendShares(action);
}

void GroupOwnership::refresh(absl::Time now)
{
    std::vector<GroupId> lost;
    for (const auto &[id, ownedGroup] : this->ownedGroups) {
        if (!this->groups.contains(id) || (!this->leaving && !this->ledger.isOwner(id)))
            lost.push_back(id);
    }
    for (const GroupId &id : lost)
        this->stopOwning(id, now);
    for (const auto &[id, servers] : this->groups) {
        if (!this->leaving && this->ledger.isOwner(id) && this->find(id) == nullptr)
            this->startOwning(id, servers, now);
    }
    for (const auto &[id, ownedGroup] : this->ownedGroups)
        this->updateLimits(id, *ownedGroup, now);
}

void GroupOwnership::startOwning(const GroupId &group, const std::vector<BackendServer> &servers,
                                 absl::Time now)
{
    const Result<AdmissionOptions> admission =
        AdmissionOptionsBuilder()
            .setGroup(group, this->options.domain, servers.front().model)
            .setOwner(this->options.self.instance, this->options.self.incarnation)
            .build();
    if (!admission.ok())
        return;
    auto ownedGroup = std::make_unique<OwnedGroup>(
        makeAdmissionPolicy(this->options.admissionPolicy, *admission), servers);
    ownedGroup->answer(ownedGroup->admission().setServers(servers, now));
    if (this->isOutOfService)
        ownedGroup->answer(ownedGroup->admission().stop(RefusalReason::DomainOut, now));
    this->ownedGroups[group] = std::move(ownedGroup);
    logEvent(LogLevel::Info, "group_taken_up", {{"group", group.str()}});
}

void GroupOwnership::stopOwning(const GroupId &group, absl::Time now)
{
    OwnedGroup &ownedGroup = *this->ownedGroups[group];
    ownedGroup.answer(ownedGroup.admission().stop(RefusalReason::NotOwner, now));
    ownedGroup.failWaiting();
    this->ownedGroups.erase(group);
    logEvent(LogLevel::Info, "group_given_up", {{"group", group.str()}});
}

void GroupOwnership::updateLimits(const GroupId &group, OwnedGroup &ownedGroup, absl::Time now)
{
    std::vector<UsableUnits> limits;
    for (const auto &[id, slot] : ownedGroup.admission().groupServers().slots()) {
        const ServerUse whole {slot->ramp.limit(), slot->server.memoryTokens};
        const ServerUse usable = this->ledger.usable(group, id, whole, now);
        limits.push_back({id, coldUnitsFor(*slot, usable.requests), usable.memoryTokens});
    }
    ownedGroup.answer(ownedGroup.admission().setLimits(limits, now));
    this->reportUse(group, ownedGroup);
}

void GroupOwnership::reportUse(const GroupId &group, OwnedGroup &ownedGroup)
{
    for (const auto &[id, slot] : ownedGroup.admission().groupServers().slots())
        this->ledger.setOwnUse(group, id, useOf(*slot));
}

} // namespace foxtailtally
