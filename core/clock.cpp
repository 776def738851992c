#include "core/clock.h"

#include <absl/time/clock.h>
#include <ctime>

namespace foxtailtally {

namespace {

/** Time since boot, including the time for which the machine was suspended: leases and confirmed
 * configurations age during a suspension too. */
absl::Duration sinceBoot()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::DurationFromTimespec(time);
}

} // namespace

absl::Time Clock::now()
{
    static const absl::Time wallStart = absl::Now();
    static const absl::Duration bootStart = sinceBoot();
    return wallStart + (sinceBoot() - bootStart);
}

absl::Time Clock::wallNow()
{
    return absl::Now();
}

} // namespace foxtailtally
