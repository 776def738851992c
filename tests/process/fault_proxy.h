#pragma once

#include <absl/time/time.h>
#include <atomic>
#include <deque>
#include <list>
#include <string>
#include <thread>

namespace foxtailtally {

/** How a FaultProxy disturbs the traffic of all its connections. */
enum class LinkFault {
    None,
    /** Delays both directions by FaultProxy::kDelay. */
    Delay,
    /** Holds back both directions until the fault ends. */
    StallBoth,
    /** Holds back bytes towards the caller until the fault ends. */
    StallResponses,
};

/** TCP proxy between two loopback addresses that injects faults. */
class FaultProxy
{
public:
    static constexpr absl::Duration kDelay = absl::Milliseconds(120);

    /** Listens on @p address ("ip:port") and forwards connections to @p targetAddress. */
    FaultProxy(const std::string &address, const std::string &targetAddress);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const std::string &address() const { return this->listenAddress; }
    void setFault(LinkFault fault) { this->fault = fault; }
    /** Resets all connections that are open now. */
    void resetAll() { this->isResetting = true; }

private:
    struct Chunk
    {
        absl::Time readAt;
        std::string bytes;
    };
    /** One direction of a connection. */
    struct Direction
    {
        int from = -1;
        int to = -1;
        bool isTowardsCaller = false;
        bool hasEnded = false;
        bool isEndForwarded = false;
        std::deque<Chunk> waiting;
    };
    struct Connection
    {
        int caller = -1;
        int server = -1;
        Direction request;
        Direction response;
        bool isBroken = false;
    };

    void run();
    void accept();
    void receive(Direction &direction, Connection &connection);
    void forward(Direction &direction, Connection &connection, absl::Time now);
    bool mayForward(const Direction &direction, const Chunk &chunk, absl::Time now) const;
    void close(Connection &connection, bool isReset);

    std::string listenAddress;
    std::string targetAddress;
    int listener = -1;
    std::atomic<LinkFault> fault = LinkFault::None;
    std::atomic<bool> isResetting = false;
    std::atomic<bool> isStopping = false;
    std::list<Connection> connections;
    std::thread thread;
};

} // namespace foxtailtally
