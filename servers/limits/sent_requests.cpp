#include "servers/limits/sent_requests.h"

#include <numeric>

namespace foxtailtally {

namespace {

constexpr absl::Duration kBucketWidth = absl::Seconds(1);

std::int64_t bucketNumber(absl::Time now)
{
    return (now - absl::UnixEpoch()) / kBucketWidth;
}

} // namespace

void SentRequests::add(RequestKind kind, absl::Time now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = this->buckets[static_cast<std::size_t>(number) % kBuckets];
    if (bucket.number != number)
        bucket = {number, {}};
    ++bucket.counts[static_cast<std::size_t>(kind)];
}

std::int64_t SentRequests::count(RequestKind kind, absl::Time now) const
{
    const std::int64_t first = bucketNumber(now) - static_cast<std::int64_t>(kBuckets) + 1;
    std::int64_t count = 0;
    for (const Bucket &bucket : this->buckets) {
        if (bucket.number >= first)
            count += bucket.counts[static_cast<std::size_t>(kind)];
    }
    return count;
}

std::int64_t SentRequests::total(absl::Time now) const
{
    std::int64_t total = 0;
    for (std::size_t kind = 0; kind < kRequestKinds; ++kind)
        total += this->count(static_cast<RequestKind>(kind), now);
    return total;
}

} // namespace foxtailtally
