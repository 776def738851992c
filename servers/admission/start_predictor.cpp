#include "servers/admission/start_predictor.h"

#include <algorithm>

namespace foxtailtally {

namespace {

// Weight of a new measurement in the moving averages.
constexpr double kNewSampleWeight = 0.1;
// Relative growth of the time between tokens for each further request in the engine's batch.
constexpr double kSlowdownPerRequest = 0.02;
// The fixed cost of a request dominates shorter prefills, so they say little about the rate.
constexpr std::int64_t kMinimumPrefillSample = 512;
// Answers shorter than this say little about the time between tokens.
constexpr std::int64_t kMinimumDecodeSample = 4;
// Until this many samples the initial rate may be far off, so no first token is called slow.
constexpr std::int32_t kTrustedSamples = 8;
constexpr double kSlowFactor = 4;
constexpr absl::Duration kSlowOffset = absl::Milliseconds(500);
// A run of very short answers must not make the prediction ignore the allowed length.
constexpr double kMinimumLengthRatio = 0.25;

double slowdown(std::int64_t concurrent)
{
    return 1 + kSlowdownPerRequest * static_cast<double>(std::max<std::int64_t>(concurrent, 0));
}

void average(double &value, double sample)
{
    value += kNewSampleWeight * (sample - value);
}

std::size_t indexOf(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

} // namespace

StartPredictor::StartPredictor(double prefillRate, absl::Duration tokenTime)
    : secondsPerPromptToken(1 / prefillRate)
    , secondsPerNewToken(absl::ToDoubleSeconds(tokenTime))
{
    this->prefilledAt.fill(absl::InfinitePast());
}

absl::Duration StartPredictor::prefillTime(std::int64_t tokens) const
{
    return absl::Seconds(this->secondsPerPromptToken * static_cast<double>(tokens));
}

absl::Duration StartPredictor::decodeTime(std::int64_t maxNewTokens, std::int64_t concurrent) const
{
    return absl::Seconds(this->secondsPerNewToken * slowdown(concurrent) * this->lengthRatio
                         * static_cast<double>(maxNewTokens));
}

absl::Duration StartPredictor::backlog(RequestClass requestClass, absl::Time now) const
{
    return std::max(this->prefilledAt[indexOf(requestClass)] - now, absl::ZeroDuration());
}

StartPredictor::Prediction StartPredictor::predict(const RequestProfile &profile,
                                                   std::int64_t concurrent, absl::Time now) const
{
    const absl::Duration firstToken =
        this->backlog(profile.requestClass, now) + this->prefillTime(profile.promptTokens);
    return {firstToken, firstToken + this->decodeTime(profile.maxNewTokens, concurrent)};
}

StartPredictor::Prediction StartPredictor::predictAlone(const RequestProfile &profile) const
{
    const absl::Duration firstToken = this->prefillTime(profile.promptTokens);
    return {firstToken, firstToken + this->decodeTime(profile.maxNewTokens, 0)};
}

absl::Time StartPredictor::addPrompt(const RequestProfile &profile, absl::Time now)
{
    const absl::Duration own = this->prefillTime(profile.promptTokens);
    for (std::size_t i = indexOf(profile.requestClass); i < kRequestClassCount; ++i)
        this->prefilledAt[i] = std::max(this->prefilledAt[i], now) + own;
    const absl::Time firstToken = this->prefilledAt[indexOf(profile.requestClass)];
    if (profile.promptTokens > kLongPromptTokens)
        this->longPrefillUntil = std::max(this->longPrefillUntil, firstToken);
    return firstToken;
}

void StartPredictor::clearBacklog()
{
    this->prefilledAt.fill(absl::InfinitePast());
    this->longPrefillUntil = absl::InfinitePast();
}

void StartPredictor::recordFirstToken(std::int64_t tokens, absl::Duration elapsed)
{
    if (tokens < kMinimumPrefillSample || elapsed <= absl::ZeroDuration())
        return;
    average(this->secondsPerPromptToken,
            absl::ToDoubleSeconds(elapsed) / static_cast<double>(tokens));
    ++this->firstTokenSamples;
}

void StartPredictor::recordDecode(std::int64_t newTokens, absl::Duration elapsed,
                                  std::int64_t concurrent)
{
    if (newTokens < kMinimumDecodeSample || elapsed <= absl::ZeroDuration())
        return;
    average(this->secondsPerNewToken,
            absl::ToDoubleSeconds(elapsed) / static_cast<double>(newTokens) / slowdown(concurrent));
}

void StartPredictor::recordLength(std::int64_t newTokens, std::int64_t maxNewTokens)
{
    if (maxNewTokens <= 0)
        return;
    const double ratio = static_cast<double>(newTokens) / static_cast<double>(maxNewTokens);
    average(this->lengthRatio, std::clamp(ratio, kMinimumLengthRatio, 1.0));
}

bool StartPredictor::isSlow(absl::Duration predicted, absl::Duration measured) const
{
    return this->firstTokenSamples >= kTrustedSamples
        && measured > kSlowFactor * predicted + kSlowOffset;
}

} // namespace foxtailtally
