#pragma once

#include "core/request.h"
#include "load/workload/deployment.h"
#include "standins/lib/engine_model.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** Times of one request on a warm engine with no other requests and an empty prefix cache. */
struct IdleTimes
{
    absl::Duration timeToFirstToken;
    absl::Duration total;
};

IdleTimes idleTimes(const RequestProfile &request, const EngineOptions &options);

/** Runs as many small requests on @p engine as it needs to become warm; returns the end time. */
absl::Time warmUp(EngineModel &engine, const EngineOptions &options, absl::Time now);

/**
 * Capacity of @p deployment in model requests per second: the rate at which one saturated engine
 * finishes the deployment's mix, times the number of servers. Memory that long contexts reserve on
 * further engines is not counted, so the true capacity is slightly lower.
 */
double capacityPerSecond(const Deployment &deployment, const EngineOptions &options);

} // namespace foxtailtally
