#pragma once

#include "core/result.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** Parameters of one simulated engine; built by EngineOptionsBuilder. */
struct EngineOptions
{
    /** Prefill rate of a warm engine in tokens per second, for the first chunk of a prompt. */
    double prefillRate = 20000;
    std::int64_t prefillChunkTokens = 2048;
    /** A chunk that starts at this context length takes twice as long as the first chunk. */
    std::int64_t prefillDoublingTokens = 400000;
    absl::Duration stepTime = absl::Milliseconds(8);
    /** Added to the step time for each running request. */
    absl::Duration stepTimePerRequest = absl::Microseconds(250);
    /** Added to the step time for each 1,000 context tokens of running requests. */
    absl::Duration stepTimePerThousandTokens = absl::Microseconds(10);
    std::int64_t memoryTokens = 400000;
    /** Maximum memory that the prefix cache may use. */
    std::int64_t cacheTokens = 200000;
    /** A cold engine crashes when it has more concurrent requests than this. */
    std::int64_t coldLimit = 2;
    /** Maximum batch size; further requests wait in the engine's own queue. */
    std::int64_t warmLimit = 32;
    /** Maximum queue length; further requests are rejected as overloaded. */
    std::int64_t queueLimit = 32;
    /** The engine is cold until it has finished this many requests. */
    std::int64_t coldRequests = 20;
    /** Step times are multiplied by this while the engine is cold. */
    double coldSlowdown = 3;
    /** Step times are divided by this, so that short runs cover many requests. */
    double speed = 1;
    /** Load reports are taken at this interval and become visible after the lag. */
    absl::Duration reportInterval = absl::Milliseconds(200);
    absl::Duration reportLag = absl::Milliseconds(500);
    /** Cache events become visible after this delay. */
    absl::Duration eventDelay = absl::Milliseconds(500);
    /** Probability that a cache event is lost; its sequence number is still used. */
    double eventLoss = 0;
    /** Whether commands with a stale fence are rejected. */
    bool checksFence = true;
    /** Whether advance() reports every token, or only the first one of each request. */
    bool reportsEveryToken = true;
    std::uint64_t seed = 1;
};

/** Builds validated EngineOptions. */
class EngineOptionsBuilder
{
public:
    EngineOptionsBuilder &setPrefillRate(double tokensPerSecond);
    EngineOptionsBuilder &setPrefillChunkTokens(std::int64_t tokens);
    EngineOptionsBuilder &setPrefillDoublingTokens(std::int64_t tokens);
    EngineOptionsBuilder &setStepTime(absl::Duration time);
    EngineOptionsBuilder &setStepTimePerRequest(absl::Duration time);
    EngineOptionsBuilder &setStepTimePerThousandTokens(absl::Duration time);
    EngineOptionsBuilder &setMemoryTokens(std::int64_t tokens);
    EngineOptionsBuilder &setCacheTokens(std::int64_t tokens);
    EngineOptionsBuilder &setColdLimit(std::int64_t requests);
    EngineOptionsBuilder &setWarmLimit(std::int64_t requests);
    EngineOptionsBuilder &setQueueLimit(std::int64_t requests);
    EngineOptionsBuilder &setColdRequests(std::int64_t requests);
    EngineOptionsBuilder &setColdSlowdown(double factor);
    EngineOptionsBuilder &setSpeed(double factor);
    EngineOptionsBuilder &setReportInterval(absl::Duration interval);
    EngineOptionsBuilder &setReportLag(absl::Duration lag);
    EngineOptionsBuilder &setEventDelay(absl::Duration delay);
    EngineOptionsBuilder &setEventLoss(double probability);
    EngineOptionsBuilder &setChecksFence(bool checks);
    EngineOptionsBuilder &setReportsEveryToken(bool every);
    EngineOptionsBuilder &setSeed(std::uint64_t seed);

    /** SettingsInvalid if a rate, time, size or limit is out of range. */
    Result<EngineOptions> build() const;

private:
    EngineOptions options;
};

} // namespace foxtailtally
