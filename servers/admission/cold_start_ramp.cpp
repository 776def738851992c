#include "servers/admission/cold_start_ramp.h"

#include <algorithm>

namespace foxtailtally {

namespace {

// A smaller cache than this may shrink in normal operation, which does not mean that it was lost.
constexpr std::int64_t kMinPeakBlocks = 64;
// The cache is considered lost when it holds less than 1 / kLostCacheDivisor of its peak.
constexpr std::int64_t kLostCacheDivisor = 20;
// Single slow first tokens also occur on warm servers, so the limit drops only after several of
// them. Each first token that is not slow reduces the count by one.
constexpr std::int32_t kSlowFirstTokenThreshold = 3;

} // namespace

ColdStartRamp::ColdStartRamp(std::int64_t coldLimit, std::int64_t warmLimit)
    : cold(std::max<std::int64_t>(coldLimit, 0))
    , warm(std::max(coldLimit, warmLimit))
    , current(cold)
{ }

void ColdStartRamp::setLimits(std::int64_t coldLimit, std::int64_t warmLimit)
{
    this->cold = std::max<std::int64_t>(coldLimit, 0);
    this->warm = std::max(this->cold, warmLimit);
    this->current = std::clamp(this->current, this->cold, this->warm);
}

void ColdStartRamp::reset()
{
    this->current = this->cold;
    this->peakBlocks = 0;
    this->slowFirstTokens = 0;
    this->isEngineWarm = false;
    this->hasReport = false;
}

void ColdStartRamp::onReport(const LoadReport &report)
{
    const bool hasLostCache = this->peakBlocks >= kMinPeakBlocks
        && report.cachedBlocks < this->peakBlocks / kLostCacheDivisor;
    if (hasLostCache || (this->isEngineWarm && !report.warm)) {
        this->reset();
    } else if (!this->hasReport && report.warm) {
        // A new owner of a busy warm server starts from the number of requests that already run
        // there.
        this->current = std::clamp(report.running, this->cold, this->warm);
    }
    this->hasReport = true;
    this->isEngineWarm = report.warm;
    this->peakBlocks = std::max(this->peakBlocks, report.cachedBlocks);
}

void ColdStartRamp::onSuccess(bool hasSlowFirstToken, std::int64_t inUse)
{
    if (hasSlowFirstToken) {
        if (++this->slowFirstTokens >= kSlowFirstTokenThreshold) {
            this->current = this->cold;
            this->slowFirstTokens = 0;
        }
        return;
    }
    this->slowFirstTokens = std::max(this->slowFirstTokens - 1, 0);
    if (this->isEngineWarm && inUse * 2 >= this->current)
        this->current = std::min(this->current + 1, this->warm);
}

std::int64_t ColdStartRamp::limit() const
{
    return this->isEngineWarm ? this->current : this->cold;
}

} // namespace foxtailtally
