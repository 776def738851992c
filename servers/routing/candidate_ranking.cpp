#include "servers/routing/candidate_ranking.h"

#include <algorithm>

namespace foxtailtally {

void CandidateRanking::offer(std::uint32_t candidate, double cost)
{
    const auto present = std::find_if(
        this->best.begin(), this->best.end(),
        [candidate](const RankedCandidate &entry) { return entry.candidate == candidate; });
    if (present != this->best.end()) {
        if (present->cost <= cost)
            return;
        this->best.erase(present);
    }
    if (this->best.size() == kRankedGroups && this->best.back().cost <= cost)
        return;
    const auto place = std::upper_bound(
        this->best.begin(), this->best.end(), cost,
        [](double value, const RankedCandidate &entry) { return value < entry.cost; });
    this->best.insert(place, {candidate, cost});
    if (this->best.size() > kRankedGroups)
        this->best.pop_back();
}

RankedGroups CandidateRanking::groups(const RoutingView &view,
                                      const RoutingCandidates &candidates) const
{
    RankedGroups ranked;
    for (const RankedCandidate &entry : this->best)
        ranked.push_back(view.groupId(candidates.list[entry.candidate]));
    return ranked;
}

} // namespace foxtailtally
