#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"
#include "tests/process/kept_connection.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

constexpr absl::Duration kWaitLimit = absl::Seconds(20);

/** One gateway and its platform; each call has its own id. */
class GatewayProcess : public testing::Test
{
protected:
    GatewayProcess()
        : deployment(1)
    { }

    /** Stores a configuration, adds a server of each service and starts a gateway. */
    void startAll()
    {
        this->deployment.configure(1, {"key-1"});
        this->addServer(0, "engine");
        this->addServer(1, "desk");
        this->deployment.start(0);
        ASSERT_TRUE(this->deployment.waitUntilReady(0));
    }
    void addServer(int index, const std::string &service)
    {
        ServingStandin &platform = this->deployment.platform();
        platform.addServer(index, service, "d0", platform.serverAddress(index));
    }
    CallerAnswer call(const std::string &path, const std::string &body = "b",
                      const std::string &key = "key-1", int deadlineMs = 3000)
    {
        this->lastCall = absl::StrCat("call-", ++this->calls);
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = path;
        request.body = body;
        request.headers = {absl::StrCat("Attempt-Id: ", this->lastCall), "Key: " + key,
                           absl::StrCat("Deadline-Ms: ", deadlineMs), "Token-Usage: 1000,100"};
        return callGateway(request);
    }
    /** Arrivals of the latest call at any server. */
    std::vector<ServerArrival> arrivals()
    {
        std::vector<ServerArrival> result = this->deployment.platform().arrivals();
        std::erase_if(result, [this](const ServerArrival &arrival) {
            return arrival.callId != this->lastCall;
        });
        return result;
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
    std::string lastCall;
    int calls = 0;
};

TEST_F(GatewayProcess, ServesEachKindOfRoute)
{
    this->startAll();
    const CallerAnswer stream = this->call("/stream/a?x=1");
    EXPECT_EQ(stream.status, 200);
    EXPECT_TRUE(stream.isComplete);
    EXPECT_EQ(stream.body, ServingStandin::streamBody(this->lastCall));
    EXPECT_EQ(this->arrivals().at(0).path, "/stream/a?x=1");
    EXPECT_EQ(this->arrivals().at(0).customer, "customer-1");

    const CallerAnswer action = this->call("/act/b", "pay");
    EXPECT_EQ(action.body, absl::StrCat("done:", this->lastCall, ":pay"));
    EXPECT_TRUE(action.hasHeader("Response-Seal: server-1"));
    EXPECT_EQ(this->arrivals().size(), 1U);
    EXPECT_LE(this->arrivals().at(0).deadline, absl::Seconds(3));

    EXPECT_EQ(this->call("/look/c").status, 200);
}

// An instance without a configuration refuses calls with 503 and Retry-After.
TEST_F(GatewayProcess, RefusesBeforeTheFirstConfiguration)
{
    this->deployment.platform().setStoreBehavior(StoreBehavior::Refuse);
    this->deployment.start(0);
    CallerAnswer answer;
    ASSERT_TRUE(this->eventually([&] {
        answer = this->call("/act/a");
        return answer.status != 0;
    }));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.hasHeader("Retry-After:"));
    EXPECT_FALSE(this->deployment.isReady(0));

    this->deployment.configure(1, {"key-1"});
    this->addServer(1, "desk");
    this->deployment.platform().setStoreBehavior(StoreBehavior::Serve);
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    EXPECT_EQ(this->call("/act/a").status, 200);
}

TEST_F(GatewayProcess, ChecksRouteAndKeyBeforeTheBody)
{
    this->startAll();
    EXPECT_EQ(this->call("/nothing").status, 404);
    EXPECT_EQ(this->call("/act/a", "b", "stolen").status, 401);
    EXPECT_TRUE(this->arrivals().empty());
    EXPECT_EQ(this->call("/act/a", std::string(70000, 'x')).status, 413);
    EXPECT_TRUE(this->arrivals().empty());
}

TEST_F(GatewayProcess, NeverRepeatsAnActionThatMayHaveRun)
{
    this->startAll();
    this->addServer(2, "desk");
    for (const ServerBehavior behavior :
         {ServerBehavior::Disconnect, ServerBehavior::FailAfterRunning,
          ServerBehavior::TruncateBody}) {
        this->deployment.platform().setServerBehavior(1, behavior);
        this->deployment.platform().setServerBehavior(2, behavior);
        const CallerAnswer answer = this->call("/act/a");
        EXPECT_EQ(answer.status, 502) << static_cast<int>(behavior);
        EXPECT_EQ(this->arrivals().size(), 1U) << static_cast<int>(behavior);
    }
}

TEST_F(GatewayProcess, RetriesAShedActionOnAnotherServer)
{
    this->startAll();
    this->addServer(2, "desk");
    this->deployment.platform().setServerBehavior(1, ServerBehavior::Shed);
    EXPECT_TRUE(this->eventually([&] {
        const bool isServed = this->call("/act/a").status == 200;
        return isServed && this->arrivals().size() == 2;
    }));
    this->deployment.platform().setServerBehavior(2, ServerBehavior::Shed);
    const CallerAnswer refused = this->call("/act/a");
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.hasHeader("Retry-After:"));
}

TEST_F(GatewayProcess, ResumesAStreamOnAnotherServer)
{
    this->startAll();
    this->addServer(2, "engine");
    this->deployment.platform().setServerBehavior(0, ServerBehavior::DisconnectMidStream);
    bool wasResumed = false;
    for (int i = 0; i < 20; ++i) {
        const CallerAnswer answer = this->call("/stream/a");
        EXPECT_EQ(answer.body, ServingStandin::streamBody(this->lastCall));
        EXPECT_TRUE(answer.isComplete);
        wasResumed = wasResumed || this->arrivals().size() == 2;
        if (wasResumed)
            break;
    }
    EXPECT_TRUE(wasResumed);
}

TEST_F(GatewayProcess, NeverReportsABrokenStreamAsComplete)
{
    this->startAll();
    this->deployment.platform().setServerBehavior(0, ServerBehavior::DisconnectMidStream);
    const CallerAnswer answer = this->call("/stream/a", "b", "key-1", 1500);
    EXPECT_FALSE(answer.status == 200 && answer.isComplete
                 && answer.body != ServingStandin::streamBody(this->lastCall));
}

// Guards against a response over the limit that is truncated and forwarded as if it were complete.
TEST_F(GatewayProcess, ForwardsNoPartOfAResponseOverTheLimit)
{
    this->startAll();
    this->deployment.platform().setServerBehavior(1, ServerBehavior::Oversized);
    const CallerAnswer answer = this->call("/act/a");
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(this->arrivals().size(), 1U);
}

TEST_F(GatewayProcess, AnswersInTimeWhenAServerIsSilent)
{
    this->startAll();
    this->deployment.platform().setServerBehavior(1, ServerBehavior::NoResponse);
    const CallerAnswer action = this->call("/act/a", "b", "key-1", 1200);
    EXPECT_EQ(action.status, 504);
    EXPECT_EQ(this->arrivals().size(), 1U);
}

TEST_F(GatewayProcess, RefusesKeysThatItCannotConfirm)
{
    this->startAll();
    EXPECT_EQ(this->call("/act/a").status, 200);
    this->deployment.platform().setStoreBehavior(StoreBehavior::NoResponse);
    CallerAnswer answer;
    ASSERT_TRUE(this->eventually([&] {
        answer = this->call("/act/a");
        return answer.status != 200;
    }));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.hasHeader("Retry-After:"));
    this->deployment.platform().setStoreBehavior(StoreBehavior::Serve);
    EXPECT_TRUE(this->eventually([&] { return this->call("/act/a").status == 200; }));
}

TEST_F(GatewayProcess, AppliesNewConfigurations)
{
    this->startAll();
    EXPECT_EQ(this->call("/act/a", "b", "key-2").status, 401);
    this->deployment.configure(2, {"key-2"});
    EXPECT_TRUE(this->eventually([&] { return this->call("/act/a", "b", "key-2").status == 200; }));
    EXPECT_EQ(this->call("/act/a", "b", "key-1").status, 401);
    // A version older than the current one is ignored.
    this->deployment.configure(1, {"key-1"});
    absl::SleepFor(absl::Milliseconds(300));
    EXPECT_EQ(this->call("/act/a", "b", "key-1").status, 401);
}

// Guards against a fault: a connection kept the limits of the configuration that was in force when
// it was accepted, so requests that a newer one allows were refused, and idle ones closed too
// early.
TEST_F(GatewayProcess, AppliesNewLimitsToOpenConnections)
{
    this->startAll();
    KeptConnection kept(this->deployment.callerAddress(0));
    CallerRequest request;
    request.path = "/act/a";
    request.body = "small";
    request.headers = {"Attempt-Id: small", "Key: key-1", "Deadline-Ms: 3000"};
    ASSERT_EQ(kept.call(request).status, 200);
    this->deployment.configure(2, {"key-1"}, 154000.0, 131072);
    const std::string large(100000, 'x');
    ASSERT_TRUE(this->eventually([&] { return this->call("/act/a", large).status == 200; }));
    absl::SleepFor(absl::Milliseconds(300));
    request.body = large;
    request.headers.front() = "Attempt-Id: large";
    EXPECT_EQ(kept.call(request).status, 200);
}

TEST_F(GatewayProcess, StopsGracefully)
{
    this->startAll();
    this->deployment.process(0).signal(SIGTERM);
    EXPECT_TRUE(this->eventually([&] { return !this->deployment.isReady(0); }));
    ASSERT_TRUE(this->deployment.process(0).waitForEnd(kWaitLimit));
    EXPECT_EQ(this->deployment.process(0).exitCode(), 0);
    EXPECT_EQ(this->call("/act/a").status, 0);
    this->deployment.start(0);
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    EXPECT_EQ(this->call("/act/a").status, 200);
}

} // namespace
} // namespace foxtailtally
