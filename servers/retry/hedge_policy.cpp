#include "servers/retry/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace foxtailtally {

namespace {

constexpr absl::Duration kBucketWidth = absl::Seconds(1);
/** Part of the limit that late requests use at a steady load; the rest is for many at a time, as
 * behind a server that pauses. */
constexpr double kUsualShare = 0.5;
/** Keeps the sum of many small shares from staying just below a whole copy. */
constexpr double kTolerance = 1e-9;

} // namespace

void HedgePolicy::onRequest(const std::string &service, absl::Time now)
{
    if (!this->isLimited())
        return;
    State &state = this->services[service];
    state.earned = std::min(1.0, state.earned + this->options.extraShare);
    ++currentBucket(state, now).requests;
}

void HedgePolicy::onResponse(const std::string &service, absl::Duration time)
{
    if (!this->isLimited())
        return;
    State &state = this->services[service];
    if (state.times.size() < kSamples)
        state.times.push_back(time);
    else
        state.times[state.next] = time;
    state.next = (state.next + 1) % kSamples;
}

void HedgePolicy::onNoResponse(const std::string &service, absl::Duration time)
{
    // A shorter time than the quantile says nothing about when the response would have come.
    const std::optional<absl::Duration> usual = this->delay(service);
    if (usual && time >= *usual)
        this->onResponse(service, time);
}

std::optional<absl::Duration> HedgePolicy::delay(const std::string &service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.times.size() < kMinSamples)
        return std::nullopt;
    std::vector<absl::Duration> times = found->second.times;
    const double last = static_cast<double>(times.size() - 1);
    // Copies at a lower quantile than the limit allows would use it up before the slowest requests.
    const double latest = 1.0 - kUsualShare * this->options.extraShare;
    const double quantile = std::max(this->options.quantile, latest);
    const auto rank = static_cast<std::ptrdiff_t>(std::lround(last * quantile));
    std::nth_element(times.begin(), times.begin() + rank, times.end());
    return std::max(absl::ZeroDuration(), times[static_cast<std::size_t>(rank)]);
}

bool HedgePolicy::mayCopy(const std::string &service, const ServiceRoom &room, absl::Time now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return false;
    const State &state = found->second;
    std::int64_t requests = 0;
    std::int64_t copies = 0;
    for (const Bucket &bucket : state.buckets) {
        // A bucket counts as long as a part of it lies in the window; its copies may.
        copies += now - bucket.start < kWindow + kBucketWidth ? bucket.copies : 0;
        requests += now - bucket.start < kWindow ? bucket.requests : 0;
    }
    const double limit = this->options.extraShare * static_cast<double>(requests) + kTolerance;
    const bool isWithinLimit = limit >= 1.0 ? static_cast<double>(copies + 1) <= limit
                                            : copies == 0 && state.earned >= 1.0 - kTolerance;
    return isWithinLimit
        && static_cast<double>(room.usedSlots) < kMaxUsedShare * static_cast<double>(room.slots);
}

void HedgePolicy::onCopy(const std::string &service, absl::Time now)
{
    if (!this->isLimited())
        return;
    State &state = this->services[service];
    state.earned = 0.0;
    ++currentBucket(state, now).copies;
}

HedgePolicy::Bucket &HedgePolicy::currentBucket(State &state, absl::Time now)
{
    while (!state.buckets.empty() && now - state.buckets.front().start >= kWindow + kBucketWidth)
        state.buckets.pop_front();
    if (state.buckets.empty() || now - state.buckets.back().start >= kBucketWidth)
        state.buckets.push_back({now});
    return state.buckets.back();
}

} // namespace foxtailtally
