#include "servers/retry/stop_policy.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

// Found by a hunt: callers that kept their connections busy had requests taken almost four seconds
// after the signal, which were cut at the end.
TEST(StopPolicy, TakesNoRequestThatItMightCut)
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
