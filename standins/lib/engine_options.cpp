#include "standins/lib/engine_options.h"

namespace foxtailtally {

EngineOptionsBuilder &EngineOptionsBuilder::setPrefillRate(double tokensPerSecond)
{
    this->options.prefillRate = tokensPerSecond;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setPrefillChunkTokens(std::int64_t tokens)
{
    this->options.prefillChunkTokens = tokens;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setPrefillDoublingTokens(std::int64_t tokens)
{
    this->options.prefillDoublingTokens = tokens;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setStepTime(absl::Duration time)
{
    this->options.stepTime = time;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setStepTimePerRequest(absl::Duration time)
{
    this->options.stepTimePerRequest = time;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setStepTimePerThousandTokens(absl::Duration time)
{
    this->options.stepTimePerThousandTokens = time;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setMemoryTokens(std::int64_t tokens)
{
    this->options.memoryTokens = tokens;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setCacheTokens(std::int64_t tokens)
{
    this->options.cacheTokens = tokens;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setColdLimit(std::int64_t requests)
{
    this->options.coldLimit = requests;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setWarmLimit(std::int64_t requests)
{
    this->options.warmLimit = requests;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setQueueLimit(std::int64_t requests)
{
    this->options.queueLimit = requests;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setColdRequests(std::int64_t requests)
{
    this->options.coldRequests = requests;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setColdSlowdown(double factor)
{
    this->options.coldSlowdown = factor;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setSpeed(double factor)
{
    this->options.speed = factor;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setReportInterval(absl::Duration interval)
{
    this->options.reportInterval = interval;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setReportLag(absl::Duration lag)
{
    this->options.reportLag = lag;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setEventDelay(absl::Duration delay)
{
    this->options.eventDelay = delay;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setEventLoss(double probability)
{
    this->options.eventLoss = probability;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setChecksFence(bool checks)
{
    this->options.checksFence = checks;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setReportsEveryToken(bool every)
{
    this->options.reportsEveryToken = every;
    return *this;
}

EngineOptionsBuilder &EngineOptionsBuilder::setSeed(std::uint64_t seed)
{
    this->options.seed = seed;
    return *this;
}

Result<EngineOptions> EngineOptionsBuilder::build() const
{
    const EngineOptions &o = this->options;
    const bool ratesValid = o.prefillRate > 0 && o.speed > 0 && o.coldSlowdown >= 1
        && o.eventLoss >= 0 && o.eventLoss <= 1;
    const bool sizesValid = o.prefillChunkTokens > 0 && o.prefillDoublingTokens > 0
        && o.memoryTokens > 0 && o.cacheTokens >= 0;
    const bool limitsValid =
        o.coldLimit > 0 && o.warmLimit > 0 && o.queueLimit >= 0 && o.coldRequests >= 0;
    // With steps of zero duration advance() would loop forever.
    const bool timesValid = o.stepTime > absl::ZeroDuration()
        && o.stepTimePerRequest >= absl::ZeroDuration()
        && o.stepTimePerThousandTokens >= absl::ZeroDuration()
        && o.reportInterval > absl::ZeroDuration() && o.reportLag >= absl::ZeroDuration()
        && o.eventDelay >= absl::ZeroDuration();
    if (!ratesValid || !sizesValid || !limitsValid || !timesValid) {
        return Error::SettingsInvalid;
    }
    return o;
}

} // namespace foxtailtally
