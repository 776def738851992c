#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <csignal>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace foxtailtally {
namespace {

/** Two of them share a failure domain. */
constexpr int kGateways = 4;
/** Shortest ApplyMs and RevokeMs of the users' deployments. */
constexpr absl::Duration kApplyBound = absl::Seconds(2);
constexpr absl::Duration kRevocationBound = absl::Seconds(5);
/** Time after which a change of the store is in force while nothing is disturbed. */
constexpr absl::Duration kCalmApplyTime = absl::Seconds(1);
constexpr absl::Duration kPollInterval = absl::Milliseconds(30);
/** Revisions that are lost in addition to those of the change under test. */
constexpr int kRevisionsLost = 10;

/** Four gateways, and a store that is restored from a copy. */
class RestoredConfig : public testing::Test
{
protected:
    RestoredConfig()
        : deployment(kGateways)
    {
        this->deployment.configure(1, {"key-1"});
        this->deployment.platform().addServer(0, "desk", "d0",
                                              this->deployment.platform().serverAddress(0));
    }

    void startAll()
    {
        for (int gateway = 0; gateway < kGateways; ++gateway)
            this->deployment.start(gateway);
        for (int gateway = 0; gateway < kGateways; ++gateway)
            ASSERT_TRUE(this->deployment.waitUntilReady(gateway)) << gateway;
        absl::SleepFor(kCalmApplyTime);
    }
    void takeCopy()
    {
        this->deployment.platform().withStore([](RestorableStore &store) { store.takeCopy(); });
    }
    /** Restores the copy and waits for the store's return. The operator does not write again what
     * the copy lacks. */
    void restore()
    {
        RestorableStore::Restore how;
        how.away = absl::Milliseconds(300);
        how.rewriteDelay = absl::InfiniteDuration();
        this->deployment.platform().withStore([&how](RestorableStore &store) {
            store.advanceTo(store.revision() + kRevisionsLost);
            store.restore(how, absl::Now());
        });
        bool isAway = true;
        while (isAway) {
            this->deployment.platform().withStore(
                [&isAway](const RestorableStore &store) { isAway = store.isAway(); });
            absl::SleepFor(absl::Milliseconds(5));
        }
    }
    int status(int gateway, const std::string &key)
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(gateway);
        request.path = "/look/a";
        request.body = "b";
        request.headers = {absl::StrCat("Attempt-Id: call-", ++this->calls), "Key: " + key,
                           "Deadline-Ms: 1500"};
        return callGateway(request).status;
    }
    std::vector<int> statuses(const std::string &key)
    {
        std::vector<int> result;
        for (int gateway = 0; gateway < kGateways; ++gateway)
            result.push_back(this->status(gateway, key));
        return result;
    }
    bool allAnswerWithin(absl::Duration limit, int status, const std::string &key)
    {
        const absl::Time end = absl::Now() + limit;
        const std::vector<int> expected(kGateways, status);
        while (this->statuses(key) != expected) {
            if (absl::Now() > end)
                return false;
            absl::SleepFor(kPollInterval);
        }
        return true;
    }

    GatewayDeployment deployment;
    int calls = 0;
};

// The next version was ignored until the store's counter had passed the lost revisions.
TEST_F(RestoredConfig, AppliesTheNextVersionInTime)
{
    this->startAll();
    this->takeCopy();
    this->deployment.configure(2, {"key-1", "key-2"});
    ASSERT_TRUE(this->allAnswerWithin(kApplyBound, 200, "key-2"));
    this->restore();
    this->deployment.configure(3, {"key-1", "key-3"});
    EXPECT_TRUE(this->allAnswerWithin(kApplyBound, 200, "key-3"));
    EXPECT_EQ(this->statuses("key-2"), std::vector<int>(kGateways, 401));
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        const std::string metrics = this->deployment.metrics(gateway);
        EXPECT_NE(metrics.find("foxtailtally_store_era{kind=\"config\"} 2\n"), std::string::npos);
        EXPECT_NE(metrics.find("foxtailtally_config_version 3\n"), std::string::npos);
    }
}

// The copy has the key that the lost version had taken away. An instance that starts meanwhile
// finds the older version at the store and the newer one at the others.
TEST_F(RestoredConfig, KeepsAKeyRevokedThatTheCopyHas)
{
    this->startAll();
    this->takeCopy();
    this->deployment.configure(2, {"key-2"});
    ASSERT_TRUE(this->allAnswerWithin(kApplyBound, 200, "key-2"));
    ASSERT_TRUE(this->allAnswerWithin(kApplyBound, 401, "key-1"));
    this->restore();
    const absl::Time restoredAt = absl::Now();
    this->deployment.process(0).signal(SIGKILL);
    ASSERT_TRUE(this->deployment.process(0).waitForEnd(kApplyBound));
    this->deployment.start(0);
    while (absl::Now() < restoredAt + kRevocationBound + kCalmApplyTime) {
        for (int gateway = 1; gateway < kGateways; ++gateway)
            ASSERT_NE(this->status(gateway, "key-1"), 200) << gateway;
        if (absl::Now() > restoredAt + kApplyBound)
            ASSERT_NE(this->status(0, "key-1"), 200);
        absl::SleepFor(kPollInterval);
    }
    // Nothing has shown that version 2 is still the newest.
    EXPECT_EQ(this->statuses("key-2"), std::vector<int>(kGateways, 503));
    this->deployment.configure(2, {"key-2"});
    EXPECT_TRUE(this->allAnswerWithin(kApplyBound, 200, "key-2"));
    EXPECT_EQ(this->statuses("key-1"), std::vector<int>(kGateways, 401));
}

} // namespace
} // namespace foxtailtally
