#include "servers/quarantine/trial_schedule.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace foxtailtally {
namespace {

constexpr int kGateways = 3;
constexpr int kServersPerService = 5;
/** Time after which a crashed server is started again. */
constexpr absl::Duration kRestartDelay = absl::Seconds(1);
/** Interval at which callers send the same call. */
constexpr absl::Duration kSendInterval = absl::Milliseconds(100);
/** Requirement of the users: later than this after the third crash, at most kMaxLateArrivals more
 * copies of the call reach servers. */
constexpr absl::Duration kPropagationLimit = absl::Seconds(3);
constexpr int kMaxLateArrivals = 3;

const std::string kCrashingBody = "crashes whoever runs it";

/** Zero without the header. */
absl::Duration retryAfterOf(const CallerAnswer &answer)
{
    const std::string name = "\r\nRetry-After: ";
    const std::size_t at = answer.head.find(name);
    double seconds = 0;
    if (at == std::string::npos)
        return absl::ZeroDuration();
    const std::size_t begin = at + name.size();
    EXPECT_TRUE(absl::SimpleAtod(answer.head.substr(begin, answer.head.find('\r', begin) - begin),
                                 &seconds));
    return absl::Seconds(seconds);
}

/** Three gateways in three failure domains, and a call that crashes every server that runs it. */
class CrashingCall : public testing::Test
{
protected:
    CrashingCall()
        : deployment(kGateways)
    {
        ServingStandin &platform = this->deployment.platform();
        this->deployment.configure(1, {"key-1"});
        for (int index = 0; index < 2 * kServersPerService; ++index)
            platform.addServer(index, index < kServersPerService ? "engine" : "desk",
                               absl::StrCat("d", index % 3), platform.serverAddress(index));
        platform.setCrashingBody(kCrashingBody, kRestartDelay);
        for (int gateway = 0; gateway < kGateways; ++gateway)
            this->deployment.start(gateway);
    }

    bool waitUntilReady()
    {
        for (int gateway = 0; gateway < kGateways; ++gateway) {
            if (!this->deployment.waitUntilReady(gateway))
                return false;
        }
        return true;
    }
    CallerAnswer call(int gateway, const std::string &path, const std::string &body)
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(gateway);
        request.path = path;
        request.body = body;
        request.headers = {absl::StrCat("Attempt-Id: call-", ++this->calls), "Key: key-1",
                           "Deadline-Ms: 1500", "Token-Usage: 1000,100"};
        return callGateway(request);
    }
    /** Sends the call repeatedly for @p time, each time to the next gateway. */
    void sendRepeatedly(absl::Duration time, const std::string &path)
    {
        const absl::Time end = absl::Now() + time;
        while (absl::Now() < end) {
            this->call(this->calls % kGateways, path, kCrashingBody);
            absl::SleepFor(kSendInterval);
        }
    }
    /** Times at which the call reached servers, in ascending order. */
    std::vector<absl::Time> arrivals()
    {
        std::vector<absl::Time> times;
        for (const ServerArrival &arrival : this->deployment.platform().arrivals()) {
            if (arrival.body == kCrashingBody)
                times.push_back(arrival.at);
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    void expectFewArrivals(const std::string &path)
    {
        ASSERT_TRUE(this->waitUntilReady());
        this->sendRepeatedly(absl::Seconds(7), path);
        const std::vector<absl::Time> times = this->arrivals();
        ASSERT_GE(times.size(), 3U);
        const auto late = std::count_if(times.begin(), times.end(), [&](absl::Time time) {
            return time > times[2] + kPropagationLimit;
        });
        EXPECT_LE(late, kMaxLateArrivals) << times.size() << " arrivals in all";
    }

    GatewayDeployment deployment;
    std::atomic<int> calls = 0;
};

// Guards against a fault that users reported: a call was sent to further servers again and again
// after three had crashed on it.
TEST_F(CrashingCall, IsNotSentAgainAfterThreeServersCrashOnAStream)
{
    this->expectFewArrivals("/stream/a");
}

TEST_F(CrashingCall, IsNotSentAgainAfterThreeServersCrashOnAnAction)
{
    this->expectFewArrivals("/act/a");
}

TEST_F(CrashingCall, IsNotSentAgainAfterThreeServersCrashOnALookup)
{
    this->expectFewArrivals("/look/a");
}

// A starting instance has no quarantine state; it must learn it from the others before callers can
// send it the call.
TEST_F(CrashingCall, IsRefusedByAnInstanceThatStartsLater)
{
    ASSERT_TRUE(this->waitUntilReady());
    this->sendRepeatedly(absl::Seconds(1), "/act/a");
    const std::size_t before = this->arrivals().size();
    ASSERT_GE(before, 3U);
    this->deployment.process(2).signal(SIGKILL);
    ASSERT_TRUE(this->deployment.process(2).waitForEnd(kPropagationLimit));
    this->deployment.start(2);
    ASSERT_TRUE(this->deployment.waitUntilReady(2));
    absl::SleepFor(absl::Seconds(1));
    const CallerAnswer answer = this->call(2, "/act/a", kCrashingBody);
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("\"quarantined\""), std::string::npos);
    // Until the trial of the call.
    const absl::Duration retryAfter = retryAfterOf(answer);
    EXPECT_GT(retryAfter, kLateTrialDelay - absl::Seconds(8));
    EXPECT_LE(retryAfter, kLateTrialDelay);
    EXPECT_NE(answer.body.find("\"not_run\":true"), std::string::npos);
    EXPECT_EQ(this->arrivals().size(), before);
}

// Instances keep no state across restarts; the store holds the crash reports, so the quarantine
// survives the loss of all instances.
TEST_F(CrashingCall, IsStillRefusedAfterAllInstancesWereKilled)
{
    ASSERT_TRUE(this->waitUntilReady());
    this->sendRepeatedly(absl::Seconds(2), "/act/a");
    const std::size_t before = this->arrivals().size();
    ASSERT_GE(before, 3U);
    for (int gateway = 0; gateway < kGateways; ++gateway)
        this->deployment.process(gateway).signal(SIGKILL);
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        ASSERT_TRUE(this->deployment.process(gateway).waitForEnd(kPropagationLimit));
        this->deployment.start(gateway);
    }
    ASSERT_TRUE(this->waitUntilReady());
    this->sendRepeatedly(absl::Seconds(2), "/act/a");
    EXPECT_EQ(this->arrivals().size(), before);
}

// An operator lifts the quarantine of a call by removing its crash reports from the store.
TEST_F(CrashingCall, RunsAgainAfterItsCrashReportsAreRemoved)
{
    ASSERT_TRUE(this->waitUntilReady());
    this->sendRepeatedly(absl::Seconds(2), "/act/a");
    EXPECT_EQ(this->call(0, "/act/a", kCrashingBody).status, 503);
    ServingStandin &platform = this->deployment.platform();
    platform.setCrashingBody("", kRestartDelay);
    const std::vector<std::string> names = platform.objectNames("foxtailtally-deaths");
    EXPECT_EQ(names.size(), 3U);
    for (const std::string &name : names)
        platform.removeObject("foxtailtally-deaths", name);
    absl::SleepFor(absl::Seconds(2));
    for (int gateway = 0; gateway < kGateways; ++gateway)
        EXPECT_EQ(this->call(gateway, "/act/a", kCrashingBody).status, 200);
}

// Guards against a fault: calls that had run concurrently with the crashing call were sent after it
// to the same servers, and were quarantined in its place.
TEST_F(CrashingCall, DoesNotQuarantineConcurrentCalls)
{
    constexpr int kRounds = 3;
    constexpr int kConcurrentCalls = 12;
    ASSERT_TRUE(this->waitUntilReady());
    ServingStandin &platform = this->deployment.platform();
    platform.setPrefillTime(absl::Milliseconds(250));
    std::atomic<int> quarantined = 0;
    for (int round = 0; round < kRounds; ++round) {
        const std::string culprit = absl::StrCat("culprit-", round);
        platform.setCrashingBody(culprit, kRestartDelay);
        std::vector<std::thread> callers;
        for (int caller = 0; caller < kConcurrentCalls; ++caller) {
            callers.emplace_back([&, body = absl::StrCat("beside-", round, "-", caller)] {
                const CallerAnswer answer = this->call(0, "/stream/a", body);
                quarantined += answer.body.find("quarantined") != std::string::npos ? 1 : 0;
            });
        }
        absl::SleepFor(absl::Milliseconds(100));
        this->call(0, "/stream/a", culprit);
        for (std::thread &caller : callers)
            caller.join();
        for (int caller = 0; caller < kConcurrentCalls; ++caller) {
            const std::string body = absl::StrCat("beside-", round, "-", caller);
            const CallerAnswer answer = this->call(0, "/stream/a", body);
            quarantined += answer.body.find("quarantined") != std::string::npos ? 1 : 0;
        }
    }
    EXPECT_LE(quarantined, kRounds * kConcurrentCalls / 20);
}

} // namespace
} // namespace foxtailtally
