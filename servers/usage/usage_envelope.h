#pragma once

#include "servers/leadership/lease_record.h"
#include "servers/usage/usage_row.h"

#include <absl/time/time.h>
#include <optional>
#include <vector>

namespace foxtailtally {

/** Asks for a row in which the sender has gaps. */
struct UsageRowRequest
{
    UsageSource source;
    /** All windows that are kept; else those that differ from @ref known. */
    bool isWhole = false;
    /** What the sender has received. */
    RecentTotals known;
};

/** What instances send each other about usage and the holder of the lease. */
struct UsageEnvelope
{
    std::optional<LeaseAnnouncement> lease;
    /** Time since the holder sent the announcement. */
    absl::Duration leaseAge = absl::ZeroDuration();
    std::vector<UsageRow> rows;
    std::vector<UsageRowRequest> requests;

    bool isEmpty() const { return !this->lease && this->rows.empty() && this->requests.empty(); }
};

} // namespace foxtailtally
