#pragma once

#include <absl/time/time.h>
#include <atomic>
#include <deque>
#include <list>
#include <string>
#include <thread>

namespace foxtailtally {

/** What a FaultProxy does with the bytes of all its connections. */
enum class LinkFault {
    None,
    /** Bytes of both ways wait for FaultProxy::kDelay. */
    Delay,
    /** Bytes of both ways wait until the fault is over. */
    StallBoth,
    /** Bytes towards the caller wait until the fault is over. */
    StallResponses,
};

/** Leads TCP connections from one loopback address to another, and disturbs them. */
class FaultProxy
{
public:
    static constexpr absl::Duration kDelay = absl::Milliseconds(120);

    /** Listens at @p address, "ip:port", for connections to @p targetAddress. */
    FaultProxy(const std::string &address, const std::string &targetAddress);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const std::string &address() const { return this->listenAddress; }
    void setFault(LinkFault fault) { this->fault = fault; }
    /** Resets all connections that exist now. */
    void resetAll() { this->isResetting = true; }

private:
    struct Chunk
    {
        absl::Time readAt;
        std::string bytes;
    };
    /** One way of a connection. */
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
