#pragma once

#include "core/ids.h"
#include "servers/leadership/lease_record.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace foxtailtally {

/** Number of the window of @p length that @p now lies in. */
std::int64_t usageWindowAt(absl::Time now, absl::Duration length);
absl::Time usageWindowEnd(std::int64_t window, absl::Duration length);

/** Closed windows for which counts are kept. */
inline constexpr std::int64_t kUsageWindows = 12;
/** Closed windows that are usually not settled yet. */
inline constexpr std::int64_t kRecentUsageWindows = 3;

/** Requests by customer. */
using CustomerCounts = absl::btree_map<CustomerId, std::int64_t>;

/** Cumulative demand for one service; the exchange does not interpret the figures. */
inline constexpr std::size_t kDemandFigures = 4;
using DemandFigures = std::array<std::uint64_t, kDemandFigures>;

/** One process of an instance. */
struct UsageSource
{
    InstanceId instance;
    Incarnation incarnation = 0;

    // clang-tidy 14 mistakes the zero of the rewritten comparison for a null pointer.
    auto operator<=>(const UsageSource &) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const UsageSource &) const = default;
};

/** Totals of the last windows up to @ref countedThrough, the newest first. */
struct RecentTotals
{
    std::int64_t countedThrough = kNoWindow;
    std::array<std::int64_t, kRecentUsageWindows> totals {};

    bool operator==(const RecentTotals &) const = default;
};

/** What a process has counted, or the part of it that is sent. All counts are absolute and only
 * grow, so rows are merged by maximum. */
struct UsageRow
{
    UsageSource source;
    FailureDomainId domain;
    /** When the process made this row, on the clock of the receiver. */
    absl::Time heardAt = absl::InfinitePast();
    /** Nothing more is counted in windows up to and including this one. */
    std::int64_t countedThrough = kNoWindow;
    /** Sums of all counts of the kRecentUsageWindows and the kUsageWindows windows up to
     * countedThrough; the receiver finds out from them whether it has received all counts. */
    std::int64_t recentTotal = 0;
    std::int64_t closedTotal = 0;
    /** The process ends and counts nothing more in any window. */
    bool isEnded = false;
    absl::btree_map<std::int64_t, CustomerCounts> windows;
    /** By the name of the service; all services or, if it is not sent, none. */
    absl::btree_map<std::string, DemandFigures> demand;

    bool operator==(const UsageRow &) const = default;
};

} // namespace foxtailtally
