#include "servers/limits/server_rate_limits.h"

#include "servers/limits/sent_requests.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST(ServerRateLimits, OnlyALaterRequestEndsALimit)
{
    ServerRateLimits limits;
    EXPECT_EQ(limits.onNotNamed(1, kNow), RateLimitChange::None);
    EXPECT_EQ(limits.onNamed(1, 2.5, kNow), RateLimitChange::Named);
    EXPECT_EQ(limits.limitOf(1), 2.5);
    EXPECT_EQ(limits.limitOf(2), std::nullopt);
    // The response to a request that was sent before the limit was named has been overtaken.
    EXPECT_EQ(limits.onNotNamed(1, kNow - absl::Milliseconds(1)), RateLimitChange::None);
    EXPECT_EQ(limits.limitOf(1), 2.5);
    EXPECT_EQ(limits.onNotNamed(1, kNow + absl::Milliseconds(1)), RateLimitChange::Ended);
    EXPECT_EQ(limits.limitOf(1), std::nullopt);
}

TEST(ServerRateLimits, ReportsAChangingLimitOnceASecond)
{
    ServerRateLimits limits;
    limits.onNamed(1, 2.0, kNow);
    EXPECT_EQ(limits.onNamed(1, 2.0, kNow + absl::Seconds(2)), RateLimitChange::None);
    EXPECT_EQ(limits.onNamed(1, 3.0, kNow + absl::Seconds(2)), RateLimitChange::Changed);
    EXPECT_EQ(limits.onNamed(1, 4.0, kNow + absl::Milliseconds(2900)), RateLimitChange::None);
    EXPECT_EQ(limits.limitOf(1), 4.0);
    EXPECT_EQ(limits.onNamed(1, 4.0, kNow + absl::Seconds(3)), RateLimitChange::Changed);
}

TEST(ServerRateLimits, KeepsABoundedNumberOfLimits)
{
    ServerRateLimits limits;
    for (std::size_t i = 0; i <= ServerRateLimits::kMaxLimits; ++i)
        limits.onNamed(static_cast<ServerKey>(i), 1.0, kNow + absl::Milliseconds(i));
    EXPECT_EQ(limits.size(), ServerRateLimits::kMaxLimits);
    EXPECT_EQ(limits.limitOf(0), std::nullopt);
    EXPECT_EQ(limits.limitOf(1), 1.0);
    limits.onTick(kNow + ServerRateLimits::kRetention + absl::Minutes(1));
    EXPECT_EQ(limits.size(), 0U);
}

TEST(SentRequests, CountsTheLastFourSecondsByKind)
{
    SentRequests sent;
    EXPECT_EQ(sent.total(kNow), 0);
    sent.add(RequestKind::Call, kNow);
    sent.add(RequestKind::Call, kNow + absl::Seconds(2));
    sent.add(RequestKind::Reservation, kNow + absl::Seconds(3));
    EXPECT_EQ(sent.count(RequestKind::Call, kNow + absl::Seconds(3)), 2);
    EXPECT_EQ(sent.count(RequestKind::PrefillPart, kNow + absl::Seconds(3)), 0);
    EXPECT_EQ(sent.total(kNow + absl::Seconds(3)), 3);
    EXPECT_EQ(sent.total(kNow + absl::Seconds(4)), 2);
    EXPECT_EQ(sent.total(kNow + absl::Minutes(1)), 0);
}

} // namespace
} // namespace foxtailtally
