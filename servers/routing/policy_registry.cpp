#include "servers/routing/policy_registry.h"

#include "servers/routing/deadline_aware_policy.h"
#include "servers/routing/least_requests_policy.h"
#include "servers/routing/least_tokens_policy.h"
#include "servers/routing/power_of_two_policy.h"
#include "servers/routing/random_policy.h"
#include "servers/routing/round_robin_policy.h"

namespace foxtailtally {

namespace {

struct Registration
{
    std::string_view name;
    std::unique_ptr<RoutingPolicy> (*make)();
};

template <typename Policy>
std::unique_ptr<RoutingPolicy> make()
{
    return std::make_unique<Policy>();
}

// The only place where a new policy must be registered.
constexpr Registration kRegistrations[] = {
    {kDefaultRoutingPolicy, make<DeadlineAwarePolicy>},
    {"random", make<RandomPolicy>},
    {"round_robin", make<RoundRobinPolicy>},
    {"least_requests", make<LeastRequestsPolicy>},
    {"least_tokens", make<LeastTokensPolicy>},
    {"power_of_two", make<PowerOfTwoPolicy>},
};

} // namespace

std::vector<std::string_view> routingPolicyNames()
{
    std::vector<std::string_view> names;
    for (const Registration &registration : kRegistrations)
        names.push_back(registration.name);
    return names;
}

std::unique_ptr<RoutingPolicy> makeRoutingPolicy(std::string_view name)
{
    for (const Registration &registration : kRegistrations) {
        if (registration.name == name)
            return registration.make();
    }
    return nullptr;
}

} // namespace foxtailtally
