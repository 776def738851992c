#include "servers/usage/usage_counter.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

UsageCounter::UsageCounter(UsageSource source, FailureDomainId domain, absl::Duration windowLength,
                           absl::Duration closeDelay)
    : self(std::move(source))
    , domain(std::move(domain))
    , length(windowLength)
    , closeDelay(closeDelay)
{ }

void UsageCounter::count(const CustomerId &customer, absl::Time now)
{
    if (customer.isEmpty() || this->isEnded)
        return;
    // A caller may pass a time that it took before the window was closed by takeChanges().
    const std::int64_t window =
        std::max(usageWindowAt(now, this->length), this->countedThrough + 1);
    Window &counted = this->windows[window];
    ++counted.counts[customer];
    ++counted.total;
    counted.changed.insert(customer);
}

void UsageCounter::setDemand(const std::string &service, const DemandFigures &figures)
{
    this->demand[service] = figures;
}

std::int64_t UsageCounter::totalOfLast(std::int64_t windowCount) const
{
    std::int64_t total = 0;
    for (const auto &[window, counted] : this->windows) {
        if (window <= this->countedThrough && window > this->countedThrough - windowCount)
            total += counted.total;
    }
    return total;
}

UsageRow UsageCounter::takeChanges(absl::Time now)
{
    const std::int64_t closed = this->isEnded
        ? usageWindowAt(now, this->length)
        : usageWindowAt(now - this->closeDelay, this->length) - 1;
    this->countedThrough = std::max(this->countedThrough, closed);
    UsageRow row;
    row.source = this->self;
    row.domain = this->domain;
    row.heardAt = now;
    row.countedThrough = this->countedThrough;
    row.recentTotal = this->totalOfLast(kRecentUsageWindows);
    row.closedTotal = this->totalOfLast(kUsageWindows);
    row.isEnded = this->isEnded;
    row.demand = this->demand;
    for (auto &[window, counted] : this->windows) {
        for (const CustomerId &customer : counted.changed)
            row.windows[window][customer] = counted.counts[customer];
        counted.changed.clear();
    }
    absl::erase_if(this->windows, [this](const auto &item) {
        return item.first <= this->countedThrough - kUsageWindows;
    });
    return row;
}

} // namespace foxtailtally
