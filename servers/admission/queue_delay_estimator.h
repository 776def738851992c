#pragma once

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/**
 * Predicts how long a group takes to grant a number of tokens. By Little's law, a group with H
 * granted tokens that are each held for a mean time T frees H / T tokens a second.
 */
class QueueDelayEstimator
{
public:
    /** Records the duration of a permit. Predictions count only until the first measurement. */
    void recordPermit(std::int64_t tokens, absl::Duration duration, bool isMeasured);

    /** Time to free @p tokens while @p grantedTokens are in use; zero before any permit. */
    absl::Duration delay(std::int64_t tokens, std::int64_t grantedTokens) const;

private:
    double weightedSeconds = 0;
    double weight = 0;
    bool hasMeasurement = false;
};

} // namespace foxtailtally
