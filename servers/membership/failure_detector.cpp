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
        if (this->pendingTargets.empty())
            this->pendingTargets = this->table.randomPeers(this->table.size(), {}, this->random);
        if (this->pendingTargets.empty())
            return {};
        InstanceId target = std::move(this->pendingTargets.back());
        this->pendingTargets.pop_back();
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
    if (++this->leavingFailures[target] < kMaxLeavingProbeFailures) {
        this->pendingTargets.push_back(target);
        return;
    }
    this->leavingFailures.erase(target);
    if (this->table.declare(target, PeerState::Dead, now))
        changed.push_back(target);
}

std::vector<FailureDetector::ProbeRequest> FailureDetector::onTick(absl::Time now,
                                                                   std::vector<InstanceId> &changed)
{
    if (now > this->lastTick + kMinPauseGap) {
        this->outstanding.reset();
        this->detectionResumesAt = now + kSuspicionTimeout;
    }
    this->lastTick = now;
    std::vector<ProbeRequest> requests;
    if (this->outstanding && !this->outstanding->isRepeated
        && now >= this->outstanding->sentAt + kProbeTimeout) {
        this->outstanding->isRepeated = true;
        const InstanceId &target = this->outstanding->target;
        requests.push_back({target, {}, this->outstanding->number});
        for (InstanceId &helper : this->table.randomPeers(kIndirectProbes, target, this->random))
            requests.push_back({std::move(helper), target, this->outstanding->number});
    }
    if (now >= this->nextProbeAt) {
        if (this->outstanding && now >= this->detectionResumesAt)
            this->onFailure(this->outstanding->target, now, changed);
        this->outstanding.reset();
        InstanceId target = this->nextTarget();
        if (!target.isEmpty()) {
            this->outstanding = Outstanding {target, ++this->lastProbeNumber, now, false};
            requests.push_back({std::move(target), {}, this->lastProbeNumber});
        }
        this->nextProbeAt = now + kProbeInterval;
    }
    if (now < this->detectionResumesAt)
        return requests;
    std::vector<InstanceId> dead;
    for (const auto &[id, member] : this->table.members()) {
        if (member.update.state == PeerState::Suspect
            && member.update.domain == this->table.self().domain
            && now >= member.changedAt + kSuspicionTimeout)
            dead.push_back(id);
    }
    for (const InstanceId &id : dead)
        if (this->table.declare(id, PeerState::Dead, now))
            changed.push_back(id);
    return requests;
}

void FailureDetector::onAck(std::uint64_t number)
{
    if (!this->outstanding || this->outstanding->number != number)
        return;
    this->leavingFailures.erase(this->outstanding->target);
    this->outstanding.reset();
}

} // namespace foxtailtally
