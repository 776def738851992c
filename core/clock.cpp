#include "core/clock.h"

#include <absl/time/clock.h>
#include <ctime>

namespace foxtailtally {

namespace {

/** Time since start-up, the time for which the machine was suspended included: a lease or a
 * confirmed configuration ages meanwhile. */
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
