#include "servers/routing/power_of_two_policy.h"

#include "servers/routing/candidate_ranking.h"

namespace foxtailtally {

namespace {

constexpr std::size_t kChoices = 2;
constexpr int kMaxDraws = 8;

} // namespace

RankedGroups PowerOfTwoPolicy::rank(const RoutingView &view, const RequestProfile &request,
                                    absl::Time, Random &random) const
{
    const RoutingCandidates &candidates = view.candidates(request.model);
    CandidateRanking ranking;
    // Draws again when a group cannot hold the request; if no draw succeeds, all groups are
    // scanned.
    for (int draw = 0; draw < kMaxDraws && ranking.size() < kChoices; ++draw) {
        const std::uint64_t index = random.below(candidates.list.size());
        if (index < candidates.list.size() && canHold(candidates.list[index], request))
            ranking.offer(static_cast<std::uint32_t>(index),
                          candidates.list[index].requestsPerServer);
    }
    if (ranking.size() == 0)
        return rankAll(view, request, random, [](const RoutingCandidate &candidate) {
            return candidate.requestsPerServer;
        });
    return ranking.groups(view, candidates);
}

} // namespace foxtailtally
