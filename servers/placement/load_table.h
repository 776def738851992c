#pragma once

#include "servers/placement/server_load.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <span>

namespace foxtailtally {

/** Load of one server as reported by another instance. */
struct ServerLoadEntry
{
    ServerKey server = 0;
    ServerLoad load;
};

/** Server loads received from other instances, updated entry by entry. */
class LoadTable
{
public:
    /** Entries that are not refreshed for this long expire; senders repeat each one once a second.
     */
    static constexpr absl::Duration kEntryLifetime = absl::Milliseconds(2500);

    /** An idle entry removes the earlier one of its server. */
    void update(std::span<const ServerLoadEntry> entries, absl::Time now);
    void clear() { this->entries.clear(); }
    void onTick(absl::Time now);
    void addTo(ServerLoads &loads, absl::Time now) const;

private:
    struct Entry
    {
        ServerLoad load;
        absl::Time receivedAt;
    };

    absl::flat_hash_map<ServerKey, Entry> entries;
};

} // namespace foxtailtally
