#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

constexpr int kServersPerService = 2;
constexpr absl::Duration kWaitLimit = absl::Seconds(10);

/** One gateway with two engines and two servers of a plain service, all listed as ready. */
class ServerBackpressure : public testing::TestWithParam<const char *>
{
protected:
    ServerBackpressure()
        : deployment(1)
    {
        this->deployment.configure(1, {"key-1"});
        for (int index = 0; index < 2 * kServersPerService; ++index)
            this->platform().addServer(index, index < kServersPerService ? "engine" : "desk", "d0",
                                       this->platform().serverAddress(index));
        this->deployment.start(0);
    }

    ServingStandin &platform() { return this->deployment.platform(); }
    /** Index of the first of the two servers that serve the path. */
    int firstServer() const
    {
        return std::string(this->GetParam()).starts_with("/stream") ? 0 : kServersPerService;
    }
    CallerAnswer call()
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = this->GetParam();
        request.body = absl::StrCat("body-", ++this->calls);
        request.headers = {absl::StrCat("Attempt-Id: call-", this->calls), "Key: key-1",
                           "Deadline-Ms: 3000", "Token-Usage: 1000,100"};
        return callGateway(request);
    }
    /** Sends calls one after another for @p time and returns their statuses. */
    std::vector<int> callFor(absl::Duration time)
    {
        std::vector<int> statuses;
        const absl::Time end = absl::Now() + time;
        while (absl::Now() < end)
            statuses.push_back(this->call().status);
        return statuses;
    }
    std::vector<absl::Time> arrivalsAt(int server)
    {
        std::vector<absl::Time> times;
        for (const ServerArrival &arrival : this->platform().arrivals()) {
            if (arrival.server == ServingStandin::serverName(server))
                times.push_back(arrival.at);
        }
        return times;
    }
    template <typename Condition>
    bool eventually(Condition condition)
    {
        const absl::Time end = absl::Now() + kWaitLimit;
        while (!condition()) {
            if (absl::Now() > end)
                return false;
            absl::SleepFor(absl::Milliseconds(20));
        }
        return true;
    }

    GatewayDeployment deployment;
    int calls = 0;
};

TEST_P(ServerBackpressure, ADrainingServerGetsNoMoreCalls)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    const int draining = this->firstServer();
    this->platform().setServerBehavior(draining, ServerBehavior::AnnounceDraining);
    ASSERT_TRUE(this->eventually([&] {
        this->call();
        return this->arrivalsAt(draining).size() == 1;
    }));
    for (const int status : this->callFor(absl::Seconds(1)))
        EXPECT_EQ(status, 200);
    EXPECT_EQ(this->arrivalsAt(draining).size(), 1U);

    // A new incarnation at the same address has not announced that it is draining.
    this->platform().setServerBehavior(draining, ServerBehavior::Serve);
    this->platform().setServerBehavior(draining + 1, ServerBehavior::AnnounceDraining);
    this->platform().restart(draining);
    EXPECT_TRUE(this->eventually([&] {
        this->call();
        return this->arrivalsAt(draining).size() > 1;
    }));
}

TEST_P(ServerBackpressure, ACallIsRefusedAtOnceWhenAllServersAreDraining)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    for (int server = 0; server < kServersPerService; ++server)
        this->platform().setServerBehavior(this->firstServer() + server,
                                           ServerBehavior::AnnounceDraining);
    ASSERT_TRUE(this->eventually([&] { return this->call().status == 503; }));
    const CallerAnswer answer = this->call();
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.hasHeader("Retry-After:"));
    EXPECT_LT(answer.took, absl::Milliseconds(800));
    EXPECT_EQ(this->arrivalsAt(this->firstServer()).size(), 1U);
    EXPECT_EQ(this->arrivalsAt(this->firstServer() + 1).size(), 1U);
}

TEST_P(ServerBackpressure, AServerGetsNoCallsBeforeItsRetryAfter)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    const int shedding = this->firstServer();
    this->platform().setServerBehavior(shedding, ServerBehavior::ShedWithRetryAfter);
    for (const int status : this->callFor(3 * ServingStandin::kRetryAfter))
        EXPECT_EQ(status, 200);
    // The gateway prefers the other server, known to be fast, until that one is draining.
    this->platform().setServerBehavior(shedding + 1, ServerBehavior::AnnounceDraining);
    this->callFor(2 * ServingStandin::kRetryAfter);
    const std::vector<absl::Time> times = this->arrivalsAt(shedding);
    ASSERT_GE(times.size(), 2U);
    for (std::size_t i = 1; i < times.size(); ++i)
        EXPECT_GE(times[i] - times[i - 1], ServingStandin::kRetryAfter - absl::Milliseconds(1));
}

TEST_P(ServerBackpressure, ARefusalStatesWhenAllServersTakeCallsAgain)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    for (int server = 0; server < kServersPerService; ++server)
        this->platform().setServerBehavior(this->firstServer() + server,
                                           ServerBehavior::ShedWithRetryAfter);
    this->call();
    const absl::Time pausedAt = absl::Now();
    const CallerAnswer answer = this->call();
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("servers_paused"), std::string::npos) << answer.body;
    EXPECT_LT(answer.took, absl::Milliseconds(200));
    const std::size_t at = answer.head.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    const double seconds = std::stod(answer.head.substr(at + 13));
    EXPECT_GE(absl::Now() + absl::Seconds(seconds),
              pausedAt + ServingStandin::kRetryAfter - absl::Milliseconds(300));
    EXPECT_EQ(this->arrivalsAt(this->firstServer()).size(), 1U);
    EXPECT_EQ(this->arrivalsAt(this->firstServer() + 1).size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Paths, ServerBackpressure,
                         testing::Values("/stream/a", "/act/a", "/look/a"));

} // namespace
} // namespace foxtailtally
