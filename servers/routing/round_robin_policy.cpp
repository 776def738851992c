#include "servers/routing/round_robin_policy.h"

#include "servers/routing/candidate_ranking.h"

namespace foxtailtally {

RankedGroups RoundRobinPolicy::rank(const RoutingView &view, const RequestProfile &request,
                                    absl::Time, Random &) const
{
    const RoutingCandidates &candidates = view.candidates(request.model);
    const std::size_t count = candidates.list.size();
    const std::uint64_t start = this->nextStart.fetch_add(1, std::memory_order_relaxed);
    CandidateRanking ranking;
    for (std::size_t i = 0; i < count && ranking.size() < kRankedGroups; ++i) {
        const auto index = static_cast<std::uint32_t>((start + i) % count);
        if (canHold(candidates.list[index], request))
            ranking.offer(index, static_cast<double>(i));
    }
    return ranking.groups(view, candidates);
}

} // namespace foxtailtally
