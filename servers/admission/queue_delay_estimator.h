#pragma once

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/**
 * Predicts how long a group takes to grant a number of tokens. By Little's law a group that has
 * H tokens granted, each for a mean time T, frees H / T tokens a second.
 */
class QueueDelayEstimator
{
public:
    /** A permit of @p tokens lasted @p duration, as measured or, before that, as predicted. */
    void recordPermit(std::int64_t tokens, absl::Duration duration, bool isMeasured);

    /** Time to free @p tokens while @p grantedTokens are in use; zero before any permit. */
    absl::Duration delay(std::int64_t tokens, std::int64_t grantedTokens) const;

private:
    double weightedSeconds = 0;
    double weight = 0;
    bool hasMeasurement = false;
};

} // namespace foxtailtally
