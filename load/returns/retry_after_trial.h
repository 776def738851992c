#pragma once

#include "servers/retry/retry_after_policy.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailtally {

/** A service whose servers all shed load at the same time, and callers that retry once. */
struct RetryAfterTrialSetup
{
    int instances = 6;
    int servers = 14;
    int slots = 4;
    /** Calls that wait at a server beyond its slots; further ones are rejected. */
    int queue = 4;
    absl::Duration serviceTime = absl::Milliseconds(500);
    /** Arrival rate as a share of the servers' capacity. */
    double load = 0.8;
    absl::Duration deadline = absl::Seconds(10);
    absl::Duration length = absl::Seconds(40);
    /** When the servers begin to shed load, and the pause that they request. */
    absl::Time shedAt = absl::UnixEpoch() + absl::Seconds(10);
    absl::Duration pause = absl::Seconds(2);
    /** Pause that a full server requests. */
    absl::Duration fullServerPause = absl::Milliseconds(500);
};

struct RetryAfterTrialResult
{
    /** Calls that callers made, without retries. */
    int asked = 0;
    int served = 0;
    int refused = 0;
    /** Retries that were refused again. */
    int refusedAgain = 0;
    /** Time from a caller's first attempt to its response. */
    double meanMs = 0;
    double p95Ms = 0;
};

using RetryAfterPolicyFactory = std::function<std::unique_ptr<RetryAfterPolicy>()>;

/** All callers retry when the servers accept calls again. */
std::unique_ptr<RetryAfterPolicy> makeRetryAtReopening();
/** Callers retry at random times within a second after that. */
std::unique_ptr<RetryAfterPolicy> makeRetryWithJitter(std::uint64_t seed);
/** Spaced as SpacedRetryAfter does it, but callers whose turn would come too late retry when the
 * servers accept calls again. */
std::unique_ptr<RetryAfterPolicy> makeRetryUrgentFirst();

/** Simulates the setup in virtual time; each instance has a policy of its own. */
RetryAfterTrialResult runRetryAfterTrial(const RetryAfterTrialSetup &setup,
                                         const RetryAfterPolicyFactory &policy, std::uint64_t seed);

} // namespace foxtailtally
