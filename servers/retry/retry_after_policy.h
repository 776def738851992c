#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/** A call that is refused because all servers of its service have asked for a pause. */
struct RefusedCall
{
    std::string service;
    /** When the first server accepts calls again. */
    absl::Time reopensAt;
    /** Until when a response is of use to the caller. */
    absl::Time usefulUntil;
    /** Recent rate of calls to the service at this instance. */
    double callsPerSecond = 0;
};

/** Chooses when refused callers are told to retry. */
class RetryAfterPolicy
{
public:
    virtual ~RetryAfterPolicy() = default;
    /** Time after which the caller may retry. */
    virtual absl::Duration retryAfter(const RefusedCall &call, absl::Time now) = 0;
};

/**
 * Spaces the retries of refused callers evenly, at a share of the service's usual rate, so that the
 * servers have capacity for them beside new calls. If all retried at once, they would be refused
 * again, and the servers would ask for another pause.
 */
class SpacedRetryAfter final : public RetryAfterPolicy
{
public:
    /** Share of a service's usual rate at which refused callers retry. */
    static constexpr double kRetryRateShare = 0.5;

    absl::Duration retryAfter(const RefusedCall &call, absl::Time now) override;

private:
    /** Earliest time of the next retry, by service. */
    absl::flat_hash_map<std::string, absl::Time> nextRetryAt;
};

} // namespace foxtailtally
