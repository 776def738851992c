#pragma once

#include "peers/http/outbound_connection.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Connections to backend servers, kept for further calls while they are idle. */
class ConnectionPool final : private IdleEvents
{
public:
    /** Idle time after which a connection is closed here; servers drop older ones unannounced. */
    static constexpr absl::Duration kMaxIdleTime = absl::Seconds(4);

    explicit ConnectionPool(event_base *base)
        : base(base)
    { }

    /** A connection to @p address; a kept one only if it was in use less than @p maxIdle ago. */
    std::unique_ptr<OutboundConnection> acquire(const std::string &address, absl::Duration maxIdle,
                                                absl::Time now);
    /** Keeps @p connection if it may carry another call. */
    void release(const std::string &address, std::unique_ptr<OutboundConnection> connection,
                 absl::Time now);
    /** Destroys @p connection once the events in progress are over. */
    void discard(std::unique_ptr<OutboundConnection> connection);
    /** Closes connections that were idle too long; destroys discarded ones. */
    void onTick(absl::Time now);

    std::size_t idleCount() const;

private:
    struct Idle
    {
        std::unique_ptr<OutboundConnection> connection;
        absl::Time since;
    };

    void onIdleClosed(OutboundConnection &connection) override;

    event_base *base;
    absl::flat_hash_map<std::string, std::vector<Idle>> idle;
    std::vector<std::unique_ptr<OutboundConnection>> discarded;
};

} // namespace foxtailtally
