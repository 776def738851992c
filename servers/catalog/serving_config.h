#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Whether a call of a route may be retried after a failure. */
enum class CallKind : std::uint8_t {
    /** May run any number of times. */
    Idempotent,
    /** Must run at most once. */
    NonIdempotent,
    /** Responds with a stream of events; may be retried only if the route can resume streams. */
    Streaming,
};

/** One service that receives a share of a route's calls. */
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    CallKind kind = CallKind::NonIdempotent;
    /** Longest time until the final response to a call. */
    absl::Duration timeout = absl::Seconds(10);
    /** Latency objective of a response, or of the first event of a stream. */
    absl::Duration objective = absl::Seconds(1);
    /** Objective for the gap between two events of a stream. */
    absl::Duration eventGapObjective = absl::Seconds(1);
    /** 0 is the most urgent. */
    int priority = 1;
    /** Backend servers on which one call may run. */
    int maxAttempts = 1;
    bool needsKey = true;
    bool canResume = false;
    std::vector<RouteTarget> targets;

    /** Time without an event after which callers abandon a stream. */
    absl::Duration streamIdleTimeout() const;
    bool isRepeatable() const
    {
        return this->kind == CallKind::Idempotent
            || (this->kind == CallKind::Streaming && this->canResume);
    }
};

/** Cost model of the model engines of a service. */
struct EngineTiming
{
    double stepMs = 1.0;
    double stepMsPerDecodingStream = 0.0;
    double stepMsPerThousandContext = 0.0;
    double prefillTokensPerMs = 100.0;
    /** Time for each million token pairs; a prompt of n tokens has n * n / 2 pairs. */
    double prefillMsPerMillionPairs = 0.0;
    /** Maximum number of prompt tokens that an engine prefills between two decoding steps. */
    std::int64_t chunkTokens = 2048;
    /** Steps that an engine runs in one pass while any of its requests is decoding. */
    std::int64_t stepsPerPass = 1;
    std::int64_t slots = 16;
    std::int64_t memoryTokens = 0;
};

/** Limits on the number of backend servers of a service. */
struct ScalingLimits
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /** Time until an ordered server begins to serve. */
    absl::Duration startupTime = absl::ZeroDuration();
};

struct Service
{
    std::string name;
    std::int64_t maxConnections = 0;
    /** Requests per second that a cold backend server can take; zero without a cold start. */
    double coldRequestsPerSecond = 0.0;
    bool isEngine = false;
    EngineTiming engine;
    /** Absent if the number of servers is not controlled. */
    std::optional<ScalingLimits> scaling;
};

/** Bounds on what a caller may send. */
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);
};

struct Customer
{
    CustomerId id;
    /** Overrides the priority of the route when set. */
    int priority = -1;
};

/** One version of the configuration, immutable once it is built. */
class ServingConfig
{
public:
    class Builder;

    std::int64_t version() const { return this->versionNumber; }
    const CallerLimits &limits() const { return this->callerLimits; }

    /** The route of @p host with the longest prefix of @p path; null when there is none. */
    const Route *findRoute(std::string_view host, std::string_view path) const;
    const Service *findService(std::string_view name) const;
    /** Services with limits on the number of their servers, ordered by name. */
    std::vector<const Service *> scalableServices() const;
    /** The customer that owns @p key; null when there is none. */
    const Customer *findCustomer(std::string_view key) const;
    /** Whether this version requires keys of callers. */
    bool hasCustomers() const { return this->customersPresent; }
    std::size_t routeCount() const { return this->routeTotal; }

private:
    std::int64_t versionNumber = 0;
    CallerLimits callerLimits;
    bool customersPresent = false;
    std::size_t routeTotal = 0;
    /** Routes of a host, the longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<Route>> routesByHost;
    absl::flat_hash_map<std::string, Service> services;
    std::vector<Customer> customers;
    absl::flat_hash_map<std::string, std::size_t> customerByKey;
};

class ServingConfig::Builder
{
public:
    Builder();

    Builder &version(std::int64_t number);
    Builder &limits(const CallerLimits &limits);
    Builder &addRoute(Route route);
    Builder &addService(Service service);
    Builder &addCustomer(const Customer &customer, const std::vector<std::string> &keys);
    /** Requires keys even if there are no customers. */
    Builder &requireKeys();

    std::shared_ptr<const ServingConfig> build();

private:
    std::shared_ptr<ServingConfig> config;
};

/** The target of @p route for the call with @p callId, chosen by weight; the same for each attempt
 * of a call. */
std::string_view targetService(const Route &route, std::string_view callId);

} // namespace foxtailtally
