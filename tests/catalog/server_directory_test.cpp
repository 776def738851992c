#include "servers/catalog/config_freshness.h"
#include "servers/catalog/server_directory.h"

#include <gtest/gtest.h>
#include <utility>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

ServerEntry entry(const std::string &id, Incarnation incarnation = 1)
{
    ServerEntry result;
    result.id = BackendServerId(id);
    result.incarnation = incarnation;
    result.service = "desk";
    result.address = "127.0.0.1:80";
    result.domain = FailureDomainId("east");
    result.slots = 4;
    return result;
}

TEST(ServerDirectory, GivesNoWorkToADrainingServer)
{
    ServerDirectory directory;
    ServerEntry leaving = entry("a");
    directory.onEntry(leaving, kStart);
    EXPECT_EQ(directory.usable("desk", kStart).size(), 1U);
    leaving.leaving = true;
    directory.onEntry(leaving, kStart);
    EXPECT_TRUE(directory.usable("desk", kStart).empty());
}

TEST(ServerDirectory, DropsARemovedServerAtOnceWhileTheStoreIsSettled)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    directory.onRemoved(BackendServerId("a"), false, kStart);
    EXPECT_TRUE(directory.usable("desk", kStart).empty());
}

// All entries expire in an outage of the store; without the grace period no server would be left.
TEST(ServerDirectory, KeepsALapsedServerForTheGraceAfterAnOutage)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    directory.onList({}, true, kStart);
    EXPECT_EQ(directory.usable("desk", kStart + absl::Seconds(1)).size(), 1U);
    const absl::Time over = kStart + directory.lapseGrace() + absl::Milliseconds(1);
    EXPECT_TRUE(directory.usable("desk", over).empty());
    directory.onTick(over);
    EXPECT_EQ(directory.size(), 0U);
}

/** Drain bounds, and the time for which the server of an expired entry may be used. */
class LapseGrace : public testing::TestWithParam<std::pair<absl::Duration, absl::Duration>>
{ };

// The grace was 1.8 s whatever the drain bound: with a shorter bound, a server that left while the
// store recovered got requests for longer than it serves them.
TEST_P(LapseGrace, EndsBeforeTheDrainBound)
{
    const auto [drainBound, grace] = GetParam();
    ServerDirectory directory(drainBound);
    directory.onEntry(entry("a"), kStart);
    directory.onRemoved(BackendServerId("a"), true, kStart);
    EXPECT_LT(directory.lapseGrace(), drainBound);
    EXPECT_EQ(directory.usable("desk", kStart + grace).size(), 1U);
    EXPECT_TRUE(directory.usable("desk", kStart + grace + absl::Milliseconds(1)).empty());
}

// Missing entries are to be treated as gone about two seconds after the recovery of the store.
INSTANTIATE_TEST_SUITE_P(
    ServerDirectory, LapseGrace,
    testing::Values(std::pair(absl::Milliseconds(500), absl::Milliseconds(300)),
                    std::pair(absl::Milliseconds(2000), absl::Milliseconds(1800)),
                    std::pair(absl::Milliseconds(5000), absl::Milliseconds(2000))));

TEST(ServerDirectory, GivesNoGraceWithADrainBoundBelowTheNoticeTime)
{
    ServerDirectory directory(absl::Milliseconds(100));
    EXPECT_EQ(directory.lapseGrace(), absl::ZeroDuration());
}

TEST(ServerDirectory, KeepsAServerThatRegistersAgainWithinTheGrace)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    directory.onList({}, true, kStart);
    directory.onEntry(entry("a"), kStart + absl::Seconds(1));
    EXPECT_EQ(directory.usable("desk", kStart + absl::Seconds(60)).size(), 1U);
}

TEST(ServerDirectory, DropsADrainingServerAlsoAfterAnOutage)
{
    ServerDirectory directory;
    ServerEntry leaving = entry("a");
    leaving.leaving = true;
    directory.onEntry(leaving, kStart);
    directory.onList({}, true, kStart);
    EXPECT_EQ(directory.size(), 0U);
}

TEST(ServerDirectory, GivesNoWorkToAnEvacuatedDomain)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    directory.evacuations().onChange(FailureDomainId("east"), true, kStart);
    EXPECT_TRUE(directory.usable("desk", kStart).empty());
    directory.evacuations().onList({}, kStart);
    EXPECT_EQ(directory.usable("desk", kStart).size(), 1U);
}

TEST(ServerDirectory, TreatsANewIncarnationAsAnotherServer)
{
    ServerDirectory directory;
    directory.onEntry(entry("a", 1), kStart);
    directory.onCold(BackendServerId("a"), absl::Seconds(9), kStart);
    directory.onEntry(entry("a", 2), kStart);
    EXPECT_FALSE(directory.isUsable(BackendServerId("a"), 1, kStart));
    EXPECT_TRUE(directory.isUsable(BackendServerId("a"), 2, kStart));
    EXPECT_EQ(directory.find(BackendServerId("a"))->coldUntil, kStart);
    EXPECT_NE(serverKey(BackendServerId("a"), 1), serverKey(BackendServerId("a"), 2));
}

TEST(ConfigFreshness, AcceptsNoKeyBeyondTheRevocationBound)
{
    ConfigFreshness freshness(absl::Seconds(5));
    EXPECT_FALSE(freshness.mayAcceptKeys(kStart));
    freshness.confirm(kStart);
    EXPECT_TRUE(freshness.mayAcceptKeys(kStart + absl::Seconds(4)));
    EXPECT_FALSE(freshness.mayAcceptKeys(kStart + absl::Seconds(5)));
    // An older confirmation that arrives late does not shorten the time.
    freshness.confirm(kStart - absl::Seconds(3));
    EXPECT_TRUE(freshness.mayAcceptKeys(kStart + absl::Seconds(4)));
}

TEST(ConfigFreshness, IsNotReadyBeforeItRefusesKeys)
{
    ConfigFreshness freshness(absl::Seconds(5));
    freshness.confirm(kStart);
    const absl::Time now = kStart + absl::Seconds(3);
    EXPECT_FALSE(freshness.isReady(now));
    EXPECT_TRUE(freshness.mayAcceptKeys(now));
}

} // namespace
} // namespace foxtailtally
