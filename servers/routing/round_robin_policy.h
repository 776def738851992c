#pragma once

#include "servers/routing/routing_policy.h"

#include <atomic>
#include <cstdint>

namespace foxtailtally {

/** Baseline: each group in turn, in the order of the view. */
class RoundRobinPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "round_robin"; }
    RankedGroups rank(const RoutingView &view, const RequestProfile &request, absl::Time now,
                      Random &random) const override;

private:
    mutable std::atomic<std::uint64_t> nextStart {0};
};

} // namespace foxtailtally
