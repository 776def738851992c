#include "servers/retry/connection_reuse.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

constexpr absl::Duration kUsual = absl::Seconds(4);
const absl::Time kNow = absl::UnixEpoch() + absl::Hours(100);

TEST(ConnectionReuse, IsNotBoundWhileNothingIsDropped)
{
    const ConnectionReuse reuse(kUsual);
    EXPECT_EQ(reuse.maxIdleTime(1, "desk", kNow), kUsual);
}

// Guards against calls that are sent again and again on connections that a server has dropped.
TEST(ConnectionReuse, KeepsBelowTheAgeAtWhichAServerDroppedAConnection)
{
    ConnectionReuse reuse(kUsual);
    reuse.onDropped(1, "desk", absl::Milliseconds(900), kNow);
    reuse.onDropped(1, "desk", absl::Milliseconds(400), kNow);
    EXPECT_LT(reuse.maxIdleTime(1, "desk", kNow), absl::Milliseconds(400));
    EXPECT_EQ(reuse.maxIdleTime(2, "desk", kNow), kUsual) << "one server tells nothing of others";
}

TEST(ConnectionReuse, BoundsAllServersOfAServiceOnceTwoHaveDroppedConnections)
{
    ConnectionReuse reuse(kUsual);
    reuse.onDropped(1, "desk", absl::Milliseconds(900), kNow);
    reuse.onDropped(2, "desk", absl::Milliseconds(400), kNow + absl::Seconds(1));
    EXPECT_LT(reuse.maxIdleTime(3, "desk", kNow + absl::Seconds(1)), absl::Milliseconds(400));
    EXPECT_EQ(reuse.maxIdleTime(4, "engine", kNow + absl::Seconds(1)), kUsual);
}

TEST(ConnectionReuse, ForgetsWhatWasDroppedLongAgo)
{
    ConnectionReuse reuse(kUsual);
    reuse.onDropped(1, "desk", absl::Milliseconds(100), kNow);
    reuse.onDropped(2, "desk", absl::Milliseconds(100), kNow);
    const absl::Time later = kNow + ConnectionReuse::kRetention;
    EXPECT_EQ(reuse.maxIdleTime(1, "desk", later), kUsual);
    EXPECT_EQ(reuse.maxIdleTime(3, "desk", later), kUsual);
    reuse.onTick(later);
    reuse.onDropped(1, "desk", absl::Milliseconds(800), later);
    EXPECT_GT(reuse.maxIdleTime(1, "desk", later), absl::Milliseconds(100));
    EXPECT_EQ(reuse.maxIdleTime(3, "desk", later), kUsual);
}

} // namespace
} // namespace foxtailtally
