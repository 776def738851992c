#include "main/gateway/reservation_set.h"

#include "core/clock.h"
#include "platform/call_headers.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

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
        this->loop.until([this] { return (this->socket = this->server.accept()) >= 0; });
        this->awaitRequest();
        writeAll(this->socket, kAnswer);
        ASSERT_TRUE(this->loop.until([&end] { return end.isOver; }));
        this->context.pool.release(this->server.address(), std::move(connection), Clock::now());
    }
    void awaitRequest()
    {
        std::string received;
        this->loop.until([&] {
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
    this->loop.turn();
    EXPECT_FALSE(outcome.isReserved);
    writeAll(this->socket, "HTTP/1.1 409 Conflict\r\nContent-Length: 10\r\n\r\n{\"Free\":5}");
    ASSERT_TRUE(this->loop.until([&] { return outcome.isReserved || outcome.hasFailed; }));
    EXPECT_FALSE(outcome.isReserved);
    ::close(this->socket);
}

TEST_F(ReservationSetTest, IsCompleteWhenAllEnginesGrant)
{
    Outcome outcome;
    const std::vector<ReservationSet::Share> shares = {{7, this->server.address()}};
    ReservationSet set(this->context, "r", 1000, shares, outcome);
    this->loop.until([this] { return (this->socket = this->server.accept()) >= 0; });
    this->awaitRequest();
    writeAll(this->socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"Free\":5}");
    ASSERT_TRUE(this->loop.until([&] { return outcome.isReserved; }));
    ::close(this->socket);
}

} // namespace
} // namespace foxtailtally
