#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace foxtailtally {
namespace {

constexpr int kGateways = 3;
constexpr int kServers = 3;
constexpr int kRemovals = 2;
/** Time after which a change of the store is in force while nothing is disturbed. */
constexpr absl::Duration kCalmApplyTime = absl::Seconds(1);
/** The watches are cut off this long before an entry is removed. */
constexpr absl::Duration kCutBefore = absl::Milliseconds(40);
/** DrainMs of the users' deployments. */
constexpr absl::Duration kDrainBound = absl::Seconds(2);
constexpr absl::Duration kOutage = absl::Milliseconds(700);
/** The store is called at least once a second after a failure. */
constexpr absl::Duration kReadAgainWithin = absl::Milliseconds(1200);
constexpr absl::Duration kCallInterval = absl::Milliseconds(20);
const std::string kKey = "key-1";
const std::string kServerKind(platform::kServerKind);

/** Gateways under load, and a store that cuts off watches. */
class CutWatch : public testing::Test
{
public:
    ~CutWatch() override
    {
        this->isStopping = true;
        for (std::thread &caller : this->callers)
            caller.join();
    }

protected:
    CutWatch()
        : deployment(kGateways)
    {
        this->deployment.configure(1, {kKey});
        for (int index = 0; index < kServers; ++index)
            this->deployment.platform().addServer(index, "desk", absl::StrCat("d", index),
                                                  this->deployment.platform().serverAddress(index));
    }
    void startAll()
    {
        for (int gateway = 0; gateway < kGateways; ++gateway)
            this->deployment.start(gateway);
        for (int gateway = 0; gateway < kGateways; ++gateway) {
            ASSERT_TRUE(this->deployment.waitUntilReady(gateway)) << gateway;
            this->callers.emplace_back([this, gateway] { this->runCaller(gateway); });
        }
        absl::SleepFor(kCalmApplyTime);
    }
    void cutWatches()
    {
        this->deployment.platform().withStore([](RestorableStore &store) { store.cutWatches(); });
    }
    long arrivalsAfter(absl::Time begin, int index)
    {
        const std::vector<ServerArrival> arrivals = this->deployment.platform().arrivals();
        return std::count_if(arrivals.begin(), arrivals.end(), [&](const ServerArrival &arrival) {
            return arrival.at > begin && arrival.server == ServingStandin::serverName(index);
        });
    }

    GatewayDeployment deployment;
    std::atomic<int> unserved = 0;

private:
    void runCaller(int gateway)
    {
        for (int number = 0; !this->isStopping; ++number) {
            CallerRequest request;
            request.address = this->deployment.callerAddress(gateway);
            request.path = "/look/a";
            request.body = "b";
            request.headers = {absl::StrCat("Attempt-Id: call-", gateway, "-", number),
                               "Key: " + kKey, "Deadline-Ms: 1500"};
            if (callGateway(request).status != 200)
                ++this->unserved;
            absl::SleepFor(kCallInterval);
        }
    }

    std::atomic<bool> isStopping = false;
    std::vector<std::thread> callers;
};

// The removal passed for an entry that had expired in an outage of the store: the server got
// requests for 1.8 s from the moment at which the removal was seen, up to 2.12 s after it.
TEST_F(CutWatch, DoesNotDelayTheRemovalOfAServer)
{
    this->startAll();
    for (int index = 0; index < kRemovals; ++index) {
        ASSERT_GT(this->arrivalsAfter(absl::InfinitePast(), index), 0);
        this->cutWatches();
        absl::SleepFor(kCutBefore);
        this->deployment.platform().removeObject(kServerKind, ServingStandin::serverName(index));
        const absl::Time removed = absl::Now();
        absl::SleepFor(kDrainBound + kCalmApplyTime);
        EXPECT_EQ(this->arrivalsAfter(removed + kCalmApplyTime, index), 0) << index;
    }
    EXPECT_EQ(this->unserved, 0);
}

/** Values of DrainMs. */
class ExpiryInAnOutage : public CutWatch, public testing::WithParamInterface<absl::Duration>
{ };

// The server of an expired entry got requests for 1.8 s whatever DrainMs was.
TEST_P(ExpiryInAnOutage, LeavesTheServerInUseForLessThanTheDrainBound)
{
    const absl::Duration drainBound = GetParam();
    this->deployment.setExtraSettings(
        absl::StrCat("[servers]\ndrain_bound = ", absl::ToInt64Milliseconds(drainBound), " ms\n"));
    this->startAll();
    this->deployment.platform().setStoreBehavior(StoreBehavior::Refuse);
    this->cutWatches();
    absl::SleepFor(kOutage);
    this->deployment.platform().removeObject(kServerKind, ServingStandin::serverName(0));
    this->deployment.platform().setStoreBehavior(StoreBehavior::Serve);
    const absl::Time back = absl::Now();
    absl::SleepFor(kReadAgainWithin + std::max(drainBound, kDrainBound));
    EXPECT_EQ(this->arrivalsAfter(back + kReadAgainWithin + drainBound, 0), 0);
    if (drainBound >= kDrainBound)
        EXPECT_GT(this->arrivalsAfter(back + kReadAgainWithin, 0), 0);
}

INSTANTIATE_TEST_SUITE_P(DrainBounds, ExpiryInAnOutage,
                         testing::Values(absl::Milliseconds(500), absl::Milliseconds(2000),
                                         absl::Milliseconds(5000)));

} // namespace
} // namespace foxtailtally
