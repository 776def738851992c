#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

using ServerKey = std::uint32_t;

/**
 * What lives of servers have asked of this instance in their answers: to send nothing more because
 * they leave, or nothing for some time. It binds this instance whatever the store says, and ends
 * with the life: another one at the same address, or with the same id, has asked for nothing.
 */
class ServerBackpressure
{
public:
    /** Time for which a wish to leave is remembered; a server that leaves has gone long before. */
    static constexpr absl::Duration kDrainingRetention = absl::Hours(1);
    /** Longest pause that is kept to; a longer one is a mistake. */
    static constexpr absl::Duration kMaxPause = absl::Hours(1);
    /** Servers that are remembered; the one with the oldest wish is forgotten first. */
    static constexpr std::size_t kMaxServers = 8192;

    /** True when it is news. */
    bool onDraining(ServerKey server, absl::Time now);
    /** A shorter pause does not end a longer one. True when the server had asked for none. */
    bool onPause(ServerKey server, absl::Duration pause, absl::Time now);

    bool isLeaving(ServerKey server) const;
    /** InfinitePast when the server has asked for no pause. */
    absl::Time pausedUntil(ServerKey server) const;
    bool mayGetWork(ServerKey server, absl::Time now) const;
    std::size_t size() const { return this->servers.size(); }
    void onTick(absl::Time now);

private:
    struct Wish
    {
        absl::Time leavingSince = absl::InfiniteFuture();
        absl::Time pausedUntil = absl::InfinitePast();
        absl::Time heardAt;
    };

    Wish &wishOf(ServerKey server, absl::Time now);

    absl::flat_hash_map<ServerKey, Wish> servers;
};

} // namespace foxtailtally
