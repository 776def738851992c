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

/** Pool of connections to backend servers; idle connections are reused for later calls. */
class ConnectionPool final : private IdleEvents
{
public:
    /** Idle connections are closed after this time; servers close older ones without notice. */
    static constexpr absl::Duration kMaxIdleTime = absl::Seconds(4);

    /** Heads of responses are charged to @p memory. */
    ConnectionPool(event_base *base, MemoryBudget &memory)
        : base(base)
        , memory(memory)
    { }

    /** Returns a connection to @p address; reuses one that was idle for at most @p maxIdle. Zero
     * always gives a new one. */
    std::unique_ptr<OutboundConnection> acquire(const std::string &address, absl::Duration maxIdle,
                                                absl::Time now);
    /** As acquire(), for a call whose response carries no id: returns no connection that has
     * carried such a call, whose response might arrive once more. */
    std::unique_ptr<OutboundConnection>
    acquireForUnidentified(const std::string &address, absl::Duration maxIdle, absl::Time now);
    /** Returns @p connection to the pool if it can carry another call, otherwise discards it. */
    void release(const std::string &address, std::unique_ptr<OutboundConnection> connection,
                 absl::Time now);
    /** Cancels @p connection; the next onTick() destroys it, as its callbacks may be running. */
    void discard(std::unique_ptr<OutboundConnection> connection);
    /** Closes connections that have been idle for too long and destroys discarded ones. */
    void onTick(absl::Time now);

    std::size_t idleCount() const;

private:
    struct Idle
    {
        std::unique_ptr<OutboundConnection> connection;
        absl::Time since;
    };

    void onIdleClosed(OutboundConnection &connection) override;
    /** As the public functions; reuses only connections for which @p isAllowed returns true. */
    template <typename Condition>
    std::unique_ptr<OutboundConnection> acquire(const std::string &address, absl::Duration maxIdle,
                                                absl::Time now, Condition isAllowed);

    event_base *base;
    MemoryBudget &memory;
    absl::flat_hash_map<std::string, std::vector<Idle>> idle;
    std::vector<std::unique_ptr<OutboundConnection>> discarded;
};

} // namespace foxtailtally
