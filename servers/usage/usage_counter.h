#pragma once

#include "servers/usage/usage_row.h"

#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <cstdint>
#include <string>

namespace foxtailtally {

/**
 * Counts the requests of this process that begin to run, by window and customer. The caller counts
 * a request once, at the first evidence that it runs.
 */
class UsageCounter
{
public:
    /** @p closeDelay: time after the end of a window until which requests may be counted in it that
     * were found to run later. */
    UsageCounter(UsageSource source, FailureDomainId domain, absl::Duration windowLength,
                 absl::Duration closeDelay = absl::ZeroDuration());

    /** Requests without a customer are not counted. */
    void count(const CustomerId &customer, absl::Time now);
    /** @p figures: cumulative, never lower than before. */
    void setDemand(const std::string &service, const DemandFigures &figures);
    /** Nothing is counted any more. */
    void end() { this->isEnded = true; }

    /** The row of this process with the demand and the counts that have changed since the last
     * call. */
    UsageRow takeChanges(absl::Time now);

    const UsageSource &source() const { return this->self; }
    const FailureDomainId &ownDomain() const { return this->domain; }
    absl::Duration windowLength() const { return this->length; }

private:
    std::int64_t totalOfLast(std::int64_t windowCount) const;

    struct Window
    {
        CustomerCounts counts;
        absl::btree_set<CustomerId> changed;
        std::int64_t total = 0;
    };

    UsageSource self;
    FailureDomainId domain;
    absl::Duration length;
    absl::Duration closeDelay;
    bool isEnded = false;
    absl::btree_map<std::int64_t, Window> windows;
    absl::btree_map<std::string, DemandFigures> demand;
    std::int64_t countedThrough = kNoWindow;
};

} // namespace foxtailtally
