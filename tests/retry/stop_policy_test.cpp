#include "servers/retry/stop_policy.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

// Guards against requests on busy connections that were still accepted almost four seconds after
// the stop signal and then truncated when the process ended.
TEST(StopPolicy, TakesNoRequestThatItMightTruncate)
{
    StopPolicy policy(absl::Seconds(8));
    EXPECT_TRUE(policy.mayTakeRequests(kNow));
    EXPECT_FALSE(policy.isStopping());
    policy.begin(kNow);
    EXPECT_TRUE(policy.isStopping());
    EXPECT_TRUE(policy.mayTakeRequests(kNow + absl::Seconds(2)));
    EXPECT_FALSE(policy.mayTakeRequests(kNow + absl::Seconds(3)));
    EXPECT_TRUE(policy.closesIdle(kNow + absl::Seconds(3)));
    EXPECT_FALSE(policy.isOver(kNow + absl::Seconds(7)));
    EXPECT_TRUE(policy.isOver(kNow + absl::Seconds(8)));
}

TEST(StopPolicy, CountsFromTheFirstSignal)
{
    StopPolicy policy(absl::Seconds(8));
    policy.begin(kNow);
    policy.begin(kNow + absl::Seconds(5));
    EXPECT_TRUE(policy.isOver(kNow + absl::Seconds(8)));
}

} // namespace
} // namespace foxtailtally
