#pragma once

#include "servers/retry/return_policy.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailtally {

/** A service whose servers all shed at once, and callers that come back once. */
struct RetryAfterTrialSetup
{
    int instances = 6;
    int servers = 14;
    int slots = 4;
    /** Calls that wait at a server beyond its slots; more are turned away. */
    int queue = 4;
    absl::Duration serviceTime = absl::Milliseconds(500);
    /** Arrivals as a share of what the servers bear. */
    double load = 0.8;
    absl::Duration deadline = absl::Seconds(10);
    absl::Duration length = absl::Seconds(40);
    /** When the servers shed, and the pause that they ask for then. */
    absl::Time shedAt = absl::UnixEpoch() + absl::Seconds(10);
    absl::Duration pause = absl::Seconds(2);
    /** Pause that a full server asks for. */
    absl::Duration fullPause = absl::Milliseconds(500);
};

struct RetryAfterTrialResult
{
    int asked = 0;
    int served = 0;
    int refused = 0;
    /** Callers that came back and were refused again. */
    int refusedAgain = 0;
    /** Time from a caller's first attempt to its answer. */
    double meanMs = 0;
    double p95Ms = 0;
};

using RetryAfterPolicyFactory = std::function<std::unique_ptr<ReturnPolicy>()>;

/** All callers return when the servers reopen. */
std::unique_ptr<ReturnPolicy> makeRetryAtReopening();
/** Callers return at random times in a second after that. */
std::unique_ptr<ReturnPolicy> makeRetryWithJitter(std::uint64_t seed);
/** Spaced as SpacedReturns does it, but callers for whom their place is too late return when the
 * servers reopen. */
std::unique_ptr<ReturnPolicy> makeRetryUrgentFirst();

/** Plays the setup in virtual time; each instance has a policy of its own. */
RetryAfterTrialResult runRetryAfterTrial(const RetryAfterTrialSetup &setup,
                                         const RetryAfterPolicyFactory &policy, std::uint64_t seed);

} // namespace foxtailtally
