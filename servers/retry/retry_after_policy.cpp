#include "servers/retry/retry_after_policy.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Rate that is assumed of a service that was hardly called lately. */
constexpr double kLeastCallsPerSecond = 1.0;

} // namespace

absl::Duration SpacedRetryAfter::retryAfter(const RefusedCall &call, absl::Time now)
{
    absl::Time &next = this->nextPlace[call.service];
    const absl::Time place = std::max({next, call.reopensAt, now});
    const double perSecond = std::max(call.callsPerSecond, kLeastCallsPerSecond) * kRetryRateShare;
    next = place + absl::Seconds(1.0 / perSecond);
    return place - now;
}

} // namespace foxtailtally
