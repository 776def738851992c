#pragma once

#include "servers/routing/routing_policy.h"

namespace foxtailtally {

/** Baseline: fewest outstanding prompt tokens per server, by the last summaries. */
class LeastTokensPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "least_tokens"; }
    RankedGroups rank(const RoutingView &view, const RequestProfile &request, absl::Time now,
                      Random &random) const override;
};

} // namespace foxtailtally
