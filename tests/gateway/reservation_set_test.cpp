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
    void onReservationFailed(ServerKey) override { this->hasFailed = true; }

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
    { }

    /** Leaves a connection in the pool that has carried call 1. */
    void keepConnection()
    {
        CallEnd end;
        auto connection =
            this->context.pool.acquire(this->server.address(), absl::ZeroDuration(), Clock::now());
        connection->call("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, platform::correlationOf("1"),
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
    int socket = -1;
};

// An order went out on a kept connection; the second copy of an earlier answer, which came late,
// was taken for the grant of memory that the engine did not have.
TEST_F(ReservationSetTest, TakesNoLateAnswerForAGrant)
{
    this->keepConnection();
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{7, this->server.address()}};
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

TEST_F(ReservationSetTest, IsCompleteWhenAllEnginesGrant)
{
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{7, this->server.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    this->loop.runUntil([this] { return (this->socket = this->server.accept()) >= 0; });
    this->awaitRequest();
    writeAll(this->socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"Free\":5}");
    ASSERT_TRUE(this->loop.runUntil([&] { return outcome.isReserved; }));
    ::close(this->socket);
}

/** An engine that answers each order as a test says, or not at all. */
class OrderedEngine
{
public:
    explicit OrderedEngine(TestLoop &loop)
        : loop(loop)
    { }
    ~OrderedEngine()
    {
        for (const Line &line : this->lines)
            ::close(line.socket);
    }

    std::string address() const { return this->server.address(); }
    /** Turns the loop for @p time; orders are answered while @p answers. */
    void runEvents(absl::Duration time, bool answers)
    {
        const absl::Time end = absl::Now() + time;
        this->loop.runUntil([&] {
            this->serve(answers);
            return absl::Now() > end;
        });
    }
    /** Orders that have come, by operation, in order. */
    const std::vector<std::string> &orders() const { return this->seen; }

private:
    struct Line
    {
        int socket = -1;
        std::string received;
    };

    void serve(bool answers)
    {
        const int socket = this->server.accept();
        if (socket >= 0)
            this->lines.push_back({socket, {}});
        for (Line &line : this->lines) {
            line.received += readAvailable(line.socket);
            if (line.received.find('}') == std::string::npos)
                continue;
            const bool isRelease = line.received.find("release") != std::string::npos;
            this->seen.emplace_back(isRelease ? "release" : "reserve");
            line.received.clear();
            if (answers)
                writeAll(line.socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        }
    }

    TestLoop &loop;
    RawServer server;
    std::vector<Line> lines;
    std::vector<std::string> seen;
};

// Memory is free when the last renewal has lapsed, at the latest; a renewal after the release would
// set it aside again.
TEST_F(ReservationSetTest, RenewsUntilTheReleaseAndNeverAfterIt)
{
    OrderedEngine engine(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{7, engine.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    engine.runEvents(absl::Milliseconds(200), true);
    ASSERT_TRUE(outcome.isReserved);
    // Answers to two renewals are lost; the next ones are sent all the same.
    engine.runEvents(absl::Milliseconds(2500), false);
    EXPECT_GE(engine.orders().size(), 3U);
    set.release();
    engine.runEvents(absl::Milliseconds(2500), false);
    EXPECT_EQ(std::count(engine.orders().begin(), engine.orders().end(), "release"), 1);
    EXPECT_EQ(engine.orders().back(), "release");
    EXPECT_FALSE(outcome.hasFailed);
}

// An engine that asked for a pause still holds the memory of streams that it runs; it is asked to
// go on holding it as rarely as that is safe.
TEST_F(ReservationSetTest, RenewsRarelyWhileTheEngineWantsNothing)
{
    OrderedEngine engine(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{7, engine.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    engine.runEvents(absl::Milliseconds(200), true);
    ASSERT_TRUE(outcome.isReserved);
    this->context.directory.wishes().onPause(7, absl::Seconds(10), Clock::now());
    engine.runEvents(absl::Milliseconds(1900), true);
    EXPECT_EQ(engine.orders().size(), 1U);
    // The first order held the memory for 3.5 s.
    engine.runEvents(absl::Milliseconds(1000), true);
    EXPECT_EQ(engine.orders().size(), 2U);
}

TEST_F(ReservationSetTest, ReleasesEverywhereWhenOneEngineDoesNotAnswer)
{
    OrderedEngine good(this->loop);
    OrderedEngine mute(this->loop);
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{7, good.address()}, {8, mute.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    for (int i = 0; i < 10; ++i) {
        good.runEvents(absl::Milliseconds(30), true);
        mute.runEvents(absl::Milliseconds(30), false);
    }
    EXPECT_TRUE(outcome.hasFailed);
    EXPECT_EQ(good.orders(), (std::vector<std::string> {"reserve", "release"}));
    EXPECT_EQ(mute.orders().back(), "release");
}

} // namespace
} // namespace foxtailtally
