#include "servers/membership/failure_detector.h"

#include <utility>

namespace foxtailtally {

FailureDetector::FailureDetector(MemberTable &table, Random &random)
    : table(table)
    , random(random)
{ }

InstanceId FailureDetector::nextTarget()
{
    while (true) {
        if (this->round.empty())
            this->round = this->table.randomPeers(this->table.size(), {}, this->random);
        if (this->round.empty())
            return {};
        InstanceId target = std::move(this->round.back());
        this->round.pop_back();
        const MemberTable::Member *member = this->table.find(target);
        if (member != nullptr && member->update.state != PeerState::Dead)
            return target;
    }
}

void FailureDetector::onFailure(const InstanceId &target, absl::Time now,
                                std::vector<InstanceId> &changed)
{
    const MemberTable::Member *member = this->table.find(target);
    if (member == nullptr || member->update.state != PeerState::Leaving) {
        if (this->table.declare(target, PeerState::Suspect, now))
            changed.push_back(target);
        return;
    }
    if (++this->leavingFailures[target] < kLeavingProbes) {
        this->round.push_back(target);
        return;
    }
    this->leavingFailures.erase(target);
    if (this->table.declare(target, PeerState::Dead, now))
        changed.push_back(target);
}

std::vector<FailureDetector::Order> FailureDetector::onTick(absl::Time now,
                                                            std::vector<InstanceId> &changed)
{
    if (now > this->lastTick + kPauseGap) {
        this->outstanding.reset();
        this->judgesFrom = now + kSuspicionTime;
    }
    this->lastTick = now;
    std::vector<Order> orders;
    if (this->outstanding && !this->outstanding->isRepeated
        && now >= this->outstanding->sentAt + kProbeTimeout) {
        this->outstanding->isRepeated = true;
        const InstanceId &target = this->outstanding->target;
        orders.push_back({target, {}, this->outstanding->number});
        for (InstanceId &helper : this->table.randomPeers(kIndirectProbes, target, this->random))
            orders.push_back({std::move(helper), target, this->outstanding->number});
    }
    if (now >= this->nextProbeAt) {
        if (this->outstanding && now >= this->judgesFrom)
            this->onFailure(this->outstanding->target, now, changed);
        this->outstanding.reset();
        InstanceId target = this->nextTarget();
        if (!target.isEmpty()) {
            this->outstanding = Outstanding {target, ++this->probes, now, false};
            orders.push_back({std::move(target), {}, this->probes});
        }
        this->nextProbeAt = now + kProbeInterval;
    }
    if (now < this->judgesFrom)
        return orders;
    std::vector<InstanceId> dead;
    for (const auto &[id, member] : this->table.members()) {
        if (member.update.state == PeerState::Suspect
            && member.update.domain == this->table.self().domain
            && now >= member.changedAt + kSuspicionTime)
            dead.push_back(id);
    }
    for (const InstanceId &id : dead)
        if (this->table.declare(id, PeerState::Dead, now))
            changed.push_back(id);
    return orders;
}

void FailureDetector::onAck(std::uint64_t number)
{
    if (!this->outstanding || this->outstanding->number != number)
        return;
    this->leavingFailures.erase(this->outstanding->target);
    this->outstanding.reset();
}

} // namespace foxtailtally
