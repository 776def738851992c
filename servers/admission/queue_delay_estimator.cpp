#include "servers/admission/queue_delay_estimator.h"

namespace foxtailtally {

namespace {

// Exponential decay of older permits, so that the mean covers roughly the last hundred of them.
constexpr double kDecay = 0.99;

} // namespace

void QueueDelayEstimator::recordPermit(std::int64_t tokens, absl::Duration duration,
                                       bool isMeasured)
{
    // Short permits are the first to end. Earlier predictions stay in the mean, so that it does not
    // drop to the duration of these.
    if (this->hasMeasurement && !isMeasured)
        return;
    this->hasMeasurement = this->hasMeasurement || isMeasured;
    const auto size = static_cast<double>(tokens);
    this->weightedSeconds = this->weightedSeconds * kDecay + absl::ToDoubleSeconds(duration) * size;
    this->weight = this->weight * kDecay + size;
}

absl::Duration QueueDelayEstimator::delay(std::int64_t tokens, std::int64_t grantedTokens) const
{
    if (grantedTokens <= 0 || this->weight <= 0)
        return absl::ZeroDuration();
    const double meanSeconds = this->weightedSeconds / this->weight;
    return absl::Seconds(meanSeconds * static_cast<double>(tokens)
                         / static_cast<double>(grantedTokens));
}

} // namespace foxtailtally
