#include "peers/http/outbound_connection.h"

#include "core/error.h"
#include "core/guard.h"
#include "peers/http/connection_pool.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch();

struct Recorder final : OutboundEvents, IdleEvents
{
    bool mayWrite(OutboundConnection &) override { return this->isPermitted; }
    void onResponseHead(OutboundConnection &, const ResponseHead &head) override
    {
        this->status = head.status;
    }
    void onResponseBody(OutboundConnection &, std::string_view data) override
    {
        this->body.append(data);
    }
    void onResponseComplete(OutboundConnection &) override { this->isComplete = true; }
    void onCallFailed(OutboundConnection &, std::error_code code) override { this->error = code; }
    void onIdleClosed(OutboundConnection &) override { this->isIdleClosed = true; }

    int status = 0;
    std::string body;
    bool isComplete = false;
    bool isIdleClosed = false;
    bool isPermitted = true;
    std::error_code error;
};

/** Connections to it hang: while the accept backlog is full, the kernel drops SYN packets. */
class FullBacklog
{
public:
    FullBacklog()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *target = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof address;
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool isListening = ::bind(this->listener, target, size) == 0
            && ::listen(this->listener, 0) == 0
            && ::getsockname(this->listener, target, &size) == 0;
        EXPECT_TRUE(isListening);
        this->port = ntohs(address.sin_port);
        this->filler = connectTo(this->port);
    }
    ~FullBacklog()
    {
        ::close(this->filler);
        ::close(this->listener);
    }
    FullBacklog(const FullBacklog &) = delete;
    FullBacklog &operator=(const FullBacklog &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    int listener = -1;
    int filler = -1;
    int port = 0;
};

class OutboundConnectionTest : public ::testing::Test
{
protected:
    static constexpr const char *kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    int acceptAndRead(int socket = -1)
    {
        this->loop.runUntil([&] { return socket >= 0 || (socket = this->server.accept()) >= 0; });
        this->loop.runUntil([&] {
            this->received += readAvailable(socket);
            return this->received.ends_with("\r\n\r\n");
        });
        return socket;
    }
    void call(OutboundConnection &connection, const std::string &id)
    {
        this->received.clear();
        connection.call(kRequest, false, {"Call", id}, this->events);
    }
    bool isOver() const { return this->events.isComplete || this->events.error; }
    /** Leaves a connection in @p pool that has carried a call; returns the server's end of it. */
    int keepConnection(ConnectionPool &pool)
    {
        auto connection = pool.acquire(this->server.address(), absl::ZeroDuration(), kNow);
        this->call(*connection, "1");
        const int socket = this->acceptAndRead();
        writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 0\r\n\r\n");
        this->loop.runUntil([&] { return this->events.isComplete; });
        pool.release(this->server.address(), std::move(connection), kNow);
        EXPECT_EQ(pool.idleCount(), 1U);
        return socket;
    }

    TestLoop loop;
    RawServer server;
    MemoryBudget memory {std::int64_t {64} << 20};
    Recorder events;
    std::string received;
};

// Guards against a body that is lost, altered or written before its head, on a connection that is
// still being established and on one that is open.
TEST_F(OutboundConnectionTest, WritesASharedBodyBehindItsHead)
{
    const auto body = std::make_shared<const std::string>(std::string(300000, 'b') + "end");
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300003\r\n\r\n";
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    int socket = -1;
    for (const char *id : {"1", "2"}) {
        this->received.clear();
        this->events.isComplete = false;
        connection.call({head, body}, false, {"Call", id}, this->events);
        this->loop.runUntil([&] { return socket >= 0 || (socket = this->server.accept()) >= 0; });
        ASSERT_TRUE(this->loop.runUntil([&] {
            this->received += readAvailable(socket);
            return this->received.size() >= head.size() + body->size();
        }));
        EXPECT_TRUE(this->received == head + *body);
        writeAll(socket,
                 std::string("HTTP/1.1 200 OK\r\nCall: ") + id + "\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(this->loop.runUntil([&] { return this->events.isComplete; }));
    }
    EXPECT_EQ(body.use_count(), 1);
}

TEST_F(OutboundConnectionTest, SkipsAResponseToAnotherCall)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "2");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 5\r\n\r\nother");
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 2\r\nContent-Length: 3\r\n\r\nown");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.body, "own");
    EXPECT_TRUE(connection.isReusable());
    ::close(socket);
}

// HTTP client libraries may resend a call here; a call that must run at most once must not be.
TEST_F(OutboundConnectionTest, NeverSendsACallAgainOnAClosedConnection)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.isComplete; }));
    this->events.isComplete = false;
    this->call(connection, "2");
    this->acceptAndRead(socket);
    resetConnection(socket);
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.error, Error::ConnectionLost);
    this->loop.runEvents();
    EXPECT_LT(this->server.accept(), 0);
}

// A process may be paused between the decision to send a call and the end of the handshake.
TEST_F(OutboundConnectionTest, WritesNothingOncePermissionHasExpired)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    this->events.isPermitted = false;
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.error, Error::PermissionExpired);
    int socket = -1;
    this->loop.runUntil([&] { return (socket = this->server.accept()) >= 0; });
    this->loop.runUntil([&] { return isClosedByPeer(socket); });
    EXPECT_EQ(readAvailable(socket), "");
    ::close(socket);
}

TEST_F(OutboundConnectionTest, ReportsConnectionFailedWhenConnectingFails)
{
    std::string closed;
    {
        RawServer gone;
        closed = gone.address();
    }
    OutboundConnection connection(this->loop.base(), closed, this->events);
    this->call(connection, "1");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.error, Error::ConnectionFailed);
}

TEST_F(OutboundConnectionTest, ReportsATruncatedBodyAsConnectionLost)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket,
             "HTTP/1.1 200 OK\r\nCall: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    ::close(socket);
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_FALSE(this->events.isComplete);
    EXPECT_EQ(this->events.error, Error::ConnectionLost);
}

TEST_F(OutboundConnectionTest, EndsABodyWithoutLengthAtAnOrderlyClose)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\n\r\nabc");
    ::shutdown(socket, SHUT_WR);
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_TRUE(this->events.isComplete);
    EXPECT_EQ(this->events.body, "abc");
    EXPECT_FALSE(connection.isReusable());
    ::close(socket);
}

TEST_F(OutboundConnectionTest, ReportsABodyWithoutLengthThatIsResetAsConnectionLost)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\n\r\nabc");
    ASSERT_TRUE(this->loop.runUntil([&] { return !this->events.body.empty(); }));
    resetConnection(socket);
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_FALSE(this->events.isComplete);
    EXPECT_EQ(this->events.error, Error::ConnectionLost);
}

TEST_F(OutboundConnectionTest, RejectsBytesThatAreNoResponse)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket, "not a response\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.error, Error::ProtocolViolation);
    ::close(socket);
}

TEST_F(OutboundConnectionTest, ClosesAnIdleConnectionOnUnsolicitedBytes)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.isComplete; }));
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.isIdleClosed; }));
    EXPECT_FALSE(connection.isReusable());
    ::close(socket);
}

TEST_F(OutboundConnectionTest, PoolClosesAConnectionAfterItsIdleTimeout)
{
    ConnectionPool pool(this->loop.base(), this->memory);
    const absl::Time now = absl::UnixEpoch();
    auto connection = pool.acquire(this->server.address(), ConnectionPool::kMaxIdleTime, now);
    this->call(*connection, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket,
             "HTTP/1.1 200 OK\r\nCall: 1\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.isComplete; }));
    pool.release(this->server.address(), std::move(connection), now);
    EXPECT_EQ(pool.idleCount(), 1U);
    // A call that must not be repeated gets a new connection.
    auto fresh = pool.acquire(this->server.address(), absl::ZeroDuration(), now + absl::Seconds(1));
    EXPECT_FALSE(fresh->hasCompletedCalls());
    pool.onTick(now + absl::Seconds(2));
    EXPECT_EQ(pool.idleCount(), 0U);
    ::close(socket);
}

// Guards against a late duplicate of an earlier response, which arrives while another call uses the
// connection.
TEST_F(OutboundConnectionTest, SkipsALateDuplicateOfAnEarlierResponse)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "1");
    const int socket = this->acceptAndRead();
    const std::string first = "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 5\r\n\r\nfirst";
    writeAll(socket, first);
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    this->events = {};
    this->call(connection, "2");
    this->acceptAndRead(socket);
    writeAll(socket, first.substr(0, 30));
    this->loop.runEvents();
    writeAll(socket, first.substr(30));
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 2\r\nContent-Length: 6\r\n\r\nsecond");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.body, "second");
    ::close(socket);
}

TEST_F(OutboundConnectionTest, FailsACallThatGetsOnlyAnotherCallsResponse)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "2");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 5\r\n\r\nfirst");
    ::close(socket);
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.error, make_error_code(Error::ConnectionLost));
    EXPECT_TRUE(this->events.body.empty());
}

// Reservation commands carry no id: a late response to a call was taken for a granted reservation.
TEST_F(OutboundConnectionTest, SkipsAResponseWithAnIdWhereNoneIsExpected)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 5\r\n\r\nfirst");
    writeAll(socket, "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nfull");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.status, 409);
    EXPECT_EQ(this->events.body, "full");
    ::close(socket);
}

// Guards against a connection that is handed out although the server has sent bytes on it since its
// last call: the loop has not read them yet.
TEST_F(OutboundConnectionTest, PoolHandsOutNoConnectionWithUnreadInput)
{
    ConnectionPool pool(this->loop.base(), this->memory);
    const int socket = this->keepConnection(pool);
    writeAll(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    const auto next = pool.acquire(this->server.address(), ConnectionPool::kMaxIdleTime, kNow);
    EXPECT_FALSE(next->hasCompletedCalls());
    ::close(socket);
}

TEST_F(OutboundConnectionTest, PoolHandsOutNoConnectionThatTheServerHasClosed)
{
    ConnectionPool pool(this->loop.base(), this->memory);
    ::close(this->keepConnection(pool));
    const auto next = pool.acquire(this->server.address(), ConnectionPool::kMaxIdleTime, kNow);
    EXPECT_FALSE(next->hasCompletedCalls());
}

// Guards against the reuse of a connection that was released at the very time of the next call.
TEST_F(OutboundConnectionTest, PoolReusesNothingWithoutIdleTime)
{
    ConnectionPool pool(this->loop.base(), this->memory);
    const int socket = this->keepConnection(pool);
    const auto fresh = pool.acquire(this->server.address(), absl::ZeroDuration(), kNow);
    EXPECT_FALSE(fresh->hasCompletedCalls());
    ::close(socket);
}

/** Sends its parameter repeatedly until the call ends or kMaxSentBytes bytes have been sent. */
class EndlessResponse : public OutboundConnectionTest,
                        public ::testing::WithParamInterface<const char *>
{ };

// A faulty server may send bytes that form no response until the caller closes the connection.
TEST_P(EndlessResponse, EndsTheCall)
{
    constexpr std::size_t kMaxSentBytes = std::size_t {4} << 20;
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "2");
    const int socket = this->acceptAndRead();
    const std::string piece = GetParam();
    std::string burst;
    while (burst.size() < 16384)
        burst += piece;
    const std::string start = piece.starts_with("H") ? "" : "HTTP/1.1 200 OK\r\n";
    writeAll(socket, start);
    std::size_t sent = 0;
    while (!this->isOver() && sent < kMaxSentBytes) {
        writeAll(socket, burst);
        sent += burst.size();
        event_base_loop(this->loop.base(), EVLOOP_NONBLOCK);
    }
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_TRUE(this->events.error);
    EXPECT_LT(sent, kMaxSentBytes);
    EXPECT_TRUE(this->events.body.empty());
    ::close(socket);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, EndlessResponse,
    ::testing::Values("X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", "a",
                      "HTTP/1.1 100 Continue\r\n\r\n",
                      "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 5\r\n\r\nfirst"));

TEST_F(OutboundConnectionTest, FailsACallWhoseChunksCarryOnlyExtensions)
{
    OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
    this->call(connection, "2");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 2\r\nTransfer-Encoding: chunked\r\n\r\n5;");
    std::size_t sent = 0;
    while (!this->isOver() && sent < (std::size_t {4} << 20)) {
        writeAll(socket, std::string(16384, 'e'));
        sent += 16384;
        event_base_loop(this->loop.base(), EVLOOP_NONBLOCK);
    }
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_TRUE(this->events.error);
    ::close(socket);
}

// Guards against heads that are small each but together use up the memory of an instance: the calls
// that ask for more of it fail, not those with heads of the usual size.
TEST_F(OutboundConnectionTest, FailsCallsWhoseHeadsUseUpTheirShareOfMemory)
{
    constexpr int kConnections = 100;
    const std::int64_t share = this->memory.share(MemoryOwner::ResponseHeads);
    std::string head = "HTTP/1.1 200 OK\r\n";
    while (head.size() < 512)
        head += "a: b\r\n";
    std::vector<std::unique_ptr<OutboundConnection>> connections;
    std::vector<std::unique_ptr<Recorder>> results;
    std::vector<int> sockets;
    for (int i = 0; i < kConnections; ++i) {
        Recorder &events = *results.emplace_back(std::make_unique<Recorder>());
        connections.push_back(std::make_unique<OutboundConnection>(
            this->loop.base(), this->server.address(), events, this->memory));
        connections.back()->call(kRequest, false, {"Call", "1"}, events);
        this->received.clear();
        sockets.push_back(this->acceptAndRead());
        writeAll(sockets.back(), head);
    }
    this->loop.runEvents();
    const auto refused = std::count_if(results.begin(), results.end(), [](const auto &events) {
        return events->error == Error::MemoryShareUsedUp;
    });
    EXPECT_GT(refused, 0);
    EXPECT_LE(this->memory.used(MemoryOwner::ResponseHeads), share);
    OutboundConnection sound(this->loop.base(), this->server.address(), this->events, this->memory);
    this->call(sound, "1");
    const int socket = this->acceptAndRead();
    writeAll(socket, "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.body, "ok");
    for (const std::unique_ptr<OutboundConnection> &connection : connections)
        connection->cancel();
    connections.clear();
    EXPECT_EQ(this->memory.used(MemoryOwner::ResponseHeads), 0);
    sockets.push_back(socket);
    for (const int open : sockets)
        ::close(open);
}

// Guards against a head of many short lines, whose strings take much more memory than its text.
TEST_F(OutboundConnectionTest, FailsACallWithTooLargeAHead)
{
    for (const std::string &line : {std::string("a: b\r\n"), std::string("aaaaaa")}) {
        this->events = {};
        OutboundConnection connection(this->loop.base(), this->server.address(), this->events);
        this->call(connection, "1");
        const int socket = this->acceptAndRead();
        writeAll(socket, "HTTP/1.1 200 OK\r\nX: ");
        std::size_t sent = 0;
        while (!this->isOver() && sent < std::size_t {64} << 10) {
            writeAll(socket, line);
            sent += line.size();
            event_base_loop(this->loop.base(), EVLOOP_NONBLOCK);
        }
        this->loop.runEvents();
        EXPECT_EQ(this->events.error, Error::ProtocolViolation) << line;
        ::close(socket);
    }
}

/** Throws from onResponseHead(). */
struct ThrowingListener final : OutboundEvents, IdleEvents
{
    void onResponseHead(OutboundConnection &, const ResponseHead &) override
    {
        throw std::runtime_error("deliberate exception");
    }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override { }
    void onCallFailed(OutboundConnection &, std::error_code code) override { this->error = code; }
    void onIdleClosed(OutboundConnection &) override { }

    std::error_code error;
};

// Guards against an exception in the callback of one response that ends the process.
TEST_F(OutboundConnectionTest, AnExceptionEndsOneCallOnly)
{
    ThrowingListener faulty;
    const std::uint64_t before = unexpectedErrorCount();
    OutboundConnection bad(this->loop.base(), this->server.address(), faulty);
    bad.call(kRequest, false, {"Call", "1"}, faulty);
    const int badSocket = this->acceptAndRead();
    OutboundConnection good(this->loop.base(), this->server.address(), this->events);
    this->call(good, "2");
    const int goodSocket = this->acceptAndRead();
    writeAll(badSocket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return bool(faulty.error); }));
    EXPECT_EQ(faulty.error, make_error_code(Error::Internal));
    EXPECT_EQ(unexpectedErrorCount(), before + 1);
    writeAll(goodSocket, "HTTP/1.1 200 OK\r\nCall: 2\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->isOver(); }));
    EXPECT_EQ(this->events.body, "ok");
    ::close(badSocket);
    ::close(goodSocket);
}

// Guards against a connection that timed out and counts as evidence that the server has ended, as
// one that was refused or reset does.
TEST_F(OutboundConnectionTest, TellsTimeoutsFromRefusedAndClosedConnections)
{
    OutboundConnection open(this->loop.base(), this->server.address(), this->events);
    this->call(open, "1");
    resetConnection(this->acceptAndRead());
    this->loop.runUntil([this] { return this->isOver(); });
    EXPECT_EQ(open.endCause(), ConnectionEnd::ClosedByPeer);

    OutboundConnection refused(this->loop.base(), "127.0.0.1:1", this->events);
    this->loop.runUntil([&refused] { return !refused.isUsable(); });
    EXPECT_EQ(refused.endCause(), ConnectionEnd::Refused);

    const FullBacklog hanging;
    OutboundConnection timedOut(this->loop.base(), hanging.address(), this->events);
    this->loop.runUntil([&timedOut] { return !timedOut.isUsable(); });
    EXPECT_EQ(timedOut.endCause(), ConnectionEnd::TimedOut);
}

} // namespace
} // namespace foxtailtally
