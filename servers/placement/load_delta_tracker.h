#pragma once

#include "servers/placement/load_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtailtally {

/**
 * Which loads are to be told next to listeners that have heard the earlier ones: those that have
 * changed, those that were not told for a while because a datagram may have been lost, and those
 * that have ended.
 */
class LoadDeltaTracker
{
public:
    /** Time after which a load is told again although it has not changed. */
    static constexpr absl::Duration kRefreshInterval = absl::Seconds(1);
    /** How often the end of a load is told. */
    static constexpr int kRemovalRepeats = 3;

    /** Entries to tell now; they count as told. */
    std::vector<ServerLoadEntry> takeChanges(const ServerLoads &loads, absl::Time now);

    /** All of @p loads, for a listener that has heard nothing yet. */
    static std::vector<ServerLoadEntry> all(const ServerLoads &loads);

private:
    struct Told
    {
        std::size_t signature = 0;
        absl::Time at = absl::InfinitePast();
        int endsLeft = kRemovalRepeats;
    };

    absl::flat_hash_map<ServerKey, Told> told;
};

} // namespace foxtailtally
