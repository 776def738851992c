#pragma once

#include "servers/routing/routing_policy.h"

namespace foxtailtally {

/** Baseline: fewest requests running or waiting per server, by the last summaries. */
class LeastRequestsPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "least_requests"; }
    RankedGroups rank(const RoutingView &view, const RequestProfile &request, absl::Time now,
                      Random &random) const override;
};

} // namespace foxtailtally
