#include "servers/retry/retry_budget.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Share of the fleet-wide bound that the instances use; the rest is a margin for differences
 * between their views. */
constexpr double kUsedShare = 0.75;

constexpr absl::Duration kBucketWidth = absl::Seconds(1);

} // namespace

void RetryBudget::onCall(const std::string &service, absl::Time now)
{
    ++this->current(service, now).calls;
}

double RetryBudget::callsPerSecond(const std::string &service, absl::Time now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 0.0;
    std::int64_t calls = 0;
    absl::Time since = now;
    for (const Bucket &past : found->second) {
        if (now - past.start > this->options.window)
            continue;
        calls += past.calls;
        since = std::min(since, past.start);
    }
    // Without this minimum a bucket that has just begun would give too high a rate.
    const absl::Duration span = std::max(now - since, kBucketWidth);
    return static_cast<double>(calls) / absl::ToDoubleSeconds(span);
}

bool RetryBudget::tryRetry(const std::string &service, std::size_t instances, absl::Time now)
{
    Bucket &bucket = this->current(service, now);
    std::int64_t calls = 0;
    std::int64_t retries = 0;
    for (const Bucket &past : this->services[service]) {
        calls += past.calls;
        retries += past.retries;
    }
    const double slack =
        this->options.slack / static_cast<double>(std::max<std::size_t>(1, instances));
    const double bound = kUsedShare * (this->options.ratio * static_cast<double>(calls) + slack);
    if (static_cast<double>(retries + 1) > bound)
        return false;
    ++bucket.retries;
    return true;
}

RetryBudget::Bucket &RetryBudget::current(const std::string &service, absl::Time now)
{
    Buckets &buckets = this->services[service];
    while (!buckets.empty() && now - buckets.front().start > this->options.window)
        buckets.pop_front();
    if (buckets.empty() || now - buckets.back().start >= kBucketWidth)
        buckets.push_back({now});
    return buckets.back();
}

} // namespace foxtailtally
