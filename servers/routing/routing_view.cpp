#include "servers/routing/routing_view.h"

namespace foxtailtally {

const RoutingGroup *RoutingView::find(const GroupId &group) const
{
    const auto found = this->groupIndex.find(group);
    return found == this->groupIndex.end() ? nullptr : &this->allGroups[found->second];
}

const RoutingCandidates &RoutingView::candidates(const ModelId &model) const
{
    static const RoutingCandidates none;
    const auto found = this->byModel.find(model);
    return found == this->byModel.end() ? none : *found->second;
}

absl::InlinedVector<CandidateHit, 8> RoutingView::prefixHits(const RoutingCandidates &candidates,
                                                             std::span<const std::uint64_t> blocks,
                                                             absl::Time now) const
{
    absl::InlinedVector<CandidateHit, 8> hits;
    if (this->prefixes == nullptr || blocks.empty())
        return hits;
    for (const PrefixHit &hit : this->prefixes->lookup(blocks, now)) {
        const SlotTarget &target = this->slotTargets[hit.slot];
        if (target.owner == &candidates)
            hits.push_back({target.candidate, hit.blocks});
    }
    return hits;
}

} // namespace foxtailtally
