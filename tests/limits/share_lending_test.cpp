#include "servers/limits/share_lending.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const InstanceId kSelf("a");
const InstanceId kFirst("b");
const InstanceId kSecond("c");

TEST(ShareLending, LendsNothingRightAfterTheStart)
{
    ShareLending lending(kSelf, kStart);
    lending.update(kSelf, absl::InfinitePast(), kStart + absl::Milliseconds(100));
    EXPECT_FALSE(lending.isLent());
    lending.update(kSelf, absl::InfinitePast(), kStart + ShareLending::kReclaimDelay);
    EXPECT_TRUE(lending.isLent());
}

// Guards against two aggregators that use the same share.
TEST(ShareLending, LendsToAnotherAggregatorOnlyAfterTheTermOfTheFirst)
{
    ShareLending lending(kSelf, kStart);
    absl::Time now = kStart + absl::Seconds(5);
    lending.update(kFirst, now, now);
    EXPECT_TRUE(lending.isLent());
    const absl::Time heardAt = now;
    while (now < heardAt + ShareLending::kTerm) {
        now += absl::Milliseconds(50);
        lending.update(kSecond, now, now);
        EXPECT_FALSE(lending.isLent());
    }
    now = heardAt + ShareLending::kReclaimDelay;
    lending.update(kSecond, now, now);
    EXPECT_TRUE(lending.isLent());
    // Back to the first one, with the same wait.
    lending.update(kFirst, now, now + absl::Milliseconds(50));
    EXPECT_FALSE(lending.isLent());
}

TEST(ShareLending, TakesItsShareBackFromItselfAtOnce)
{
    ShareLending lending(kSelf, kStart);
    const absl::Time now = kStart + absl::Seconds(5);
    lending.update(kSelf, absl::InfinitePast(), now);
    EXPECT_TRUE(lending.isLent());
    lending.update(kFirst, now, now + absl::Milliseconds(50));
    EXPECT_TRUE(lending.isLent());
}

} // namespace
} // namespace foxtailtally
