#pragma once

#include "servers/placement/server_load.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <span>

namespace foxtailtally {

/** Load of one server as another instance tells it. */
struct ServerLoadEntry
{
    ServerKey server = 0;
    ServerLoad load;
};

/** Loads by server that are told entry by entry. */
class LoadTable
{
public:
    /** An entry that was not told for this long has lapsed; each is told once a second. */
    static constexpr absl::Duration kEntryLifetime = absl::Milliseconds(2500);

    /** An idle entry removes what was told before. */
    void update(std::span<const ServerLoadEntry> entries, absl::Time now);
    void clear() { this->entries.clear(); }
    void onTick(absl::Time now);
    void addTo(ServerLoads &loads, absl::Time now) const;

private:
    struct Entry
    {
        ServerLoad load;
        absl::Time toldAt;
    };

    absl::flat_hash_map<ServerKey, Entry> entries;
};

} // namespace foxtailtally
