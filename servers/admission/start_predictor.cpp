#include "servers/admission/start_predictor.h"

#include <algorithm>

namespace foxtailtally {

namespace {

// Weight of a new measurement in the moving averages.
constexpr double kNewSampleWeight = 0.1;
// Relative growth of the time between tokens for each further request in the engine's batch.
constexpr double kSlowdownPerRequest = 0.02;
// Shorter prefills are dominated by the fixed cost of a request and give no useful rate.
constexpr std::int64_t kMinPrefillSampleTokens = 512;
// Shorter responses give no useful measurement of the time between tokens.
constexpr std::int64_t kMinDecodeSampleTokens = 4;
// With fewer samples the rate may still be far off, so no first token is classified as slow.
constexpr std::int32_t kMinSamplesForSlowCheck = 8;
// More prompts than are granted on a server while one long prompt is prefilled.
constexpr std::size_t kMaxRecentPrompts = 512;
// Limits the effect of a few extreme delays, which would make all deadlines of the class look
// impossible to meet.
constexpr double kMaxOvertakingFactor = 4;
constexpr double kSlowFactor = 4;
constexpr absl::Duration kSlowOffset = absl::Milliseconds(500);
// Lower bound, so that a run of very short responses does not make long ones look impossible.
constexpr double kMinLengthRatio = 0.25;

double slowdown(std::int64_t concurrent)
{
    return 1 + kSlowdownPerRequest * static_cast<double>(std::max<std::int64_t>(concurrent, 0));
}

void updateAverage(double &value, double sample)
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
    this->overtakingFactor.fill(1);
}

std::size_t StartPredictor::kindOf(RequestClass requestClass, std::int64_t promptTokens)
{
    return promptTokens > kLongPromptTokens ? kRequestClassCount : indexOf(requestClass);
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
        (this->backlog(profile.requestClass, now) + this->prefillTime(profile.promptTokens))
        * this->overtakingFactor[kindOf(profile.requestClass, profile.promptTokens)];
    return {firstToken, firstToken + this->decodeTime(profile.maxNewTokens, concurrent)};
}

StartPredictor::Prediction StartPredictor::predictAlone(const RequestProfile &profile) const
{
    const absl::Duration firstToken = this->prefillTime(profile.promptTokens)
        * this->overtakingFactor[kindOf(profile.requestClass, profile.promptTokens)];
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
    if (profile.promptTokens <= kLongPromptTokens) {
        this->shortPrefillUntil = std::max(this->shortPrefillUntil, now) + own;
        this->shortPacedUntil = std::max(this->shortPacedUntil, now) + 2 * own;
    }
    this->recentPrompts.push_back({now, profile.requestClass, profile.promptTokens});
    if (this->recentPrompts.size() > kMaxRecentPrompts)
        this->recentPrompts.pop_front();
    return firstToken;
}

void StartPredictor::clearBacklog()
{
    this->prefilledAt.fill(absl::InfinitePast());
    this->shortPrefillUntil = absl::InfinitePast();
    this->shortPacedUntil = absl::InfinitePast();
    this->longPrefillUntil = absl::InfinitePast();
}

void StartPredictor::recordFirstToken(const FirstTokenSample &sample)
{
    const std::int64_t known = sample.promptTokens + sample.tokensAhead;
    if (known < kMinPrefillSampleTokens || sample.elapsed <= absl::ZeroDuration())
        return;
    std::int64_t overtakingTokens = 0;
    for (auto prompt = this->recentPrompts.rbegin();
         prompt != this->recentPrompts.rend() && prompt->at >= sample.grantedAt; ++prompt) {
        if (prompt->requestClass < sample.requestClass
            && prompt->at < sample.grantedAt + sample.elapsed)
            overtakingTokens += prompt->tokens;
    }
    const double seconds = absl::ToDoubleSeconds(sample.elapsed);
    if (sample.hasFirstToken) {
        updateAverage(this->secondsPerPromptToken,
                      seconds / static_cast<double>(known + overtakingTokens));
        ++this->firstTokenSamples;
    }
    const double expected = this->secondsPerPromptToken * static_cast<double>(known);
    updateAverage(this->overtakingFactor[kindOf(sample.requestClass, sample.promptTokens)],
                  std::clamp(seconds / expected, 1.0, kMaxOvertakingFactor));
}

void StartPredictor::recordDecode(std::int64_t newTokens, absl::Duration elapsed,
                                  std::int64_t concurrent)
{
    if (newTokens < kMinDecodeSampleTokens || elapsed <= absl::ZeroDuration())
        return;
    updateAverage(this->secondsPerNewToken,
                  absl::ToDoubleSeconds(elapsed) / static_cast<double>(newTokens)
                      / slowdown(concurrent));
}

void StartPredictor::recordLength(std::int64_t newTokens, std::int64_t maxNewTokens)
{
    if (maxNewTokens <= 0)
        return;
    const double ratio = static_cast<double>(newTokens) / static_cast<double>(maxNewTokens);
    updateAverage(this->lengthRatio, std::clamp(ratio, kMinLengthRatio, 1.0));
}

bool StartPredictor::isSlow(absl::Duration predicted, absl::Duration measured) const
{
    return this->firstTokenSamples >= kMinSamplesForSlowCheck
        && measured > kSlowFactor * predicted + kSlowOffset;
}

} // namespace foxtailtally
