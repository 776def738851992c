#include "main/gateway/server_call.h"

#include "core/clock.h"
#include "core/error.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>
#include <utility>

namespace foxtailtally {
namespace {

struct Recorder final : ServerCallEvents
{
    bool mayWrite(ServerCall &, absl::Time) override { return true; }
    void onReply(ServerCall &, const ResponseHead &head, const platform::ServerReply &) override
    {
        this->status = head.status;
    }
    void onReplyBody(ServerCall &, std::string_view data) override { this->body.append(data); }
    void onReplyComplete(ServerCall &) override { this->isComplete = true; }
    void onAttemptEnded(ServerCall &, AttemptEnd attemptEnd) override { this->end = attemptEnd; }

    int status = 0;
    std::string body;
    bool isComplete = false;
    std::optional<AttemptEnd> end;
};

class ServerCallTest : public ::testing::Test
{
protected:
    ServerCallTest()
        : context(this->loop.base(), GatewaySettings())
    { }
    void TearDown() override { ::close(this->socket); }

    /** Sends call @p id; the server has received it when this returns. */
    std::unique_ptr<ServerCall> send(const std::string &id, Recorder &events,
                                     bool needsNewConnection = false)
    {
        AttemptTarget target;
        target.id = BackendServerId("server");
        target.key = kServer;
        target.address = this->server.address();
        auto call = std::make_unique<ServerCall>(this->context, target, events);
        call->send({"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, false, id, needsNewConnection,
                   Clock::now());
        std::string received;
        this->loop.runUntil([&] {
            if (const int accepted = this->server.accept(); accepted >= 0) {
                if (this->socket >= 0)
                    ::close(this->socket);
                this->socket = accepted;
                ++this->connections;
            }
            received += this->socket >= 0 ? readAvailable(this->socket) : "";
            return received.find("\r\n\r\n") != std::string::npos;
        });
        return call;
    }
    static std::string reply(const std::string &start, const std::string &id,
                             const std::string &body = "")
    {
        const std::string idLine = id.empty() ? "" : absl::StrCat("Attempt-Id: ", id, "\r\n");
        return absl::StrCat("HTTP/1.1 ", start, "\r\n", idLine, "Content-Length: ", body.size(),
                            "\r\n\r\n", body);
    }
    static std::string served(const std::string &id)
    {
        return reply("200 OK\r\nResponse-Seal: s", id, "body-" + id);
    }
    /** Serves a call, so that the pool has a connection that has carried one. */
    void keepConnection()
    {
        Recorder first;
        const auto call = this->send("1", first);
        writeAll(this->socket, served("1"));
        ASSERT_TRUE(this->loop.runUntil([&] { return first.isComplete; }));
        ASSERT_EQ(this->context.pool.idleCount(), 1U);
    }
    bool isOver(const Recorder &events)
    {
        return this->loop.runUntil([&] { return events.isComplete || events.end; });
    }

    static constexpr ServerKey kServer = 7;

    TestLoop loop;
    RawServer server;
    GatewayContext context;
    int socket = -1;
    int connections = 0;
};

// Guards against a refusal that a server repeats on a kept connection: the call that runs there was
// reported as not run.
TEST_F(ServerCallTest, TakesNoRefusalWithoutIdOnAReusedConnection)
{
    for (const char *start : {"503 Busy\r\nNot-Executed: 1", "429 Many\r\nNot-Executed: 1",
                              "421 Misdirected", "400 Bad\r\nNot-Executed: 1"}) {
        this->keepConnection();
        Recorder events;
        const int before = this->connections;
        const auto call = this->send("2", events);
        ASSERT_EQ(this->connections, before) << "the connection was not reused";
        writeAll(this->socket, reply(start, ""));
        ASSERT_TRUE(this->isOver(events));
        EXPECT_EQ(events.end, AttemptEnd::Lost) << start;
        EXPECT_FALSE(call->wasMisdirected()) << start;
    }
}

// Guards against a response to an earlier call that is forwarded to the caller of this one.
TEST_F(ServerCallTest, TakesNoFailureWithoutIdOnAReusedConnection)
{
    for (const char *start : {"500 Failed", "404 Not Found", "400 Bad", "304 Not Modified",
                              "200 OK\r\nResponse-Seal: s"}) {
        this->keepConnection();
        Recorder events;
        const auto call = this->send("2", events);
        writeAll(this->socket, reply(start, "", "other") + served("2"));
        ASSERT_TRUE(this->isOver(events));
        EXPECT_EQ(events.end, AttemptEnd::Lost) << start;
        EXPECT_EQ(events.status, 0) << start;
    }
}

// Guards against a repeated refusal that is counted as news of the server: it may be older than
// what the server has said since.
TEST_F(ServerCallTest, LearnsNothingFromAResponseThatMayBelongToAnotherCall)
{
    this->keepConnection();
    Recorder events;
    const auto call = this->send("2", events);
    writeAll(this->socket,
             reply("503 Busy\r\nNot-Executed: 1\r\nRetry-After: 5\r\nServer-Limit: 2\r\n"
                   "Server-Leaving: 1\r\nWorker-Load: 9,9,9",
                   ""));
    ASSERT_TRUE(this->isOver(events));
    const absl::Time now = Clock::now();
    EXPECT_LE(this->context.directory.backpressure().pausedUntil(kServer), now);
    EXPECT_FALSE(this->context.limits.isLimited(kServer));
    EXPECT_EQ(this->context.activity[kServer].reportedCalls, 0);
}

// Guards against a server that counts as crashed because it had dropped an idle connection.
TEST_F(ServerCallTest, TellsADroppedIdleConnectionFromALostCall)
{
    this->keepConnection();
    Recorder events;
    const int before = this->connections;
    const auto call = this->send("2", events);
    ASSERT_EQ(this->connections, before) << "the connection was not reused";
    resetConnection(std::exchange(this->socket, -1));
    ASSERT_TRUE(this->isOver(events));
    EXPECT_EQ(events.end, AttemptEnd::Dropped);
    EXPECT_TRUE(call->usedIdleConnection());
    EXPECT_FALSE(call->hadBytes());
}

TEST_F(ServerCallTest, CountsACallAsLostOnceBytesOfAResponseHaveArrived)
{
    this->keepConnection();
    Recorder events;
    const auto call = this->send("2", events);
    writeAll(this->socket, "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n");
    this->loop.runEvents();
    resetConnection(std::exchange(this->socket, -1));
    ASSERT_TRUE(this->isOver(events));
    EXPECT_EQ(events.end, AttemptEnd::Lost);
    EXPECT_TRUE(call->hadBytes());
}

TEST_F(ServerCallTest, CountsACallAsLostOnceAnInterimResponseHasArrived)
{
    this->keepConnection();
    Recorder events;
    const auto call = this->send("2", events);
    writeAll(this->socket, "HTTP/1.1 102 Processing\r\n\r\n");
    this->loop.runEvents();
    resetConnection(std::exchange(this->socket, -1));
    ASSERT_TRUE(this->isOver(events));
    EXPECT_EQ(events.end, AttemptEnd::Lost);
    EXPECT_TRUE(call->hadBytes());
}

// Guards against a server with too many connections that counts as ended, since it resets one
// before this side has noticed that it was accepted.
TEST_F(ServerCallTest, TellsAResetFromARefusedConnection)
{
    AttemptTarget target;
    target.id = BackendServerId("server");
    target.key = kServer;
    target.address = this->server.address();
    Recorder events;
    ServerCall call(this->context, target, events);
    call.send({"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, false, "1", true, Clock::now());
    int accepted = -1;
    while (accepted < 0)
        accepted = this->server.accept();
    resetConnection(accepted);
    ASSERT_TRUE(this->isOver(events));
    EXPECT_NE(call.connectionEnd(), ConnectionEnd::Refused);
}

// A server that begins to run a call and crashes takes longer than the notice of a connection that
// it had dropped.
TEST_F(ServerCallTest, CountsACallAsLostThatBreaksLater)
{
    this->keepConnection();
    Recorder events;
    const auto call = this->send("2", events);
    for (int ticks = 0; ticks < 3; ++ticks) {
        const absl::Time end = Clock::now() + absl::Milliseconds(200);
        this->loop.runUntil([end] { return Clock::now() >= end; });
        this->context.onTick(Clock::now());
    }
    resetConnection(std::exchange(this->socket, -1));
    ASSERT_TRUE(this->isOver(events));
    EXPECT_EQ(events.end, AttemptEnd::Lost);
}

TEST_F(ServerCallTest, CountsACallAsLostOnANewConnection)
{
    Recorder events;
    const auto call = this->send("1", events);
    resetConnection(std::exchange(this->socket, -1));
    ASSERT_TRUE(this->isOver(events));
    EXPECT_EQ(events.end, AttemptEnd::Lost);
    EXPECT_EQ(this->context.connectionReuse.maxIdleTime(kServer, "", Clock::now()),
              ConnectionPool::kMaxIdleTime);
}

TEST_F(ServerCallTest, SkipsRefusalsOfOtherCallsAndInterimResponses)
{
    this->keepConnection();
    Recorder events;
    const auto call = this->send("2", events);
    writeAll(this->socket,
             reply("503 Busy\r\nNot-Executed: 1", "1") + "HTTP/1.1 100 Continue\r\n\r\n"
                 + "HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n" + served("2"));
    ASSERT_TRUE(this->isOver(events));
    EXPECT_TRUE(events.isComplete);
    EXPECT_EQ(events.body, "body-2");
}

TEST_F(ServerCallTest, TakesARefusalThatCanOnlyBeItsOwn)
{
    Recorder fresh;
    const auto first = this->send("2", fresh);
    writeAll(this->socket, reply("503 Busy\r\nNot-Executed: 1", ""));
    ASSERT_TRUE(this->isOver(fresh));
    EXPECT_EQ(fresh.end, AttemptEnd::Rejected);

    this->keepConnection();
    Recorder named;
    const auto second = this->send("3", named);
    writeAll(this->socket, reply("503 Busy\r\nNot-Executed: 1", "3"));
    ASSERT_TRUE(this->isOver(named));
    EXPECT_EQ(named.end, AttemptEnd::Rejected);
}

// A call that must run once shares no connection with an earlier call, so that whatever arrives
// belongs to it.
TEST_F(ServerCallTest, UsesANewConnectionForACallThatMustRunOnce)
{
    this->keepConnection();
    Recorder events;
    const auto call = this->send("2", events, true);
    EXPECT_EQ(this->connections, 2);
}

} // namespace
} // namespace foxtailtally
