#include "peers/http/inbound_connection.h"

#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <gtest/gtest.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

struct Recorder final : InboundEvents
{
    void onRequestHead(InboundConnection &connection) override
    {
        ++this->heads;
        if (this->bodyPausedAbove > 0)
            connection.allowBody(this->bodyPausedAbove);
    }
    void onBodyAllowanceReached(InboundConnection &connection) override
    {
        ++this->allowancesReached;
        connection.allowBody(64);
        connection.pauseBody();
    }
    void onRequestComplete(InboundConnection &connection) override
    {
        ++this->requests;
        this->path = connection.head().path;
        this->body = connection.body();
        if (this->answersAtOnce)
            connection.answer(200, {}, "done");
    }
    void onCallerGone(InboundConnection &) override { this->isGone = true; }
    void onWritable(InboundConnection &) override { }
    void onRequestRejected(InboundConnection &connection, int status) override
    {
        this->rejected = status;
        connection.answer(status, {}, "");
    }
    void onClosed(InboundConnection &) override { this->isClosed = true; }

    bool answersAtOnce = true;
    std::size_t bodyPausedAbove = 0;
    int allowancesReached = 0;
    int heads = 0;
    int requests = 0;
    int rejected = 0;
    std::string path;
    std::string body;
    bool isGone = false;
    bool isClosed = false;
};

class InboundConnectionTest : public ::testing::Test
{
protected:
    InboundConnectionTest()
    {
        int sockets[2] = {-1, -1};
        ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets);
        this->caller = sockets[0];
        InboundLimits limits;
        limits.headerBytes = 1024;
        limits.bodyBytes = 64;
        limits.headerTimeout = absl::Milliseconds(200);
        this->connection = std::make_unique<InboundConnection>(this->loop.base(), sockets[1],
                                                               this->events, limits);
    }
    ~InboundConnectionTest() override { ::close(this->caller); }

    bool answered(const std::string &text)
    {
        return this->loop.runUntil([&] {
            this->received += readAvailable(this->caller);
            return this->received.find(text) != std::string::npos;
        });
    }
    /** Status with which @p request is rejected; 0 if it is accepted. */
    int rejection(const std::string &request)
    {
        writeAll(this->caller, request);
        this->loop.runUntil(
            [&] { return this->events.rejected != 0 || this->events.requests > 0; });
        return this->events.rejected;
    }

    TestLoop loop;
    Recorder events;
    int caller = -1;
    std::string received;
    std::unique_ptr<InboundConnection> connection;
};

// Guards against a call that is run twice because its caller sends the next request early.
TEST_F(InboundConnectionTest, CompletesARequestOnceWhenTheNextOneArrivesDuringItsResponse)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests > 0; }));
    writeAll(this->caller, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    this->loop.runEvents();
    EXPECT_EQ(this->events.requests, 1);
    EXPECT_EQ(this->events.path, "/a");
}

// Guards against a request that is run while there is no memory for its body.
TEST_F(InboundConnectionTest, CompletesARequestWithAPausedBodyOnlyWhenItIsResumed)
{
    this->events.bodyPausedAbove = 2;
    writeAll(this->caller,
             "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.allowancesReached > 0; }));
    writeAll(this->caller, "1\r\n!\r\n0\r\n\r\n");
    this->loop.runEvents();
    EXPECT_EQ(this->events.requests, 0);
    this->connection->resumeBody();
    ASSERT_TRUE(this->answered("done"));
    EXPECT_EQ(this->events.body, "body!");
    EXPECT_EQ(this->events.allowancesReached, 1);
}

TEST_F(InboundConnectionTest, ServesPipelinedRequestsOneAfterTheOther)
{
    writeAll(this->caller,
             "POST /a?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
             "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 2; }));
    EXPECT_EQ(this->events.path, "/b");
    EXPECT_TRUE(this->answered("done"));
}

TEST_F(InboundConnectionTest, RejectsContentLengthWithChunkedEncoding)
{
    EXPECT_EQ(this->rejection("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              400);
}

TEST_F(InboundConnectionTest, RejectsASpaceBeforeTheColon)
{
    EXPECT_EQ(this->rejection("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n"),
              400);
}

TEST_F(InboundConnectionTest, RejectsTwoLengths)
{
    EXPECT_EQ(this->rejection("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                              "Content-Length: 4\r\n\r\nabcd"),
              400);
}

TEST_F(InboundConnectionTest, RejectsTwoHosts)
{
    EXPECT_EQ(this->rejection("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"), 400);
}

TEST_F(InboundConnectionTest, RejectsABodyOverTheLimitFromItsLength)
{
    EXPECT_EQ(this->rejection("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"), 413);
    EXPECT_EQ(this->events.heads, 0);
}

TEST_F(InboundConnectionTest, RejectsAChunkedBodyOverTheLimit)
{
    EXPECT_EQ(
        this->rejection("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"
                        + std::string(65, 'x') + "\r\n0\r\n\r\n"),
        413);
}

// Guards against headers behind the body, which no check of the head has seen, that were forwarded
// as headers of the request.
TEST_F(InboundConnectionTest, TakesNoHeaderFromBehindTheBody)
{
    writeAll(this->caller,
             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "1\r\nx\r\n0\r\nModel: m\r\nX: 1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    this->events.answersAtOnce = false;
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    EXPECT_EQ(this->connection->head().headers.find("Model"), nullptr);
    this->connection->answer(200, {}, "");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 2; }));
    EXPECT_EQ(this->connection->head().headers.all().size(), 1U);
}

TEST_F(InboundConnectionTest, RejectsHeadersOverTheLimit)
{
    EXPECT_EQ(this->rejection("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x')), 431);
}

TEST_F(InboundConnectionTest, TimesOutAnIncompleteHead)
{
    EXPECT_EQ(this->rejection("GET / HTTP/1.1\r\nHost"), 408);
    EXPECT_TRUE(this->answered("Connection: close"));
}

TEST_F(InboundConnectionTest, ReportsThatTheCallerDisconnectedBeforeTheAnswer)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    ::shutdown(this->caller, SHUT_RDWR);
    EXPECT_TRUE(this->loop.runUntil([&] { return this->events.isGone; }));
    EXPECT_TRUE(this->loop.runUntil([&] { return this->events.isClosed; }));
}

// A close of the sending half cannot be told from a close of the connection, after which the
// servers must stop. It counts as a close also when it arrives together with the request.
TEST_F(InboundConnectionTest, TreatsAHalfClosedConnectionAsClosed)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ::shutdown(this->caller, SHUT_WR);
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.isClosed; }));
    EXPECT_EQ(this->events.requests, 1);
    EXPECT_TRUE(this->events.isGone);
    this->connection->answer(200, {}, "late");
    EXPECT_EQ(readAvailable(this->caller), "");
}

// Guards against the end mark of a stream behind a response that has no body: it was the start of
// the next response on the connection.
TEST_F(InboundConnectionTest, SendsNoStreamInResponseToHead)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    this->connection->startStream(200, {});
    this->connection->sendChunk("event");
    this->connection->finishStream();
    ASSERT_TRUE(this->answered("chunked\r\n\r\n"));
    this->loop.runEvents();
    EXPECT_TRUE((this->received + readAvailable(this->caller)).ends_with("chunked\r\n\r\n"));
    EXPECT_TRUE(this->connection->isIdle());
}

TEST_F(InboundConnectionTest, ClosesAnIdleConnectionOnGracefulStop)
{
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->answered("done"));
    this->connection->closeWhenIdle();
    EXPECT_TRUE(this->loop.runUntil([&] { return isClosedByPeer(this->caller); }));
}

// Guards against a request that is read and dropped without an answer because it arrives while the
// connection is being closed for idleness.
TEST_F(InboundConnectionTest, AnswersARequestThatArrivedBeforeAnIdleClose)
{
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    this->connection->closeWhenIdle();
    EXPECT_TRUE(this->answered("done"));
    EXPECT_NE(this->received.find("Connection: close"), std::string::npos);
}

// A caller may send a request again if the connection was closed before the request was read.
TEST_F(InboundConnectionTest, ReadsNoRequestAfterAnIdleClose)
{
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->answered("done"));
    this->connection->closeWhenIdle();
    const std::string request = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n";
    const ssize_t sent =
        ::send(this->caller, request.data(), request.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    EXPECT_LT(sent, 0);
    EXPECT_EQ(this->events.requests, 1);
}

TEST_F(InboundConnectionTest, AnswersARunningRequestBeforeAGracefulStopCloses)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    this->connection->closeWhenIdle();
    this->loop.runEvents();
    EXPECT_FALSE(isClosedByPeer(this->caller));
    this->connection->answer(200, {}, "whole");
    EXPECT_TRUE(this->answered("whole"));
    EXPECT_NE(this->received.find("Connection: close"), std::string::npos);
}

TEST_F(InboundConnectionTest, AbortedStreamDoesNotLookComplete)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    this->connection->startStream(200, {});
    this->connection->sendChunk("part");
    ASSERT_TRUE(this->answered("part"));
    this->connection->abort();
    EXPECT_TRUE(this->events.isClosed);
    this->connection.reset();
    EXPECT_TRUE(this->loop.runUntil([&] { return isClosedByPeer(this->caller); }));
    EXPECT_EQ(this->received.find("0\r\n\r\n"), std::string::npos);
}

/** Throws from onRequestComplete(). */
struct ThrowingListener final : InboundEvents
{
    void onRequestHead(InboundConnection &) override { }
    void onRequestComplete(InboundConnection &) override
    {
        throw std::runtime_error("deliberate exception");
    }
    void onCallerGone(InboundConnection &) override { }
    void onWritable(InboundConnection &) override { }
    void onRequestRejected(InboundConnection &, int) override { }
    void onClosed(InboundConnection &) override { this->isClosed = true; }

    bool isClosed = false;
};

// Guards against an exception in the callback of one request that ends the process.
TEST_F(InboundConnectionTest, AnExceptionClosesOneConnectionOnly)
{
    int sockets[2] = {-1, -1};
    ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets);
    ThrowingListener faulty;
    InboundConnection bad(this->loop.base(), sockets[1], faulty, {});
    writeAll(sockets[0], "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return faulty.isClosed; }));
    writeAll(this->caller, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(this->answered("done"));
    ::close(sockets[0]);
}

TEST_F(InboundConnectionTest, AppliesNewLimitsWhileItIsOpen)
{
    InboundLimits limits;
    limits.bodyBytes = 8;
    limits.idleTimeout = absl::Milliseconds(5);
    this->connection->setLimits(limits);
    limits.idleTimeout = absl::Seconds(20);
    limits.bodyBytes = 1000;
    this->connection->setLimits(limits);
    this->loop.runEvents();
    const std::string body(500, 'x');
    EXPECT_EQ(this->rejection("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n" + body),
              0);
    EXPECT_EQ(this->events.body, body);
}

// Guards against a response that is cut a second after it was written because its caller reads it
// slowly and the connection closes after it.
TEST_F(InboundConnectionTest, SendsAWholeResponseToASlowCallerBeforeItCloses)
{
    constexpr std::size_t kBodyBytes = std::size_t {2} << 20;
    constexpr absl::Duration kReadInterval = absl::Milliseconds(80);
    constexpr std::size_t kReadBytes = std::size_t {64} << 10;
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    this->connection->closeAfterAnswer();
    this->connection->answer(200, {}, std::string(kBodyBytes, 'x'));
    std::string piece(kReadBytes, '\0');
    std::size_t total = 0;
    absl::Time nextRead = absl::Now();
    EXPECT_TRUE(this->loop.runUntil([&] {
        if (absl::Now() < nextRead)
            return false;
        nextRead = absl::Now() + kReadInterval;
        const ssize_t size = ::read(this->caller, piece.data(), piece.size());
        total += size > 0 ? static_cast<std::size_t>(size) : 0;
        return size == 0;
    }));
    EXPECT_GT(total, kBodyBytes);
}

// Guards against the next request on a connection being read and dropped: the connection closed
// after a stream whose head had not announced that.
TEST_F(InboundConnectionTest, AnswersARequestBehindAStreamThatAnnouncedNoClose)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    this->connection->startStream(200, {});
    this->connection->closeWhenIdle();
    this->connection->finishStream();
    this->events.answersAtOnce = true;
    writeAll(this->caller, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(this->answered("done"));
    EXPECT_EQ(this->events.path, "/next");
    EXPECT_NE(this->received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(this->loop.runUntil([&] { return this->events.isClosed; }));
}

// Guards against reading a request that cannot be answered any more; its caller could not tell
// whether it may send it again.
TEST_F(InboundConnectionTest, ReadsNothingAfterAStreamThatAnnouncedNoClose)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    this->connection->startStream(200, {});
    this->connection->closeWhenIdle();
    this->connection->finishStream();
    EXPECT_TRUE(this->loop.runUntil([&] { return this->events.isClosed; }));
    EXPECT_TRUE(this->answered("0\r\n\r\n"));
    const std::string request = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n";
    EXPECT_LT(::send(this->caller, request.data(), request.size(), MSG_NOSIGNAL | MSG_DONTWAIT), 0);
    EXPECT_EQ(this->events.requests, 1);
}

// Guards against a pipelined request being read and dropped behind the response to an earlier one.
TEST_F(InboundConnectionTest, AnswersAPipelinedRequestBeforeItCloses)
{
    this->events.answersAtOnce = false;
    writeAll(this->caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 1; }));
    this->connection->closeWhenIdle();
    this->events.answersAtOnce = true;
    this->connection->answer(200, {}, "first");
    EXPECT_TRUE(this->answered("done"));
    EXPECT_EQ(this->events.path, "/b");
    EXPECT_TRUE(this->received.ends_with("done"));
    EXPECT_TRUE(this->loop.runUntil([&] { return this->events.isClosed; }));
}

// Guards against a request that is refused because the limits became smaller while it was received.
TEST_F(InboundConnectionTest, KeepsTheLimitsUnderWhichARequestBegan)
{
    InboundLimits small;
    small.headerBytes = 64;
    small.bodyBytes = 8;
    small.headerTimeout = absl::Milliseconds(1);
    const std::string body(60, 'x');
    writeAll(this->caller, "POST /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x'));
    this->loop.runEvents();
    this->connection->setLimits(small);
    this->loop.runEvents();
    writeAll(this->caller, "\r\nTransfer-Encoding: chunked\r\n\r\n3c\r\n" + body.substr(0, 30));
    this->loop.runEvents();
    this->connection->setLimits(small);
    EXPECT_EQ(this->rejection(body.substr(30) + "\r\n0\r\n\r\n"), 0);
    EXPECT_EQ(this->events.body, body);
    ASSERT_TRUE(this->answered("done"));
    writeAll(this->caller, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.rejected != 0; }));
    EXPECT_EQ(this->events.rejected, 413);
}

// Guards against a request that is refused although the limits became large enough for it while it
// was received.
TEST_F(InboundConnectionTest, AppliesLargerLimitsToARequestThatHasBegun)
{
    InboundLimits large;
    large.headerBytes = 4096;
    large.bodyBytes = 200;
    writeAll(this->caller, "POST /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(900, 'x'));
    this->loop.runEvents();
    this->connection->setLimits(large);
    writeAll(this->caller, std::string(900, 'x'));
    absl::SleepFor(absl::Milliseconds(250));
    this->loop.runEvents();
    const std::string body(150, 'x');
    EXPECT_EQ(this->rejection("\r\nContent-Length: 150\r\n\r\n" + body), 0);
    EXPECT_EQ(this->events.body, body);
}

// Guards against a connection that is closed as idle although the limit under which it became idle
// still allows its caller to use it.
TEST_F(InboundConnectionTest, KeepsTheIdleTimeUnderWhichItBecameIdle)
{
    writeAll(this->caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->answered("done"));
    InboundLimits limits;
    limits.idleTimeout = absl::Milliseconds(5);
    this->connection->setLimits(limits);
    this->loop.runEvents();
    EXPECT_FALSE(isClosedByPeer(this->caller));
    writeAll(this->caller, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(this->loop.runUntil([&] { return this->events.requests == 2; }));
    EXPECT_TRUE(this->loop.runUntil([&] { return this->events.isClosed; }));
}

} // namespace
} // namespace foxtailtally
