#pragma once

#include <absl/time/time.h>
#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <thread>

namespace foxtailtally {

/** What an EndlessServer sends without end. */
enum class EndlessBytes {
    HeaderLines,
    HeaderLine,
    BodyWithoutLength,
    Chunks,
    DataLine,
    /** The same, so slowly that many of them are incomplete at a time. */
    SlowDataLine,
    /** Comments behind the head of a stream, without an event. */
    Comments,
    InterimResponses,
    NoHttp,
    /** A body with Content-Encoding: gzip. */
    EncodedBody,
};

/** Name of @p bytes for the names of tests. */
std::string_view endlessBytesName(EndlessBytes bytes);

/** Backend server that responds to each request with bytes that do not end until the connection is
 * closed. Runs on its own thread. */
class EndlessServer
{
public:
    /** Listens on @p address ("ip:port"). */
    EndlessServer(const std::string &address, EndlessBytes bytes);
    ~EndlessServer();
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    /** Requests that have arrived. */
    int requests() const { return this->requestCount; }
    /** Bytes sent in response to all of them. */
    std::uint64_t sentBytes() const { return this->sentCount; }

private:
    struct Connection
    {
        int socket = -1;
        std::string received;
        /** Bytes that are sent next; empty before a request. */
        std::string pending;
        bool isOver = false;
        /** Time of the next block of slow bytes. */
        absl::Time nextBlockAt = absl::InfinitePast();
    };

    void run();
    void receive(Connection &connection);
    void send(Connection &connection);

    EndlessBytes bytes;
    int listener = -1;
    std::list<Connection> connections;
    std::atomic<int> requestCount = 0;
    std::atomic<std::uint64_t> sentCount = 0;
    std::atomic<bool> isStopping = false;
    std::thread thread;
};

} // namespace foxtailtally
