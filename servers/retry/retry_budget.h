#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <string>

namespace foxtailtally {

struct RetryBudgetOptions
{
    /** Retries allowed for each call, over all instances. */
    double ratio = 0.2;
    /** Retries allowed in each window in addition to the ratio, over all instances. */
    double slack = 100;
    absl::Duration window = absl::Seconds(10);
};

/**
 * Bounds the retries that this instance sends to a service within a sliding window. The bound holds
 * for all instances together; each instance keeps to its share without coordination: the ratio of
 * its own calls, and an equal part of the slack.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options)
        : options(options)
    { }

    void onCall(const std::string &service, absl::Time now);
    /** Mean rate of calls to @p service over the window. */
    double callsPerSecond(const std::string &service, absl::Time now) const;
    /** Takes one retry from the budget if it allows one. @p instances: number that share the slack.
     */
    bool tryRetry(const std::string &service, std::size_t instances, absl::Time now);

private:
    struct Bucket
    {
        absl::Time start;
        std::int64_t calls = 0;
        std::int64_t retries = 0;
    };
    using Buckets = std::deque<Bucket>;

    Bucket &current(const std::string &service, absl::Time now);

    RetryBudgetOptions options;
    absl::flat_hash_map<std::string, Buckets> services;
};

} // namespace foxtailtally
