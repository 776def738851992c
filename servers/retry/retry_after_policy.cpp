#include "servers/retry/retry_after_policy.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Lowest rate that is assumed for a service, in case it has had few calls lately. */
constexpr double kMinCallsPerSecond = 1.0;

} // namespace

absl::Duration SpacedRetryAfter::retryAfter(const RefusedCall &call, absl::Time now)
{
    absl::Time &next = this->nextRetryAt[call.service];
    const absl::Time retryAt = std::max({next, call.reopensAt, now});
    const double perSecond = std::max(call.callsPerSecond, kMinCallsPerSecond) * kRetryRateShare;
    next = retryAt + absl::Seconds(1.0 / perSecond);
    return retryAt - now;
}

} // namespace foxtailtally
