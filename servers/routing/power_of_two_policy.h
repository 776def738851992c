#pragma once

#include "servers/routing/routing_policy.h"

namespace foxtailtally {

/** Baseline: the less loaded of two random groups, by the last summaries. */
class PowerOfTwoPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "power_of_two"; }
    RankedGroups rank(const RoutingView &view, const RequestProfile &request, absl::Time now,
                      Random &random) const override;
};

} // namespace foxtailtally
