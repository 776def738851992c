#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace foxtailtally {
namespace {

constexpr int kGateways = 6;
constexpr int kCallersPerGateway = 3;
constexpr int kColdServer = 2;
/** ColdPerS of the service, and the bounds of the users' rule. */
constexpr double kColdPerSecond = 14;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr absl::Duration kColdTime = absl::Seconds(3);
constexpr absl::Duration kCallInterval = absl::Milliseconds(100);
const std::string kKey = "key-1";

/** Six gateways under load. The other servers of a plain service leave when one comes back cold, so
 * that it is the only one for all calls. */
class ColdServer : public testing::Test
{
public:
    ~ColdServer() override
    {
        this->isStopping = true;
        for (std::thread &caller : this->callers)
            caller.join();
    }

protected:
    ColdServer()
        : deployment(kGateways)
    {
        this->deployment.setExtraSettings(
            absl::StrCat("[cold]\nfactor = ", kColdOver, "\nslack = ", kColdSlack, "\n"));
        this->deployment.setColdRate(kColdPerSecond);
        this->deployment.configure(1, {kKey});
        for (int index = 0; index < kColdServer; ++index)
            this->addServer(index, absl::ZeroDuration());
        for (int gateway = 0; gateway < kGateways; ++gateway)
            this->deployment.start(gateway);
    }
    void addServer(int index, absl::Duration coldFor)
    {
        this->deployment.platform().addServer(index, "desk", absl::StrCat("d", index % 3),
                                              this->deployment.platform().serverAddress(index),
                                              coldFor);
    }
    void replaceServers()
    {
        this->addServer(kColdServer, kColdTime);
        for (int index = 0; index < kColdServer; ++index)
            this->deployment.platform().removeObject(std::string(platform::kServerKind),
                                                     ServingStandin::serverName(index));
    }
    void startLoad()
    {
        for (int gateway = 0; gateway < kGateways; ++gateway)
            ASSERT_TRUE(this->deployment.waitUntilReady(gateway)) << gateway;
        for (int caller = 0; caller < kGateways * kCallersPerGateway; ++caller)
            this->callers.emplace_back([this, caller] { this->runCaller(caller); });
        absl::SleepFor(absl::Seconds(3));
    }
    /** Most requests that the cold server got in one second before @p end. */
    long mostInOneSecond(absl::Time end)
    {
        std::vector<absl::Time> times = this->deployment.platform().requestTimes(kColdServer);
        std::erase_if(times, [end](absl::Time at) { return at >= end; });
        long most = 0;
        for (auto first = times.begin(); first != times.end(); ++first)
            most = std::max<long>(
                most, std::upper_bound(first, times.end(), *first + absl::Seconds(1)) - first);
        return most;
    }
    std::size_t requestsBefore(absl::Time end)
    {
        const std::vector<absl::Time> times = this->deployment.platform().requestTimes(kColdServer);
        return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), end)
                                        - times.begin());
    }

    GatewayDeployment deployment;

private:
    void runCaller(int caller)
    {
        for (int number = 0; !this->isStopping; ++number) {
            CallerRequest request;
            request.address = this->deployment.callerAddress(caller % kGateways);
            request.path = "/look/a";
            request.body = "b";
            request.headers = {absl::StrCat("Attempt-Id: call-", caller, "-", number),
                               "Key: " + kKey, "Deadline-Ms: 1500"};
            callGateway(request);
            absl::SleepFor(kCallInterval);
        }
    }

    std::atomic<bool> isStopping = false;
    std::vector<std::thread> callers;
};

// Each instance kept the cold rate by itself: together they sent 42 requests in a second, 26 are
// allowed.
TEST_F(ColdServer, GetsNoMoreThanItsRateFromAllInstancesTogether)
{
    this->startLoad();
    const absl::Time warmAt = absl::Now() + kColdTime;
    this->replaceServers();
    absl::SleepFor(kColdTime);
    EXPECT_LE(this->mostInOneSecond(warmAt), kColdPerSecond * kColdOver + kColdSlack);
    EXPECT_GE(this->requestsBefore(warmAt), kColdPerSecond);
}

// A new issuer of the server's tokens must not issue again what the lost one has issued.
TEST_F(ColdServer, GetsNoMoreThanItsRateWhenAnInstanceOfItsDomainIsLost)
{
    this->startLoad();
    const absl::Time warmAt = absl::Now() + kColdTime;
    this->replaceServers();
    absl::SleepFor(kColdTime / 3);
    // One of the two instances of the domain issues the tokens.
    this->deployment.process(kColdServer).signal(SIGKILL);
    absl::SleepFor(kColdTime * 2 / 3);
    EXPECT_LE(this->mostInOneSecond(warmAt), kColdPerSecond * kColdOver + kColdSlack);
}

} // namespace
} // namespace foxtailtally
