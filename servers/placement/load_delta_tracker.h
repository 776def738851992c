#pragma once

#include "servers/placement/load_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtailtally {

/**
 * Selects the load entries to send to receivers that have the earlier ones: loads that have
 * changed, loads that were not sent for a while, since datagrams may be lost, and loads that have
 * ended.
 */
class LoadDeltaTracker
{
public:
    /** Interval after which an unchanged load is sent again. */
    static constexpr absl::Duration kRefreshInterval = absl::Seconds(1);
    /** Number of times that the end of a load is sent. */
    static constexpr int kRemovalRepeats = 3;

    /** Returns the entries to send now and marks them as sent. */
    std::vector<ServerLoadEntry> takeChanges(const ServerLoads &loads, absl::Time now);

    /** All of @p loads that are not idle, for a receiver that has no entries yet. */
    static std::vector<ServerLoadEntry> all(const ServerLoads &loads);

private:
    struct SentLoad
    {
        std::size_t signature = 0;
        absl::Time sentAt = absl::InfinitePast();
        int removalsLeft = kRemovalRepeats;
    };

    absl::flat_hash_map<ServerKey, SentLoad> sentLoads;
};

} // namespace foxtailtally
