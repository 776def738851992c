#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace foxtailtally {
namespace {

/** The last one is in the domain of the first, and follows it or is followed by it. */
constexpr int kGateways = 4;
constexpr int kCallersPerGateway = 2;
constexpr int kServersPerService = 2;

/** Window within which the users count the requests of a server with a rate limit. */
constexpr absl::Duration kWindow = absl::Seconds(4);
/** Requirement of the users: the most requests in a window, as a multiple of what the limit allows
 * and a number of requests beyond that. */
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
/** Share of the limits of all servers that must be used while demand exceeds them. */
constexpr double kUsedShare = 0.75;
/** Time in which all instances learn of a limit. The users allow three seconds and more. */
constexpr absl::Duration kLearnTime = absl::Seconds(1);

/** Four gateways in three failure domains, with two engines and two servers of a plain service. */
class ServerLimitDeployment : public testing::Test
{
protected:
    explicit ServerLimitDeployment(std::string path)
        : path(std::move(path))
        , deployment(kGateways)
    {
        this->deployment.configure(1, {"key-1"});
        for (int index = 0; index < 2 * kServersPerService; ++index)
            this->platform().addServer(index, index < kServersPerService ? "engine" : "desk",
                                       absl::StrCat("d", index % kServersPerService),
                                       this->platform().serverAddress(index));
        for (int gateway = 0; gateway < kGateways; ++gateway)
            this->deployment.start(gateway);
    }

    ServingStandin &platform() { return this->deployment.platform(); }
    bool waitUntilReady()
    {
        for (int gateway = 0; gateway < kGateways; ++gateway) {
            if (!this->deployment.waitUntilReady(gateway))
                return false;
        }
        return true;
    }
    /** Index of the first of the two servers that serve the path. */
    int firstServer() const
    {
        const bool isEngine = this->path.starts_with("/stream") || this->path.starts_with("/long");
        return isEngine ? 0 : kServersPerService;
    }
    CallerAnswer call(int gateway)
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(gateway);
        request.path = this->path;
        const int number = ++this->calls;
        request.body = absl::StrCat("body-", number);
        request.headers = {absl::StrCat("Attempt-Id: call-", number), "Key: key-1",
                           "Deadline-Ms: 3000",
                           absl::StrCat("Token-Usage: ", this->promptTokens, ",100")};
        return callGateway(request);
    }
    /** Sends calls to all gateways for @p time. */
    void load(absl::Duration time)
    {
        const absl::Time end = absl::Now() + time;
        std::vector<std::thread> callers;
        callers.reserve(kGateways * kCallersPerGateway);
        for (int caller = 0; caller < kGateways * kCallersPerGateway; ++caller) {
            callers.emplace_back([this, caller, end] {
                while (absl::Now() < end) {
                    this->record(this->call(caller % kGateways));
                    absl::SleepFor(absl::Milliseconds(20));
                }
            });
        }
        for (std::thread &caller : callers)
            caller.join();
    }
    void record(const CallerAnswer &answer)
    {
        ++this->answers[answer.status];
        if (answer.status != 503)
            return;
        const std::lock_guard lock(this->mutex);
        this->refused.push_back(answer);
    }
    /** Most requests that @p server got in a window that began kLearnTime after it first named a
     * limit, or later. */
    std::size_t mostInWindow(int server)
    {
        const absl::Time from = this->platform().rateLimitNamedAt(server) + kLearnTime;
        const std::vector<absl::Time> times = this->platform().requestTimes(server);
        std::size_t most = 0;
        for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end();
             ++first) {
            const auto last = std::upper_bound(first, times.end(), *first + kWindow);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::string path;
    GatewayDeployment deployment;
    int promptTokens = 1000;
    std::atomic<int> calls = 0;
    std::array<std::atomic<int>, 600> answers {};
    std::mutex mutex;
    std::vector<CallerAnswer> refused;
};

class ServerLimit : public ServerLimitDeployment, public testing::WithParamInterface<const char *>
{
protected:
    ServerLimit()
        : ServerLimitDeployment(GetParam())
    { }
};

/** Prompts that need the memory of both engines. */
class ServerLimitOfLongPrompts : public ServerLimitDeployment
{
protected:
    ServerLimitOfLongPrompts()
        : ServerLimitDeployment("/long/a")
    {
        this->promptTokens = 350000;
    }
};

// Guards against a fault that users reported: servers got the full rate of calls from all instances
// although they had named a limit.
TEST_P(ServerLimit, HoldsOverAllInstances)
{
    constexpr double kLimit = 2.0;
    ASSERT_TRUE(this->waitUntilReady());
    const int limited = this->firstServer();
    this->platform().setRateLimit(limited, kLimit);
    this->load(kLearnTime + 2 * kWindow);
    ASSERT_LT(this->platform().rateLimitNamedAt(limited), absl::InfiniteFuture());
    const double allowed = kLimitFactor * kLimit * absl::ToDoubleSeconds(kWindow) + kLimitSlack;
    EXPECT_LE(static_cast<double>(this->mostInWindow(limited)), allowed);
    // The other server takes the calls.
    EXPECT_EQ(this->answers[503], 0);
    EXPECT_GT(this->answers[200], 0);
}

TEST_P(ServerLimit, CallsAreRefusedAtOnceWhenAllServersHaveReachedTheirLimit)
{
    constexpr double kLimit = 3.0;
    ASSERT_TRUE(this->waitUntilReady());
    for (int server = 0; server < kServersPerService; ++server)
        this->platform().setRateLimit(this->firstServer() + server, kLimit);
    this->load(kLearnTime + 2 * kWindow);
    const double allowed = kLimitFactor * kLimit * absl::ToDoubleSeconds(kWindow) + kLimitSlack;
    for (int server = 0; server < kServersPerService; ++server)
        EXPECT_LE(static_cast<double>(this->mostInWindow(this->firstServer() + server)), allowed);
    EXPECT_GE(this->answers[200],
              kUsedShare * kLimit * kServersPerService * absl::ToDoubleSeconds(2 * kWindow));
    EXPECT_GT(this->answers[503], 0);
    EXPECT_EQ(this->answers[502] + this->answers[504], 0);
    for (const CallerAnswer &answer : this->refused) {
        EXPECT_NE(answer.body.find("rate_limited"), std::string::npos) << answer.body;
        EXPECT_TRUE(answer.hasHeader("Retry-After:"));
        // Half of the objective is the longest that a call waits for a token.
        EXPECT_LT(answer.took, absl::Milliseconds(300));
    }
}

// Guards against permissions that outlive a pause of the process, and against two instances that
// both take themselves for the one that issues tokens.
TEST_P(ServerLimit, HoldsWhileTheIssuerIsFrozenAndKilled)
{
    constexpr double kLimit = 4.0;
    ASSERT_TRUE(this->waitUntilReady());
    const int limited = this->firstServer();
    this->platform().setRateLimit(limited, kLimit);
    std::thread faults([this] {
        absl::SleepFor(kLearnTime + absl::Seconds(1));
        for (const int issuer : {0, kGateways - 1}) {
            ChildProcess &process = this->deployment.process(issuer);
            process.signal(SIGSTOP);
            absl::SleepFor(absl::Seconds(2));
            process.signal(SIGCONT);
            absl::SleepFor(absl::Seconds(1));
            process.signal(SIGKILL);
            process.waitForEnd(absl::Seconds(5));
            this->deployment.start(issuer);
        }
    });
    this->load(kLearnTime + 2 * kWindow);
    faults.join();
    const double allowed = kLimitFactor * kLimit * absl::ToDoubleSeconds(kWindow) + kLimitSlack;
    EXPECT_LE(static_cast<double>(this->mostInWindow(limited)), allowed);
    EXPECT_GT(this->answers[200], 0);
}

// Parts for helpers and requests for reservations count like calls.
TEST_F(ServerLimitOfLongPrompts, HoldsOverAllInstances)
{
    constexpr double kLimit = 4.0;
    ASSERT_TRUE(this->waitUntilReady());
    for (int server = 0; server < kServersPerService; ++server)
        this->platform().setRateLimit(server, kLimit);
    this->load(kLearnTime + 2 * kWindow);
    const double allowed = kLimitFactor * kLimit * absl::ToDoubleSeconds(kWindow) + kLimitSlack;
    for (int server = 0; server < kServersPerService; ++server)
        EXPECT_LE(static_cast<double>(this->mostInWindow(server)), allowed);
    EXPECT_FALSE(this->platform().reservationCommands().empty());
    EXPECT_GT(this->answers[200], 0);
}

// A new incarnation at the same address has named no limit.
TEST_P(ServerLimit, EndsWithTheIncarnationOfTheServer)
{
    constexpr double kLimit = 0.2;
    ASSERT_TRUE(this->waitUntilReady());
    const int limited = this->firstServer();
    this->platform().setRateLimit(limited, kLimit);
    this->load(absl::Seconds(2));
    this->platform().setRateLimit(limited, std::nullopt);
    this->platform().setServerBehavior(limited + 1, ServerBehavior::AnnounceDraining);
    this->platform().restart(limited);
    const std::size_t before = this->platform().requestTimes(limited).size();
    this->load(absl::Seconds(2));
    EXPECT_GT(this->platform().requestTimes(limited).size(), before + 10);
}

TEST_P(ServerLimit, EndsWithAResponseThatNamesNone)
{
    constexpr double kLimit = 2.0;
    ASSERT_TRUE(this->waitUntilReady());
    const int limited = this->firstServer();
    this->platform().setRateLimit(limited, kLimit);
    this->load(absl::Seconds(2));
    this->platform().setRateLimit(limited, std::nullopt);
    this->platform().setServerBehavior(limited + 1, ServerBehavior::AnnounceDraining);
    this->load(absl::Seconds(1));
    const std::size_t before = this->platform().requestTimes(limited).size();
    this->load(absl::Seconds(2));
    EXPECT_GT(this->platform().requestTimes(limited).size(), before + 10);
}

INSTANTIATE_TEST_SUITE_P(Paths, ServerLimit, testing::Values("/stream/a", "/act/a", "/look/a"));

} // namespace
} // namespace foxtailtally
