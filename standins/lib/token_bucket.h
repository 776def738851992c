#pragma once

#include <absl/time/time.h>
#include <algorithm>

namespace foxtailtally {

/** Token bucket rate limiter. */
class TokenBucket
{
public:
    /** @p rate in calls per second; @p burst in calls. The bucket starts full. */
    TokenBucket(double rate, double burst)
        : rate(rate)
        , burst(burst)
        , available(burst)
    { }

    bool tryTake(absl::Time now)
    {
        if (this->refilledAt != absl::InfinitePast()) {
            this->available += this->rate * absl::ToDoubleSeconds(now - this->refilledAt);
        }
        this->available = std::min(this->available, this->burst);
        this->refilledAt = now;
        if (this->available < 1) {
            return false;
        }
        this->available -= 1;
        return true;
    }

private:
    double rate;
    double burst;
    double available;
    absl::Time refilledAt = absl::InfinitePast();
};

} // namespace foxtailtally
