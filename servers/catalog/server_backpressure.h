#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

using ServerKey = std::uint32_t;

/**
 * Backpressure that servers have reported to this instance in their responses: to send no more
 * calls because they drain, or none for some time. It applies regardless of the store's entry, and
 * only to one incarnation of a server: another one with the same address or id is not affected.
 */
class ServerBackpressure
{
public:
    /** Time for which a draining server is remembered; it has ended long before. */
    static constexpr absl::Duration kDrainingRetention = absl::Hours(1);
    /** Longest pause that is honoured; a longer one is an error of the server. */
    static constexpr absl::Duration kMaxPause = absl::Hours(1);
    /** Maximum number of remembered servers; the one that reported least recently is evicted first.
     */
    static constexpr std::size_t kMaxServers = 8192;

    /** Returns true if the server was not known to drain. */
    bool onDraining(ServerKey server, absl::Time now);
    /** A shorter pause does not end a longer one. Returns true if the server was not paused. */
    bool onPause(ServerKey server, absl::Duration pause, absl::Time now);

    bool isLeaving(ServerKey server) const;
    /** InfinitePast when the server has asked for no pause. */
    absl::Time pausedUntil(ServerKey server) const;
    bool mayGetWork(ServerKey server, absl::Time now) const;
    std::size_t size() const { return this->servers.size(); }
    void onTick(absl::Time now);

private:
    struct State
    {
        absl::Time leavingSince = absl::InfiniteFuture();
        absl::Time pausedUntil = absl::InfinitePast();
        absl::Time heardAt;
    };

    State &stateOf(ServerKey server, absl::Time now);

    absl::flat_hash_map<ServerKey, State> servers;
};

} // namespace foxtailtally
