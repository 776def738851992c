#pragma once

#include "servers/routing/routing_policy.h"

namespace foxtailtally {

/**
 * Default policy: lowest predicted time to first token, from the group's predicted start delay and
 * the prefill time of the part of the prompt that the group does not cache.
 *
 * Compares only a random sample of the groups and those that cache a part of the prompt. All
 * instances see nearly the same summaries; if they compared every group, all of them would choose
 * the same one until the next summary arrives.
 */
class DeadlineAwarePolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "deadline_aware"; }
    RankedGroups rank(const RoutingView &view, const RequestProfile &request, absl::Time now,
                      Random &random) const override;
};

} // namespace foxtailtally
