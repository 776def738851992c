#include "servers/quarantine/trial_runs.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace foxtailtally {
namespace {

constexpr int kGateways = 3;
constexpr int kServers = 8;
constexpr absl::Duration kRestartDelay = absl::Seconds(2);
/** Shortest StableWindowMs of the users' deployments. */
constexpr absl::Duration kStableWindow = absl::Seconds(3);
/** Requirement of the users: later than kStableWindow after this crash, at most kMaxLateArrivals
 * calls with the part reach servers. */
constexpr std::size_t kDecidingCrash = 5;
constexpr int kMaxLateArrivals = 3;
constexpr double kMinServedShare = 0.95;

const std::string kDeadlyPart = "dead01";

/** A sound call, and when it was sent. */
struct SoundCall
{
    absl::Time sentAt;
    bool isServed = false;
};

/** Three gateways in three failure domains, and a part of prompts that crashes every server that
 * begins to write an answer on it. */
class DeadlyPart : public testing::Test
{
protected:
    DeadlyPart()
        : deployment(kGateways)
    {
        ServingStandin &platform = this->deployment.platform();
        this->deployment.configure(1, {"key-1"});
        for (int index = 0; index < kServers; ++index)
            platform.addServer(index, "engine", absl::StrCat("d", index % 3),
                               platform.serverAddress(index));
        platform.setPrefillTime(absl::Milliseconds(150));
        platform.setCrashingPart(kDeadlyPart, kRestartDelay);
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

    /** Sends a call that is like no other, but for the shared parts of its prompt. */
    CallerAnswer call(const std::string &sharedParts)
    {
        const int number = ++this->calls;
        CallerRequest request;
        request.address = this->deployment.callerAddress(number % kGateways);
        request.path = "/stream/a";
        request.body = absl::StrCat("call ", number);
        request.headers = {absl::StrCat("Attempt-Id: call-", number), "Key: key-1",
                           "Deadline-Ms: 2500", "Token-Usage: 1000,100",
                           absl::StrCat("Prompt-Prefix: ", sharedParts, ",",
                                        absl::Hex(number, absl::kZeroPad8), ":10")};
        return callGateway(request);
    }

    /** Runs @p task repeatedly on @p threads threads until @p end. */
    void runUntil(absl::Time end, int threads, const std::function<void(int)> &task)
    {
        std::vector<std::thread> callers;
        callers.reserve(static_cast<std::size_t>(threads));
        for (int caller = 0; caller < threads; ++caller) {
            callers.emplace_back([end, &task] {
                for (int round = 0; absl::Now() < end; ++round)
                    task(round);
            });
        }
        for (std::thread &caller : callers)
            caller.join();
    }

    /** Calls with and without the part, from the same customer and with the same other parts. */
    void sendBoth(absl::Duration time)
    {
        const absl::Time end = absl::Now() + time;
        std::thread deadly([&] {
            this->runUntil(end, 2, [&](int round) {
                this->call(round % 2 == 0 ? absl::StrCat("aa01:400,", kDeadlyPart, ":200,cc01:50")
                                          : absl::StrCat("aa01:400,", kDeadlyPart, ":200"));
                absl::SleepFor(absl::Milliseconds(150));
            });
        });
        this->runUntil(end, 6, [&](int round) {
            SoundCall sound;
            sound.sentAt = absl::Now();
            sound.isServed =
                this->call(round % 2 == 0 ? "aa01:400,bb01:200" : "aa01:400").status == 200;
            const std::lock_guard lock(this->mutex);
            this->soundCalls.push_back(sound);
        });
        deadly.join();
    }

    /** Sends sound calls only. */
    void sendSound(absl::Duration time)
    {
        this->runUntil(absl::Now() + time, 3, [&](int) {
            EXPECT_EQ(this->call("aa01:400").status, 200);
            absl::SleepFor(absl::Milliseconds(50));
        });
    }

    /** Sends calls with the deadly part until they are refused. */
    void findDeadlyPart()
    {
        const std::string parts = absl::StrCat("aa01:400,", kDeadlyPart, ":200");
        for (int round = 0; round < 5; ++round) {
            if (absl::StrContains(this->call(parts).body, "quarantined"))
                return;
            absl::SleepFor(absl::Milliseconds(1100));
        }
        ADD_FAILURE() << "the deadly part was not found";
    }

    /** The server that runs a sound call with the same first part crashes of another cause. */
    void crashServerOfSoundCall()
    {
        ServingStandin &platform = this->deployment.platform();
        platform.setPrefillTime(absl::Seconds(1));
        const std::size_t before = platform.arrivals().size();
        std::thread caller([&] { this->call("aa01:400"); });
        const absl::Time end = absl::Now() + absl::Seconds(2);
        while (platform.arrivals().size() == before && absl::Now() < end)
            absl::SleepFor(absl::Milliseconds(5));
        const std::vector<ServerArrival> arrivals = platform.arrivals();
        EXPECT_GT(arrivals.size(), before);
        if (arrivals.size() > before) {
            const std::string &server = arrivals[before].server;
            const std::size_t digits = server.find_first_of("0123456789");
            platform.restart(std::stoi(server.substr(digits)));
        }
        caller.join();
        platform.setPrefillTime(absl::Milliseconds(150));
    }

    /** Kills and starts the first @p count instances. */
    void restartInstances(int count)
    {
        for (int gateway = 0; gateway < count; ++gateway)
            this->deployment.process(gateway).signal(SIGKILL);
        for (int gateway = 0; gateway < count; ++gateway) {
            ASSERT_TRUE(this->deployment.process(gateway).waitForEnd(absl::Seconds(3)));
            this->deployment.start(gateway);
        }
        ASSERT_TRUE(this->waitUntilReady());
    }

    std::vector<absl::Time> deadlyArrivals()
    {
        std::vector<absl::Time> times;
        for (const ServerArrival &arrival : this->deployment.platform().arrivals()) {
            if (absl::StrContains(arrival.promptParts, kDeadlyPart))
                times.push_back(arrival.at);
        }
        return times;
    }

    static long later(const std::vector<absl::Time> &times, absl::Time limit)
    {
        return std::count_if(times.begin(), times.end(),
                             [limit](absl::Time time) { return time > limit; });
    }

    double servedShareAfter(absl::Time begin)
    {
        double sent = 0;
        double served = 0;
        for (const SoundCall &sound : this->soundCalls) {
            if (sound.sentAt < begin)
                continue;
            ++sent;
            served += sound.isServed ? 1 : 0;
        }
        return sent < 20 ? 0 : served / sent;
    }

    GatewayDeployment deployment;
    std::atomic<int> calls = 0;
    std::mutex mutex;
    std::vector<SoundCall> soundCalls;
};

// Guards against calls with one part of a prompt that crash server after server because no two of
// them are alike, and against refusing the sound calls that share their other parts.
TEST_F(DeadlyPart, ReachesNoServerAfterFiveCrashesAndSoundCallsAreServed)
{
    ASSERT_TRUE(this->waitUntilReady());
    this->sendBoth(absl::Seconds(11));
    const std::vector<absl::Time> crashes = this->deployment.platform().crashTimes();
    const std::vector<absl::Time> arrivals = this->deadlyArrivals();
    ASSERT_GE(crashes.size(), 3U);
    const absl::Time deciding = crashes[std::min(crashes.size(), kDecidingCrash) - 1];
    EXPECT_LE(later(arrivals, deciding + kStableWindow), kMaxLateArrivals)
        << crashes.size() << " crashes, " << arrivals.size() << " arrivals in all";
    EXPECT_GE(this->servedShareAfter(deciding + 2 * kStableWindow), kMinServedShare);
    std::cout << crashes.size() << " crashes, " << arrivals.size() << " arrivals, "
              << later(arrivals, deciding + kStableWindow) << " late\n";
}

/** Number of instances that restart after the crashes. */
class DeadlyPartBesideAnotherCrash : public DeadlyPart, public testing::WithParamInterface<int>
{ };

// Guards against refusing sound calls for an hour that share a part with the deadly one, because a
// server crashed of another cause under one of them: their part had one death more. The instances
// that restart learn of the deaths from the others, or from the store.
TEST_P(DeadlyPartBesideAnotherCrash, DoesNotHoldSoundCalls)
{
    ASSERT_TRUE(this->waitUntilReady());
    this->sendSound(kTrialTimeout);
    this->findDeadlyPart();
    const std::vector<absl::Time> crashes = this->deployment.platform().crashTimes();
    ASSERT_GE(crashes.size(), 3U);
    this->crashServerOfSoundCall();
    absl::Time servedFrom = absl::Now() + 2 * kStableWindow;
    // The deaths are stored at the next tick.
    absl::SleepFor(absl::Milliseconds(500));
    ASSERT_NO_FATAL_FAILURE(this->restartInstances(this->GetParam()));
    // Nobody knows then whether a trial is running.
    if (this->GetParam() == kGateways)
        servedFrom = absl::Now() + kTrialTimeout + kStableWindow;
    this->sendBoth(servedFrom + absl::Seconds(4) - absl::Now());
    EXPECT_GE(this->servedShareAfter(servedFrom), kMinServedShare);
    const absl::Time deciding = crashes[std::min(crashes.size(), kDecidingCrash) - 1];
    EXPECT_LE(later(this->deadlyArrivals(), deciding + kStableWindow), kMaxLateArrivals);
    EXPECT_EQ(this->call(absl::StrCat("aa01:400,", kDeadlyPart, ":200")).status, 503);
}

INSTANTIATE_TEST_SUITE_P(Restarts, DeadlyPartBesideAnotherCrash, testing::Values(0, 1, kGateways));

// Guards against refusing a part that all calls have because many servers end at the same moment.
TEST_F(DeadlyPart, IsNotThePartOfAllCallsWhenServersEndTogether)
{
    ASSERT_TRUE(this->waitUntilReady());
    std::atomic<int> quarantined = 0;
    const absl::Time end = absl::Now() + absl::Seconds(6);
    std::thread failures([&] {
        for (int round = 0; round < 3; ++round) {
            absl::SleepFor(absl::Milliseconds(1500));
            for (int index = 0; index < kServers; ++index)
                this->deployment.platform().restart(index);
        }
    });
    this->runUntil(end, 12, [&](int) {
        quarantined += absl::StrContains(this->call("aa01:400,bb01:200").body, "quarantined");
    });
    failures.join();
    EXPECT_EQ(quarantined, 0);
    EXPECT_EQ(this->call("aa01:400,bb01:200").status, 200);
}

// Instances keep no state across restarts; the store holds the crash reports.
TEST_F(DeadlyPart, IsStillRefusedAfterAllInstancesWereKilledAndRunsWhenItIsLifted)
{
    ASSERT_TRUE(this->waitUntilReady());
    this->sendBoth(absl::Seconds(5));
    ServingStandin &platform = this->deployment.platform();
    const std::size_t before = this->deadlyArrivals().size();
    ASSERT_GE(platform.crashTimes().size(), 3U);
    for (int gateway = 0; gateway < kGateways; ++gateway)
        this->deployment.process(gateway).signal(SIGKILL);
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        ASSERT_TRUE(this->deployment.process(gateway).waitForEnd(absl::Seconds(3)));
        this->deployment.start(gateway);
    }
    ASSERT_TRUE(this->waitUntilReady());
    const std::string parts = absl::StrCat("aa01:400,", kDeadlyPart, ":200");
    for (int round = 0; round < 6; ++round)
        EXPECT_EQ(this->call(parts).status, 503);
    EXPECT_EQ(this->deadlyArrivals().size(), before);

    platform.setCrashingPart("", kRestartDelay);
    for (const std::string &name : platform.objectNames("foxtailtally-deaths"))
        platform.removeObject("foxtailtally-deaths", name);
    absl::SleepFor(absl::Seconds(2));
    for (int gateway = 0; gateway < kGateways; ++gateway)
        EXPECT_EQ(this->call(parts).status, 200);
}

} // namespace
} // namespace foxtailtally
