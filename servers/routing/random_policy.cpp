#include "servers/routing/random_policy.h"

#include "servers/routing/candidate_ranking.h"

namespace foxtailtally {

RankedGroups RandomPolicy::rank(const RoutingView &view, const RequestProfile &request, absl::Time,
                                Random &random) const
{
    return rankAll(view, request, random,
                   [&random](const RoutingCandidate &) { return random.uniform(); });
}

} // namespace foxtailtally
