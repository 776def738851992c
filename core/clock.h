#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

/**
 * The only place that reads the system clocks. Code that makes decisions takes the time as an
 * argument.
 */
class Clock
{
public:
    /** Wall time at process start, advanced by CLOCK_BOOTTIME; never goes back. */
    static absl::Time now();

    /** Wall time; may jump. Used for dates in idempotency keys and logs only. */
    static absl::Time wallNow();
};

} // namespace foxtailtally
