#pragma once

#include "core/request.h"

#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One kind of request of a deployment. */
struct RequestKind
{
    std::string_view name;
    RequestClass requestClass = RequestClass::Normal;
    /** Relative frequency among the requests of the deployment. */
    double weight = 1;
    /** Prompt lengths follow a bounded Pareto distribution: most are near the minimum. */
    std::int64_t minPromptTokens = 1000;
    std::int64_t maxPromptTokens = 1000;
    double paretoShape = 1.2;
    std::int64_t minNewTokens = 16;
    std::int64_t maxNewTokens = 64;
    /** Maximum time from sending to the end of the response. */
    absl::Duration deadline = absl::Seconds(10);
    /** Length of the prompt prefix that all requests of this kind and customer share. */
    std::int64_t sharedPrefixTokens = 0;
    /** Name of the plain service for a non-idempotent action; empty for a model request. */
    std::string_view service;
    std::string_view action;
};

/** Topology, latencies and request mix of one deployment (design section 1). */
struct Deployment
{
    std::string_view name;
    std::string_view model;
    int domains = 3;
    absl::Duration interDomainLatency;
    absl::Duration clientLatency;
    /** Number of servers of each group; group i is in domain i modulo the number of domains. */
    std::vector<int> groupServers;
    int entryInstances = 6;
    int customers = 10;
    /** Ratio of requests whose callers read the response much slower than it is produced. */
    double slowReaderRatio = 0;
    /** Ratio of requests that the caller sends again with the same idempotency key. */
    double repeatedSendRatio = 0;
    std::vector<RequestKind> kinds;

    int servers() const;
};

/** Deployment by name ("himrekha" or "fotocheck"), or null. */
const Deployment *findDeployment(std::string_view name);

std::span<const std::string_view> deploymentNames();

} // namespace foxtailtally
