#pragma once

#include "core/ids.h"
#include "servers/catalog/server_directory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/**
 * For how long a connection to a server may be idle and be used again. Servers drop idle
 * connections without notice, sometimes sooner than usual, and reset what is sent on them.
 */
class ConnectionReuse
{
public:
    /** Time for which a dropped connection bounds the idle time of later ones. */
    static constexpr absl::Duration kRetention = absl::Seconds(30);
    /** Part of the shortest idle time of a dropped connection that later ones may reach. */
    static constexpr double kUsableShare = 0.5;
    /** Connections that were idle for less than this are used in any case; servers that drop them
     * sooner could not be told from those that reset connections for other reasons. */
    static constexpr absl::Duration kMinBound = absl::Milliseconds(10);

    /** @p usual: bound while no connection is dropped. */
    explicit ConnectionReuse(absl::Duration usual)
        : usual(usual)
    { }

    /** @p server has dropped a connection that was idle for @p idleTime, and goes on. */
    void onDropped(ServerKey server, const std::string &service, absl::Duration idleTime,
                   absl::Time now);
    /** Longest idle time of a connection to @p server that a call may be sent on. Once two servers
     * of a service have dropped connections, the bound holds for all of them. */
    absl::Duration maxIdleTime(ServerKey server, const std::string &service, absl::Time now) const;
    void onTick(absl::Time now);

private:
    struct Bound
    {
        absl::Duration idleTime = absl::InfiniteDuration();
        absl::Time until = absl::InfinitePast();
    };
    struct ServiceBound
    {
        Bound bound;
        /** The server that dropped a connection last. */
        ServerKey server = 0;
        bool isOfSeveral = false;
    };

    static void tighten(Bound &bound, absl::Duration idleTime, absl::Time now);

    absl::Duration usual;
    absl::flat_hash_map<ServerKey, Bound> servers;
    absl::flat_hash_map<std::string, ServiceBound> services;
};

} // namespace foxtailtally
