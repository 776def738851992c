#include "core/clock.h"

#include <absl/time/clock.h>
#include <chrono>

namespace foxtailtally {

absl::Time Clock::now()
{
    static const absl::Time wallStart = absl::Now();
    static const auto steadyStart = std::chrono::steady_clock::now();
    return wallStart + absl::FromChrono(std::chrono::steady_clock::now() - steadyStart);
}

absl::Time Clock::wallNow()
{
    return absl::Now();
}

} // namespace foxtailtally
