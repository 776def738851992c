#pragma once

#include "servers/routing/routing_policy.h"

#include <cstdint>

namespace foxtailtally {

/** Index of a candidate and its cost; a lower cost ranks first. */
struct RankedCandidate
{
    std::uint32_t candidate = 0;
    double cost = 0;
};

/** Keeps the kRankedGroups candidates of lowest cost, sorted; equal costs in order of insertion. */
class CandidateRanking
{
public:
    /** Adds a candidate, or lowers its cost if it is present. */
    void offer(std::uint32_t candidate, double cost);
    RankedGroups groups(const RoutingView &view, const RoutingCandidates &candidates) const;
    std::size_t size() const { return this->best.size(); }

private:
    absl::InlinedVector<RankedCandidate, kRankedGroups + 1> best;
};

/** Whether the context of @p request fits into the group when the group is idle. */
inline bool canHold(const RoutingCandidate &candidate, const RequestProfile &request)
{
    return candidate.capacityTokens >= request.memoryTokens();
}

/**
 * Ranks every candidate that can hold the request by @p cost(candidate). The scan starts at a
 * random candidate, so that instances with the same view do not all choose the same one among
 * candidates of equal cost.
 */
template <typename Cost>
RankedGroups rankAll(const RoutingView &view, const RequestProfile &request, Random &random,
                     Cost &&cost)
{
    const RoutingCandidates &candidates = view.candidates(request.model);
    const std::size_t count = candidates.list.size();
    const std::size_t start = random.below(count);
    CandidateRanking ranking;
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = start + i < count ? start + i : start + i - count;
        const RoutingCandidate &candidate = candidates.list[index];
        if (canHold(candidate, request))
            ranking.offer(static_cast<std::uint32_t>(index), cost(candidate));
    }
    return ranking.groups(view, candidates);
}

} // namespace foxtailtally
