#include "servers/usage/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Windows that a live process may be behind the receiver, so that what its totals include is not
 * dropped. */
constexpr std::int64_t kLagWindows = 2;

template <typename Windows>
std::int64_t totalOfLast(const Windows &windows, std::int64_t countedThrough,
                         std::int64_t windowCount)
{
    std::int64_t total = 0;
    const auto end = windows.upper_bound(countedThrough);
    for (auto at = windows.upper_bound(countedThrough - windowCount); at != end; ++at)
        total += at->second.total;
    return total;
}

/** Counts are missing in the last @p windowCount closed windows. */
template <typename Row>
bool hasGap(const Row &row, std::int64_t windowCount)
{
    const std::int64_t expected =
        windowCount == kRecentUsageWindows ? row.header.recentTotal : row.header.closedTotal;
    return totalOfLast(row.windows, row.header.countedThrough, windowCount) < expected;
}

} // namespace

void UsageLedger::setListed(absl::btree_map<InstanceId, FailureDomainId> instances)
{
    this->listed = std::move(instances);
}

std::int64_t UsageLedger::droppedThrough(absl::Time now) const
{
    return usageWindowAt(now, this->length) - 1 - kUsageWindows - kLagWindows;
}

bool UsageLedger::merge(const UsageRow &row, absl::Time now)
{
    if (row.countedThrough > usageWindowAt(now, this->length) + 1)
        return false;
    const std::uint64_t version = this->lastVersion + 1;
    const auto [found, isNew] = this->rows.try_emplace(row.source);
    Row &known = found->second;
    if (isNew) {
        known.header.source = row.source;
        known.header.domain = row.domain;
    }
    const bool isHeaderChanged = mergeHeader(known.header, row);
    const bool areCountsChanged = this->mergeWindows(known, row, version, now);
    if (isNew || isHeaderChanged || areCountsChanged) {
        known.version = version;
        this->lastVersion = version;
    }
    known.gapSince = hasGap(known, kRecentUsageWindows) || hasGap(known, kUsageWindows)
        ? std::min(known.gapSince, now)
        : absl::InfiniteFuture();
    return true;
}

bool UsageLedger::mergeHeader(UsageRow &header, const UsageRow &received)
{
    bool isChanged = false;
    if (received.heardAt > header.heardAt) {
        header.heardAt = received.heardAt;
        isChanged = true;
    }
    if (received.countedThrough > header.countedThrough) {
        header.countedThrough = received.countedThrough;
        header.recentTotal = received.recentTotal;
        header.closedTotal = received.closedTotal;
        isChanged = true;
    }
    if (received.isEnded && !header.isEnded) {
        header.isEnded = true;
        isChanged = true;
    }
    for (const auto &[service, figures] : received.demand) {
        DemandFigures &known = header.demand[service];
        for (std::size_t i = 0; i < kDemandFigures; ++i) {
            isChanged = isChanged || figures[i] > known[i];
            known[i] = std::max(known[i], figures[i]);
        }
    }
    return isChanged;
}

bool UsageLedger::mergeWindows(Row &row, const UsageRow &received, std::uint64_t version,
                               absl::Time now)
{
    bool isChanged = false;
    const std::int64_t newest = usageWindowAt(now, this->length) + 1;
    const std::int64_t dropped = this->droppedThrough(now);
    for (const auto &[window, counts] : received.windows) {
        if (window <= dropped || window > newest)
            continue;
        Window &known = row.windows[window];
        for (const auto &[customer, requests] : counts) {
            if (requests <= 0)
                continue;
            Count &count = known.counts[customer];
            if (requests <= count.requests)
                continue;
            known.total += requests - count.requests;
            count = {requests, version};
            isChanged = true;
        }
    }
    return isChanged;
}

void UsageLedger::onTick(absl::Time now)
{
    const std::int64_t dropped = this->droppedThrough(now);
    absl::erase_if(this->rows, [this, now](const auto &item) {
        return now - item.second.header.heardAt > this->length * kUsageWindows;
    });
    for (auto &[source, row] : this->rows) {
        while (!row.windows.empty() && row.windows.begin()->first <= dropped)
            row.windows.erase(row.windows.begin());
    }
}

CustomerCounts UsageLedger::totals(std::int64_t window) const
{
    CustomerCounts totals;
    for (const auto &[source, row] : this->rows) {
        const auto found = row.windows.find(window);
        if (found == row.windows.end())
            continue;
        for (const auto &[customer, count] : found->second.counts)
            totals[customer] += count.requests;
    }
    return totals;
}

bool UsageLedger::isSuperseded(const Row &row) const
{
    const InstanceId &instance = row.header.source.instance;
    for (auto at = this->rows.lower_bound({instance, 0});
         at != this->rows.end() && at->first.instance == instance; ++at) {
        if (at->second.header.heardAt > row.header.heardAt)
            return true;
    }
    return false;
}

bool UsageLedger::isHeard(const InstanceId &instance, absl::Time now) const
{
    for (auto at = this->rows.lower_bound({instance, 0});
         at != this->rows.end() && at->first.instance == instance; ++at) {
        const Row &row = at->second;
        if (now - row.header.heardAt <= kSilence
            || (row.header.isEnded && !this->isSuperseded(row)))
            return true;
    }
    return false;
}

bool UsageLedger::isComplete(std::int64_t window, absl::Time now) const
{
    for (const auto &[instance, domain] : this->listed) {
        if (!this->isHeard(instance, now))
            return false;
    }
    return std::all_of(this->rows.begin(), this->rows.end(), [&](const auto &item) {
        const Row &row = item.second;
        if (this->isSuperseded(row) || (now - row.header.heardAt > kSilence && !row.header.isEnded))
            return true;
        const bool isRecent = window > row.header.countedThrough - kRecentUsageWindows;
        return (row.header.isEnded || row.header.countedThrough >= window)
            && !hasGap(row, isRecent ? kRecentUsageWindows : kUsageWindows);
    });
}

std::optional<std::int64_t> UsageLedger::firstWindow() const
{
    std::optional<std::int64_t> first;
    for (const auto &[source, row] : this->rows) {
        if (!row.windows.empty())
            first =
                std::min(first.value_or(row.windows.begin()->first), row.windows.begin()->first);
    }
    return first;
}

UsageRow UsageLedger::changes(const Row &row, std::uint64_t version, std::int64_t firstWindow)
{
    UsageRow result = row.header;
    for (auto at = row.windows.lower_bound(firstWindow); at != row.windows.end(); ++at) {
        CustomerCounts counts;
        for (const auto &[customer, count] : at->second.counts) {
            if (count.version > version)
                counts.emplace(customer, count.requests);
        }
        if (!counts.empty())
            result.windows.emplace(at->first, std::move(counts));
    }
    return result;
}

std::vector<UsageRow> UsageLedger::changesSince(std::uint64_t version,
                                                const FailureDomainId &domain,
                                                std::int64_t firstWindow) const
{
    std::vector<UsageRow> result;
    for (const auto &[source, row] : this->rows) {
        if (row.version > version && row.header.domain == domain)
            result.push_back(changes(row, version, firstWindow));
    }
    return result;
}

std::optional<UsageRow> UsageLedger::row(const UsageSource &source, std::int64_t firstWindow) const
{
    const auto found = this->rows.find(source);
    if (found == this->rows.end())
        return std::nullopt;
    return changes(found->second, 0, firstWindow);
}

RecentTotals UsageLedger::recentTotals(const Row &row)
{
    RecentTotals result;
    result.countedThrough = row.header.countedThrough;
    std::int64_t window = result.countedThrough;
    for (std::int64_t &total : result.totals) {
        const auto found = row.windows.find(window--);
        total = found == row.windows.end() ? 0 : found->second.total;
    }
    return result;
}

std::optional<UsageRow> UsageLedger::differences(const UsageSource &source,
                                                 const RecentTotals &known) const
{
    const auto found = this->rows.find(source);
    if (found == this->rows.end())
        return std::nullopt;
    const Row &row = found->second;
    UsageRow result = changes(row, 0, known.countedThrough - kRecentUsageWindows + 1);
    absl::erase_if(result.windows, [&](const auto &item) {
        const std::int64_t age = known.countedThrough - item.first;
        // The counts of the open window are sent with the next changes.
        return age < 0
            ? item.first > row.header.countedThrough
            : known.totals[static_cast<std::size_t>(age)] == row.windows.at(item.first).total;
    });
    return result;
}

std::vector<UsageRow> UsageLedger::endedRows(const FailureDomainId &domain, absl::Time now) const
{
    std::vector<UsageRow> result;
    for (const auto &[source, row] : this->rows) {
        const bool hasEnded = now - row.header.heardAt > kSilence || this->isSuperseded(row);
        if (row.header.domain == domain && hasEnded)
            result.push_back(changes(row, 0, 0));
    }
    return result;
}

std::vector<UsageGap> UsageLedger::gaps(absl::Time now) const
{
    std::vector<UsageGap> result;
    for (const auto &[source, row] : this->rows) {
        if (now - row.gapSince >= kGapTolerance)
            result.push_back({source, hasGap(row, kRecentUsageWindows), recentTotals(row)});
    }
    std::stable_partition(result.begin(), result.end(),
                          [](const UsageGap &gap) { return gap.isRecent; });
    return result;
}

std::vector<UsageRow> UsageLedger::headers() const
{
    std::vector<UsageRow> result;
    for (const auto &[source, row] : this->rows)
        result.push_back(row.header);
    return result;
}

std::vector<UsageRow> UsageLedger::demandRows() const
{
    std::vector<UsageRow> result;
    for (const auto &[source, row] : this->rows) {
        if (!row.header.demand.empty())
            result.push_back(row.header);
    }
    return result;
}

} // namespace foxtailtally
