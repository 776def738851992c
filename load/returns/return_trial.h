#pragma once

#include "servers/retry/retry_after_policy.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailtally {

/** A service whose servers all shed at once, and callers that come back once. */
struct ReturnTrialSetup
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

struct ReturnTrialResult
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

using ReturnPolicyMaker = std::function<std::unique_ptr<RetryAfterPolicy>()>;

/** All callers return when the servers reopen. */
std::unique_ptr<RetryAfterPolicy> makeReturnsAtEnd();
/** Callers return at random times in a second after that. */
std::unique_ptr<RetryAfterPolicy> makeReturnsInASecond(std::uint64_t seed);
/** Spaced as SpacedRetryAfter does it, but callers for whom their place is too late return when the
 * servers reopen. */
std::unique_ptr<RetryAfterPolicy> makeReturnsUrgentFirst();

/** Plays the setup in virtual time; each instance has a policy of its own. */
ReturnTrialResult runReturnTrial(const ReturnTrialSetup &setup, const ReturnPolicyMaker &policy,
                                 std::uint64_t seed);

} // namespace foxtailtally
