#include "servers/membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

auto precedence(const MemberUpdate &update)
{
    return std::make_tuple(update.incarnation, update.refutation, update.state);
}

} // namespace

MemberTable::MemberTable(MemberUpdate self)
    : ownUpdate(std::move(self))
{ }

void MemberTable::setSettledRoster(std::uint64_t version)
{
    this->ownUpdate.settledRoster = std::max(this->ownUpdate.settledRoster, version);
}

void MemberTable::announceLeaving()
{
    ++this->ownUpdate.refutation;
    this->ownUpdate.state = PeerState::Leaving;
}

void MemberTable::addKnown(std::span<const KnownInstance> instances, absl::Time now)
{
    for (const KnownInstance &known : instances) {
        if (known.instance == this->ownUpdate.instance)
            continue;
        const auto [member, isNew] = this->others.try_emplace(known.instance);
        if (isNew) {
            member->second.update.instance = known.instance;
            member->second.update.state = PeerState::Dead;
            member->second.changedAt = now;
        }
        if (!member->second.isConfirmed) {
            member->second.update.domain = known.domain;
            member->second.update.address = known.address;
        }
    }
}

void MemberTable::removeDead(absl::Time before)
{
    absl::erase_if(this->others, [&](const auto &entry) {
        const Member &member = entry.second;
        return member.update.state == PeerState::Dead && member.changedAt < before;
    });
}

bool MemberTable::merge(const MemberUpdate &update, absl::Time now)
{
    if (update.instance == this->ownUpdate.instance) {
        // Only this process decides on the state of its incarnation, so it refutes any other claim.
        const bool isSuspicion = update.incarnation == this->ownUpdate.incarnation
            && precedence(update) > precedence(this->ownUpdate);
        if (isSuspicion)
            this->ownUpdate.refutation = update.refutation + 1;
        return false;
    }
    Member &member = this->others[update.instance];
    if (member.isConfirmed && precedence(update) < precedence(member.update))
        return false;
    const bool isSame = member.isConfirmed && precedence(update) == precedence(member.update);
    if (isSame) {
        if (update.settledRoster <= member.update.settledRoster)
            return false;
        member.update.settledRoster = update.settledRoster;
        member.transmissions = 0;
        return true;
    }
    const bool isChange = !member.isConfirmed || update.state != member.update.state
        || update.incarnation != member.update.incarnation;
    const bool isSameProcess = member.update.incarnation == update.incarnation;
    const std::uint64_t settled = isSameProcess ? member.update.settledRoster : 0;
    member.update = update;
    member.update.settledRoster = std::max(settled, update.settledRoster);
    member.isConfirmed = true;
    member.transmissions = 0;
    if (isChange)
        member.changedAt = now;
    return isChange;
}

void MemberTable::recordReceived(const InstanceId &instance, absl::Time now)
{
    const auto found = this->others.find(instance);
    if (found == this->others.end())
        return;
    found->second.lastReceivedAt = now;
    found->second.unansweredSince = absl::InfiniteFuture();
}

void MemberTable::recordSent(const InstanceId &instance, absl::Time now)
{
    const auto found = this->others.find(instance);
    if (found == this->others.end())
        return;
    found->second.lastSentAt = now;
    found->second.unansweredSince = std::min(found->second.unansweredSince, now);
}

bool MemberTable::declare(const InstanceId &instance, PeerState state, absl::Time now)
{
    const auto found = this->others.find(instance);
    if (found == this->others.end() || found->second.update.state >= state)
        return false;
    MemberUpdate update = found->second.update;
    update.state = state;
    return this->merge(update, now);
}

const MemberTable::Member *MemberTable::find(const InstanceId &instance) const
{
    const auto found = this->others.find(instance);
    return found == this->others.end() ? nullptr : &found->second;
}

std::vector<InstanceId> MemberTable::sample(std::vector<InstanceId> candidates, std::size_t count,
                                            Random &random) const
{
    const std::size_t taken = std::min(count, candidates.size());
    for (std::size_t i = 0; i < taken; ++i)
        std::swap(candidates[i], candidates[i + random.below(candidates.size() - i)]);
    candidates.resize(taken);
    return candidates;
}

std::vector<InstanceId> MemberTable::randomPeers(std::size_t count, const InstanceId &except,
                                                 Random &random) const
{
    std::vector<InstanceId> candidates;
    for (const auto &[id, member] : this->others)
        if (member.update.domain == this->ownUpdate.domain && id != except
            && member.update.state != PeerState::Dead)
            candidates.push_back(id);
    return this->sample(std::move(candidates), count, random);
}

std::vector<InstanceId> MemberTable::randomDead(std::size_t count, Random &random) const
{
    std::vector<InstanceId> candidates;
    for (const auto &[id, member] : this->others)
        if (member.update.domain == this->ownUpdate.domain
            && member.update.state == PeerState::Dead)
            candidates.push_back(id);
    return this->sample(std::move(candidates), count, random);
}

std::vector<const MemberTable::Member *> MemberTable::pendingUpdates(std::uint32_t limit) const
{
    std::vector<const Member *> pending;
    for (const auto &[id, member] : this->others)
        if (member.isConfirmed && member.update.domain == this->ownUpdate.domain
            && member.transmissions < limit)
            pending.push_back(&member);
    std::stable_sort(pending.begin(), pending.end(), [](const Member *left, const Member *right) {
        return left->transmissions < right->transmissions;
    });
    return pending;
}

std::vector<const MemberTable::Member *> MemberTable::nextInRotation(std::size_t count)
{
    std::vector<const Member *> next;
    auto position = this->others.upper_bound(this->rotation);
    for (std::size_t step = 0; step < this->others.size() && next.size() < count; ++step) {
        if (position == this->others.end())
            position = this->others.begin();
        const Member &member = position->second;
        if (member.isConfirmed && member.update.domain == this->ownUpdate.domain)
            next.push_back(&member);
        this->rotation = position->first;
        ++position;
    }
    return next;
}

void MemberTable::recordTransmitted(const InstanceId &instance)
{
    const auto found = this->others.find(instance);
    if (found != this->others.end())
        ++found->second.transmissions;
}

} // namespace foxtailtally
