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
    Silence,
    /** Bytes towards the caller wait until the fault is over. */
    NoAnswers,
};

/** Leads TCP connections from one loopback address to another, and disturbs them. */
class FaultProxy
{
public:
    static constexpr absl::Duration kDelay = absl::Milliseconds(120);

    /** Listens at @p address, "ip:port", for connections to @p target. */
    FaultProxy(const std::string &address, const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    const std::string &address() const { return this->ownAddress; }
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
    struct Way
    {
        int from = -1;
        int to = -1;
        bool isTowardsCaller = false;
        bool hasEnded = false;
        bool isEndPassedOn = false;
        std::deque<Chunk> waiting;
    };
    struct Connection
    {
        int caller = -1;
        int server = -1;
        Way request;
        Way response;
        bool isBroken = false;
    };

    void run();
    void accept();
    void readWay(Way &way, Connection &connection);
    void writeWay(Way &way, Connection &connection, absl::Time now);
    bool mayPass(const Way &way, const Chunk &chunk, absl::Time now) const;
    void close(Connection &connection, bool isReset);

    std::string ownAddress;
    std::string target;
    int listener = -1;
    std::atomic<LinkFault> fault = LinkFault::None;
    std::atomic<bool> isResetting = false;
    std::atomic<bool> isOver = false;
    std::list<Connection> connections;
    std::thread thread;
};

} // namespace foxtailtally
