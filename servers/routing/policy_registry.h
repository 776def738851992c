#pragma once

#include "servers/routing/routing_policy.h"

#include <memory>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Name of the policy used when the settings name none. */
constexpr std::string_view kDefaultRoutingPolicy = "deadline_aware";

/** Names of all policies, the default first. */
std::vector<std::string_view> routingPolicyNames();

/** Creates a policy; returns null for an unknown name. */
std::unique_ptr<RoutingPolicy> makeRoutingPolicy(std::string_view name);

} // namespace foxtailtally
