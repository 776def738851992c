#include "servers/catalog/serving_config.h"

#include "core/hash.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <numeric>

namespace foxtailtally {

namespace {

/** Callers abandon a stream without an event for the longest of kMinStreamIdleTimeout and these
 * multiples of the route's objectives. */
constexpr absl::Duration kMinStreamIdleTimeout = absl::Seconds(2);
constexpr int kIdleObjectives = 4;
constexpr int kIdleEventGaps = 8;

std::string hostWithoutPort(std::string_view host)
{
    const std::size_t colon = host.find(':');
    std::string name(host.substr(0, colon));
    absl::AsciiStrToLower(&name);
    return name;
}

} // namespace

absl::Duration Route::streamIdleTimeout() const
{
    return std::max({kMinStreamIdleTimeout, this->objective * kIdleObjectives,
                     this->eventGapObjective * kIdleEventGaps});
}

const Route *ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(hostWithoutPort(host));
    if (found == this->routesByHost.end())
        return nullptr;
    const auto &routes = found->second;
    const auto match = std::find_if(routes.begin(), routes.end(), [path](const Route &route) {
        return path.starts_with(route.pathPrefix);
    });
    return match == routes.end() ? nullptr : &*match;
}

const Service *ServingConfig::findService(std::string_view name) const
{
    const auto found = this->services.find(std::string(name));
    return found == this->services.end() ? nullptr : &found->second;
}

std::vector<const Service *> ServingConfig::scalableServices() const
{
    std::vector<const Service *> scalable;
    for (const auto &[name, service] : this->services) {
        if (service.scaling)
            scalable.push_back(&service);
    }
    std::sort(scalable.begin(), scalable.end(),
              [](const Service *a, const Service *b) { return a->name < b->name; });
    return scalable;
}

const Customer *ServingConfig::findCustomer(std::string_view key) const
{
    const auto found = this->customerByKey.find(std::string(key));
    return found == this->customerByKey.end() ? nullptr : &this->customers[found->second];
}

ServingConfig::Builder::Builder()
    : config(std::make_shared<ServingConfig>())
{ }

ServingConfig::Builder &ServingConfig::Builder::version(std::int64_t number)
{
    this->config->versionNumber = number;
    return *this;
}

ServingConfig::Builder &ServingConfig::Builder::limits(const CallerLimits &limits)
{
    this->config->callerLimits = limits;
    return *this;
}

ServingConfig::Builder &ServingConfig::Builder::addRoute(Route route)
{
    this->config->routesByHost[hostWithoutPort(route.host)].push_back(std::move(route));
    ++this->config->routeTotal;
    return *this;
}

ServingConfig::Builder &ServingConfig::Builder::addService(Service service)
{
    std::string name = service.name;
    this->config->services.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

ServingConfig::Builder &ServingConfig::Builder::addCustomer(const Customer &customer,
                                                            const std::vector<std::string> &keys)
{
    const std::size_t index = this->config->customers.size();
    this->config->customers.push_back(customer);
    for (const std::string &key : keys)
        this->config->customerByKey.insert_or_assign(key, index);
    this->config->customersPresent = true;
    return *this;
}

ServingConfig::Builder &ServingConfig::Builder::requireKeys()
{
    this->config->customersPresent = true;
    return *this;
}

std::shared_ptr<const ServingConfig> ServingConfig::Builder::build()
{
    for (auto &[host, routes] : this->config->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route &a, const Route &b) {
            return a.pathPrefix.size() > b.pathPrefix.size();
        });
    }
    return std::move(this->config);
}

std::string_view targetService(const Route &route, std::string_view callId)
{
    const std::uint64_t total = std::accumulate(
        route.targets.begin(), route.targets.end(), std::uint64_t {0},
        [](std::uint64_t sum, const RouteTarget &target) { return sum + target.weight; });
    if (total == 0)
        return route.targets.empty() ? std::string_view() : route.targets.front().service;
    std::uint64_t point = stableHash(callId) % total;
    for (const RouteTarget &target : route.targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace foxtailtally
