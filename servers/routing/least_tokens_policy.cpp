#include "servers/routing/least_tokens_policy.h"

#include "servers/routing/candidate_ranking.h"

namespace foxtailtally {

RankedGroups LeastTokensPolicy::rank(const RoutingView &view, const RequestProfile &request,
                                     absl::Time, Random &random) const
{
    return rankAll(view, request, random,
                   [](const RoutingCandidate &candidate) { return candidate.tokensPerServer; });
}

} // namespace foxtailtally
