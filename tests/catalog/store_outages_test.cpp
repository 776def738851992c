#include "servers/catalog/store_outages.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kWatchTime = absl::Seconds(1);

StoreOutages::LostCall cutWatch()
{
    return {true, true, false, kStart, kWatchTime};
}

// A removal after a cut passed for an expired entry, and the server got requests for longer than
// the drain bound.
TEST(StoreOutages, DoesNotCountAWatchThatWasCutOff)
{
    const absl::Time cutAt = kStart + absl::Milliseconds(400);
    ASSERT_TRUE(StoreOutages::isCutWatch(cutWatch(), cutAt));
    StoreOutages outages;
    outages.onWatchCut(cutAt);
    EXPECT_TRUE(outages.isSettled(cutAt));
    outages.onAnswered(absl::InfinitePast());
    EXPECT_TRUE(outages.isSettled(cutAt + absl::Milliseconds(250)));
    EXPECT_EQ(outages.lastFailureAt(), absl::InfinitePast());
}

// The store answers a watch when its time is over; one that is cut off later, for example after a
// pause of this process, says nothing about the time in between, in which entries may have expired.
TEST(StoreOutages, TakesAWatchThatIsOverdueForAFailure)
{
    EXPECT_FALSE(StoreOutages::isCutWatch(cutWatch(), kStart + kWatchTime));
    EXPECT_FALSE(StoreOutages::isCutWatch(cutWatch(), kStart + absl::Seconds(6)));
}

TEST(StoreOutages, TakesAnyOtherLostCallForAFailure)
{
    const absl::Time now = kStart + absl::Milliseconds(400);
    StoreOutages::LostCall list = cutWatch();
    list.isWatch = false;
    EXPECT_FALSE(StoreOutages::isCutWatch(list, now));
    StoreOutages::LostCall refused = cutWatch();
    refused.isClosedByStore = false;
    EXPECT_FALSE(StoreOutages::isCutWatch(refused, now));
    StoreOutages::LostCall brokenOff = cutWatch();
    brokenOff.hasResponseBegun = true;
    EXPECT_FALSE(StoreOutages::isCutWatch(brokenOff, now));
    // A call that probes whether the store answers again does not wait.
    StoreOutages::LostCall probe = cutWatch();
    probe.watchTime = absl::ZeroDuration();
    EXPECT_FALSE(StoreOutages::isCutWatch(probe, kStart));
}

TEST(StoreOutages, CountsAFailureUntilTheSettleTimeIsOver)
{
    StoreOutages outages;
    outages.onWatchCut(kStart);
    const absl::Time failedAt = kStart + absl::Milliseconds(250);
    outages.onFailed(failedAt);
    outages.onAnswered(failedAt);
    EXPECT_FALSE(outages.isSettled(failedAt + StoreOutages::kSettleTime));
    EXPECT_TRUE(outages.isSettled(failedAt + StoreOutages::kSettleTime + absl::Milliseconds(1)));
}

// A single call at a time probes a store that fails, so only one kind sees the outage.
TEST(StoreOutages, CountsAFailureOfAnotherKindAfterTheCut)
{
    StoreOutages outages;
    outages.onWatchCut(kStart);
    const absl::Time failedAt = kStart + absl::Seconds(4);
    outages.onAnswered(failedAt);
    EXPECT_FALSE(outages.isSettled(failedAt + absl::Milliseconds(100)));
}

TEST(StoreOutages, DoesNotCountAFailureOfAnotherKindWithoutACut)
{
    StoreOutages outages;
    outages.onAnswered(kStart);
    EXPECT_TRUE(outages.isSettled(kStart));
    // A failure before the cut is over: this kind has been answered since.
    outages.onWatchCut(kStart + absl::Milliseconds(10));
    outages.onAnswered(kStart);
    EXPECT_TRUE(outages.isSettled(kStart + absl::Milliseconds(300)));
}

} // namespace
} // namespace foxtailtally
