#include "main/gateway/reservation_set.h"

#include "core/clock.h"
#include "platform/call_headers.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

struct Outcome final : ReservationEvents
{
    void onReserved() override { this->isReserved = true; }
    void onReservationFailed(std::span<const ServerKey>) override { this->hasFailed = true; }

    bool isReserved = false;
    bool hasFailed = false;
};

struct CallEnd final : OutboundEvents
{
    void onResponseHead(OutboundConnection &, const ResponseHead &) override { }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override { this->isOver = true; }
    void onCallFailed(OutboundConnection &, std::error_code) override { }

    bool isOver = false;
};

class ReservationSetTest : public ::testing::Test
{
protected:
    static constexpr const char *kAnswer =
        "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 4\r\n\r\ndone";

    ReservationSetTest()
        : context(this->loop.base(), GatewaySettings())
        , first(this->addEngine("first"))
        , second(this->addEngine("second"))
    { }

    ServerKey addEngine(const std::string &id)
    {
        ServerEntry entry;
        entry.id = BackendServerId(id);
        this->context.directory.onEntry(entry, Clock::now());
        return this->context.directory.find(entry.id)->key;
    }

    /** Leaves a connection in the pool that has carried call 1. */
    void keepConnection()
    {
        CallEnd end;
        auto connection =
            this->context.pool.acquire(this->server.address(), absl::ZeroDuration(), Clock::now());
        connection->call("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, platform::callCorrelation("1"),
                         end);
        this->loop.runUntil([this] { return (this->socket = this->server.accept()) >= 0; });
        this->awaitRequest();
        writeAll(this->socket, kAnswer);
        ASSERT_TRUE(this->loop.runUntil([&end] { return end.isOver; }));
        this->context.pool.release(this->server.address(), std::move(connection), Clock::now());
    }
    void awaitRequest()
    {
        std::string received;
        this->loop.runUntil([&] {
            received += readAvailable(this->socket);
            return received.find("\r\n\r\n") != std::string::npos;
        });
    }

    TestLoop loop;
    RawServer server;
    GatewayContext context;
    ServerKey first;
    ServerKey second;
    int socket = -1;
};

// Regression: a reservation request was sent on a reused connection, and a late duplicate of an
// earlier response was taken for the grant of memory that the engine did not have.
TEST_F(ReservationSetTest, IgnoresALateResponseToAnEarlierCall)
{
    this->keepConnection();
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, this->server.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    this->awaitRequest();
    writeAll(this->socket, kAnswer);
    this->loop.runEvents();
    EXPECT_FALSE(outcome.isReserved);
    writeAll(this->socket, "HTTP/1.1 409 Conflict\r\nContent-Length: 10\r\n\r\n{\"Free\":5}");
    ASSERT_TRUE(this->loop.runUntil([&] { return outcome.isReserved || outcome.hasFailed; }));
    EXPECT_FALSE(outcome.isReserved);
    ::close(this->socket);
}

// Guards against the response to an earlier reservation request that an engine sends once more: it
// was taken for the grant of memory that the engine did not have.
TEST_F(ReservationSetTest, IgnoresARepeatedResponseToAnEarlierRequest)
{
    const std::string granted = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"Free\":5}";
    const std::vector<ReservationSet::Share> shares = {{this->first, this->server.address()}};
    Outcome earlier;
    ReservationSet first(this->context, "r1", 1000, shares, earlier);
    this->loop.runUntil([this] { return (this->socket = this->server.accept()) >= 0; });
    this->awaitRequest();
    writeAll(this->socket, granted);
    ASSERT_TRUE(this->loop.runUntil([&] { return earlier.isReserved; }));

    Outcome outcome;
    ReservationSet second(this->context, "r2", 1000, shares, outcome);
    int next = -1;
    this->loop.runUntil([&] {
        next = std::max(next, this->server.accept());
        return next >= 0 || !readAvailable(this->socket).empty();
    });
    writeAll(this->socket, granted);
    this->loop.runEvents();
    EXPECT_FALSE(outcome.isReserved);
    ::close(this->socket);
    this->socket = next;
    this->awaitRequest();
    writeAll(this->socket, granted);
    EXPECT_TRUE(this->loop.runUntil([&] { return outcome.isReserved; }));
    ::close(this->socket);
}

// Guards against a long prompt that is refused because an engine had dropped an idle connection.
TEST_F(ReservationSetTest, RepeatsARequestOnANewConnectionWhenAnIdleOneWasDropped)
{
    this->keepConnection();
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, this->server.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    this->awaitRequest();
    resetConnection(this->socket);
    ASSERT_TRUE(this->loop.runUntil(
        [&] { return outcome.hasFailed || (this->socket = this->server.accept()) >= 0; }));
    ASSERT_FALSE(outcome.hasFailed);
    this->awaitRequest();
    writeAll(this->socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"Free\":5}");
    EXPECT_TRUE(this->loop.runUntil([&] { return outcome.isReserved; }));
    ::close(this->socket);
}

TEST_F(ReservationSetTest, IsCompleteWhenAllEnginesGrant)
{
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, this->server.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    this->loop.runUntil([this] { return (this->socket = this->server.accept()) >= 0; });
    this->awaitRequest();
    writeAll(this->socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"Free\":5}");
    ASSERT_TRUE(this->loop.runUntil([&] { return outcome.isReserved; }));
    ::close(this->socket);
}

/** An engine that grants each request, or responds to none, as the test decides. */
class ScriptedEngine
{
public:
    explicit ScriptedEngine(TestLoop &loop)
        : loop(loop)
    { }
    ~ScriptedEngine()
    {
        for (const Connection &connection : this->connections)
            ::close(connection.socket);
    }

    std::string address() const { return this->server.address(); }
    /** Runs the loop for @p time; requests are granted when @p answers is set. */
    void runEvents(absl::Duration time, bool answers)
    {
        const absl::Time end = absl::Now() + time;
        this->loop.runUntil([&] {
            this->serve(answers);
            return absl::Now() > end;
        });
    }
    /** Operations of the requests received so far, in order. */
    const std::vector<std::string> &requests() const { return this->seen; }

private:
    struct Connection
    {
        int socket = -1;
        std::string received;
    };

    void serve(bool answers)
    {
        const int socket = this->server.accept();
        if (socket >= 0)
            this->connections.push_back({socket, {}});
        for (Connection &connection : this->connections) {
            connection.received += readAvailable(connection.socket);
            if (connection.received.find('}') == std::string::npos)
                continue;
            const bool isRelease = connection.received.find("release") != std::string::npos;
            this->seen.emplace_back(isRelease ? "release" : "reserve");
            connection.received.clear();
            if (answers)
                writeAll(connection.socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        }
    }

    TestLoop &loop;
    RawServer server;
    std::vector<Connection> connections;
    std::vector<std::string> seen;
};

// Memory is free at the latest when the last renewal has expired; a renewal after the release would
// reserve it again.
TEST_F(ReservationSetTest, RenewsUntilTheReleaseAndNeverAfterIt)
{
    ScriptedEngine engine(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, engine.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    engine.runEvents(absl::Milliseconds(200), true);
    ASSERT_TRUE(outcome.isReserved);
    // Responses to two renewals are lost; further renewals are sent nevertheless.
    engine.runEvents(absl::Milliseconds(2500), false);
    EXPECT_GE(engine.requests().size(), 3U);
    set.release();
    engine.runEvents(absl::Milliseconds(2500), false);
    EXPECT_EQ(std::count(engine.requests().begin(), engine.requests().end(), "release"), 1);
    EXPECT_EQ(engine.requests().back(), "release");
    EXPECT_FALSE(outcome.hasFailed);
}

// An engine that requested a pause still holds the memory of streams that it runs; its reservations
// are renewed only as often as is needed to keep them.
TEST_F(ReservationSetTest, RenewsRarelyWhileTheEngineIsPaused)
{
    ScriptedEngine engine(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, engine.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    engine.runEvents(absl::Milliseconds(200), true);
    ASSERT_TRUE(outcome.isReserved);
    this->context.directory.backpressure().onPause(this->first, absl::Seconds(10), Clock::now());
    engine.runEvents(absl::Milliseconds(1900), true);
    EXPECT_EQ(engine.requests().size(), 1U);
    // The first request reserved the memory for 3.5 s.
    engine.runEvents(absl::Milliseconds(1000), true);
    EXPECT_EQ(engine.requests().size(), 2U);
}

// Regression: memory was requested from an engine that had announced draining while the connection
// to it was established.
TEST_F(ReservationSetTest, RequestsNoMemoryIfTheEngineDrainsBefore)
{
    ScriptedEngine engine(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, engine.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    this->context.directory.backpressure().onDraining(this->first, Clock::now());
    engine.runEvents(absl::Milliseconds(100), true);
    EXPECT_TRUE(engine.requests().empty());
    EXPECT_TRUE(outcome.hasFailed);
}

// Regression: a request that was given up while its connection was established was written
// nevertheless, and reserved memory after it had been released.
TEST_F(ReservationSetTest, RequestsNoMemoryAfterTheRelease)
{
    ScriptedEngine engine(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, engine.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    set.release();
    engine.runEvents(absl::Milliseconds(100), true);
    EXPECT_TRUE(engine.requests().empty());
}

TEST_F(ReservationSetTest, ReleasesEverywhereWhenOneEngineDoesNotAnswer)
{
    ScriptedEngine good(this->loop);
    ScriptedEngine unresponsive(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{this->first, good.address()},
                                                       {this->second, unresponsive.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    for (int i = 0; i < 10; ++i) {
        good.runEvents(absl::Milliseconds(30), true);
        unresponsive.runEvents(absl::Milliseconds(30), false);
    }
    EXPECT_TRUE(outcome.hasFailed);
    EXPECT_EQ(good.requests(), (std::vector<std::string> {"reserve", "release"}));
    EXPECT_EQ(unresponsive.requests().back(), "release");
}

} // namespace
} // namespace foxtailtally
