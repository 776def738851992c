#pragma once

#include "servers/usage/usage_row.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace foxtailtally {

/** A row in which counts are missing. */
struct UsageGap
{
    UsageSource source;
    /** Counts are missing in the last kRecentUsageWindows closed windows; else in older ones. */
    bool isRecent = false;
    RecentTotals known;
};

/** The rows of all processes that this instance knows, its own included. */
class UsageLedger
{
public:
    /** A process that was not heard for this long is silent. Rows are sent at least once a second,
     * so three have been lost. */
    static constexpr absl::Duration kSilence = absl::Seconds(3);
    /** The parts of a row arrive within this time, unless one was lost. */
    static constexpr absl::Duration kGapTolerance = absl::Milliseconds(100);

    explicit UsageLedger(absl::Duration windowLength)
        : length(windowLength)
    { }

    /** Returns false if the clock of the process is ahead by more than a window: its counts would
     * be added to the wrong windows, so the row is ignored. */
    bool merge(const UsageRow &row, absl::Time now);
    /** The instances that the store lists, this one included, with their domains. */
    void setListed(absl::btree_map<InstanceId, FailureDomainId> instances);
    /** Removes rows and windows that are too old. */
    void onTick(absl::Time now);

    /** Requests of all processes in @p window. */
    CustomerCounts totals(std::int64_t window) const;
    /** Every listed instance has been heard within kSilence, and the processes heard have counted
     * through @p window without gaps. Earlier processes of an instance that was heard since do not
     * count. */
    bool isComplete(std::int64_t window, absl::Time now) const;
    /** The first window with counts; nothing if there is none. */
    std::optional<std::int64_t> firstWindow() const;

    /** Grows with each change of a row. */
    std::uint64_t version() const { return this->lastVersion; }
    /** Rows of @p domain that changed after @p version, with the counts that did, in windows from
     * @p firstWindow on. */
    std::vector<UsageRow> changesSince(std::uint64_t version, const FailureDomainId &domain,
                                       std::int64_t firstWindow = 0) const;
    /** The row with the windows from @p firstWindow on; nothing if the process is not known. */
    std::optional<UsageRow> row(const UsageSource &source, std::int64_t firstWindow = 0) const;
    /** Whole rows of processes of @p domain that seem to have ended: they are silent, or a later
     * process of their instance was heard. */
    std::vector<UsageRow> endedRows(const FailureDomainId &domain, absl::Time now) const;
    /** The row with the recent closed windows whose totals differ from @p known. */
    std::optional<UsageRow> differences(const UsageSource &source, const RecentTotals &known) const;
    /** Processes whose counts have not added up to the totals of their row for kGapTolerance; those
     * with gaps in recent windows first. */
    std::vector<UsageGap> gaps(absl::Time now) const;
    /** All processes whose demand is known, without their windows. */
    std::vector<UsageRow> demandRows() const;
    /** All processes, without their windows, also those without demand. */
    std::vector<UsageRow> headers() const;

private:
    struct Count
    {
        std::int64_t requests = 0;
        std::uint64_t version = 0;
    };
    struct Window
    {
        absl::btree_map<CustomerId, Count> counts;
        std::int64_t total = 0;
    };
    struct Row
    {
        /** Without windows. */
        UsageRow header;
        std::uint64_t version = 0;
        absl::btree_map<std::int64_t, Window> windows;
        /** Since when counts have been missing; InfiniteFuture if none are. */
        absl::Time gapSince = absl::InfiniteFuture();
    };

    bool mergeWindows(Row &row, const UsageRow &received, std::uint64_t version, absl::Time now);
    static bool mergeHeader(UsageRow &header, const UsageRow &received);
    /** The last window that is not kept any more. */
    std::int64_t droppedThrough(absl::Time now) const;
    /** Another process of the instance was heard after this one. */
    bool isSuperseded(const Row &row) const;
    bool isHeard(const InstanceId &instance, absl::Time now) const;
    static RecentTotals recentTotals(const Row &row);
    static UsageRow changes(const Row &row, std::uint64_t version, std::int64_t firstWindow);

    absl::Duration length;
    std::uint64_t lastVersion = 0;
    absl::btree_map<UsageSource, Row> rows;
    absl::btree_map<InstanceId, FailureDomainId> listed;
};

} // namespace foxtailtally
