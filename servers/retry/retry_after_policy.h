#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/** A call that is refused because all servers of its service have asked for a pause. */
struct RefusedCall
{
    std::string service;
    /** When the first server takes calls again. */
    absl::Time reopensAt;
    /** Until when the answer is of use to the caller. */
    absl::Time usefulUntil;
    /** Calls of the service that this instance gets, as of late. */
    double callsPerSecond = 0;
};

/** Chooses when callers that were refused come back. */
class RetryAfterPolicy
{
public:
    virtual ~RetryAfterPolicy() = default;
    /** Time after which the caller may come back. */
    virtual absl::Duration retryAfter(const RefusedCall &call, absl::Time now) = 0;
};

/**
 * Lets refused callers return one after the other, at a share of the usual rate, so that they find
 * room beside those that come for the first time; all at once they would be refused again, and the
 * servers would ask for the next pause.
 */
class SpacedRetryAfter final : public RetryAfterPolicy
{
public:
    /** Share of a service's usual rate at which refused callers return. */
    static constexpr double kRetryRateShare = 0.5;

    absl::Duration retryAfter(const RefusedCall &call, absl::Time now) override;

private:
    /** The next free place in the order, by service. */
    absl::flat_hash_map<std::string, absl::Time> nextPlace;
};

} // namespace foxtailtally
