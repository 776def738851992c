#include "servers/limits/server_rate_limits.h"

#include "servers/limits/sent_requests.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST(ServerRateLimits, OnlyALaterRequestEndsALimit)
{
    ServerRateLimits limits;
    EXPECT_EQ(limits.onNotNamed(1, kNow, kNow), RateLimitChange::None);
    EXPECT_EQ(limits.onNamed(1, 2.5, kNow), RateLimitChange::Named);
    EXPECT_EQ(limits.limitOf(1), 2.5);
    EXPECT_EQ(limits.limitOf(2), std::nullopt);
    // The response to a request that was sent before the limit was named has been overtaken.
    EXPECT_EQ(limits.onNotNamed(1, kNow - absl::Milliseconds(1), kNow), RateLimitChange::None);
    EXPECT_EQ(limits.limitOf(1), 2.5);
    EXPECT_EQ(limits.onNotNamed(1, kNow + absl::Milliseconds(1), kNow), RateLimitChange::Ended);
    EXPECT_EQ(limits.limitOf(1), std::nullopt);
    EXPECT_EQ(limits.onNamed(1, 1.0, kNow + absl::Seconds(1)), RateLimitChange::Named);
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

TEST(ServerRateLimits, KeepsABoundedNumberOfServers)
{
    ServerRateLimits limits;
    for (std::size_t i = 0; i <= ServerRateLimits::kMaxServers; ++i)
        limits.onNamed(static_cast<ServerKey>(i), 1.0, kNow + absl::Milliseconds(i));
    EXPECT_EQ(limits.size(), ServerRateLimits::kMaxServers);
    EXPECT_EQ(limits.limitOf(0), std::nullopt);
    EXPECT_EQ(limits.limitOf(1), 1.0);
    limits.onTick(kNow + ServerRateLimits::kRetention + absl::Minutes(1));
    EXPECT_EQ(limits.size(), 0U);
}

TEST(ServerRateLimits, MergesNewsInAnyOrder)
{
    const LimitNews named = {1, 2.0, kNow, absl::InfinitePast()};
    const LimitNews ended = {1, 0.0, absl::InfinitePast(), kNow + absl::Seconds(1)};
    const LimitNews renamed = {1, 3.0, kNow + absl::Seconds(2), absl::InfinitePast()};
    std::vector<LimitNews> news = {named, ended, renamed};
    std::sort(news.begin(), news.end(),
              [](const auto &a, const auto &b) { return a.namedAt < b.namedAt; });
    do {
        ServerRateLimits limits;
        limits.onNews(named, kNow);
        for (const LimitNews &entry : news)
            limits.onNews(entry, kNow + absl::Seconds(3));
        EXPECT_EQ(limits.limitOf(1), 3.0);
    } while (std::next_permutation(news.begin(), news.end(), [](const auto &a, const auto &b) {
        return a.namedAt < b.namedAt;
    }));
}

TEST(ServerRateLimits, TellsOthersOfChangesOnly)
{
    ServerRateLimits limits;
    limits.onNamed(1, 2.0, kNow);
    EXPECT_EQ(limits.takeChanges().size(), 1U);
    limits.onNamed(1, 2.01, kNow + absl::Seconds(1));
    EXPECT_EQ(limits.takeChanges().size(), 0U);
    limits.onNamed(1, 3.0, kNow + absl::Seconds(2));
    EXPECT_EQ(limits.takeChanges().size(), 1U);
    limits.onNamed(1, 3.0, kNow + absl::Seconds(40));
    EXPECT_EQ(limits.takeChanges().size(), 0U);
    limits.onNotNamed(1, kNow + absl::Seconds(41), kNow + absl::Seconds(41));
    EXPECT_EQ(limits.takeChanges().size(), 1U);
}

// Guards against instances that take a limit for ended which another one has heard since.
TEST(ServerRateLimits, ContradictsAnEndThatIsOlderThanTheLimit)
{
    ServerRateLimits limits;
    limits.onNamed(1, 2.0, kNow);
    limits.takeChanges();
    limits.onNamed(1, 2.0, kNow + absl::Seconds(5));
    limits.onNews({1, 0.0, absl::InfinitePast(), kNow + absl::Seconds(4)}, kNow + absl::Seconds(5));
    EXPECT_EQ(limits.limitOf(1), 2.0);
    const std::vector<LimitNews> news = limits.takeChanges();
    ASSERT_EQ(news.size(), 1U);
    EXPECT_EQ(news.front().namedAt, kNow + absl::Seconds(5));
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
