#pragma once

#include "servers/routing/routing_policy.h"

namespace foxtailtally {

/** Baseline: uniformly random groups. */
class RandomPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "random"; }
    RankedGroups rank(const RoutingView &view, const RequestProfile &request, absl::Time now,
                      Random &random) const override;
};

} // namespace foxtailtally
