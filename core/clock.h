#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

/**
 * The only reader of the system's clocks. Deciding functions take the time as an argument.
 */
class Clock
{
public:
    /** Wall time at process start advanced by the monotonic clock; never goes back. */
    static absl::Time now();

    /** Wall time; may jump. Used for dates in idempotency keys and logs only. */
    static absl::Time wallNow();
};

} // namespace foxtailtally
