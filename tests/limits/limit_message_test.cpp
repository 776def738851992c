#include "peers/instance/limit_message.h"

#include "core/random.h"
#include "peers/instance/wire_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

LimitEnvelope sampleEnvelope(int elements)
{
    LimitEnvelope envelope;
    envelope.news.isFromAggregator = true;
    envelope.news.domainInstances = 59;
    for (int i = 0; i < elements; ++i) {
        const auto number = static_cast<std::uint32_t>(i);
        envelope.news.news.push_back(
            {number, 1.5 + i, kNow - absl::Milliseconds(250), absl::InfinitePast()});
        TokenClaim claim;
        claim.id = 0x123456789abcdef0ULL + number;
        claim.kind = static_cast<ClaimKind>(i % 3);
        claim.replyAddress = "10.1.2.3:7340";
        claim.servers = {number, number + 1};
        claim.worth = 21.5F;
        claim.patience = absl::Milliseconds(150);
        claim.stamp = 77 + number;
        claim.isRelayed = i % 2 == 0;
        envelope.claims.push_back(claim);
        envelope.replies.push_back({claim.id, static_cast<ClaimAnswer>(i % 3), number,
                                    absl::Milliseconds(400), claim.stamp});
    }
    return envelope;
}

TEST(LimitMessage, CarriesNewsClaimsAndReplies)
{
    const LimitEnvelope sent = sampleEnvelope(3);
    const std::vector<std::string> datagrams = encodeLimitEnvelope(sent, kNow);
    ASSERT_EQ(datagrams.size(), 1U);
    EXPECT_TRUE(isLimitDatagram(datagrams.front()));
    const absl::Time later = kNow + absl::Seconds(5);
    const Result<LimitEnvelope> got = decodeLimitEnvelope(datagrams.front(), later);
    ASSERT_TRUE(got.ok());
    EXPECT_TRUE(got->news.isFromAggregator);
    EXPECT_EQ(got->news.domainInstances, 59);
    ASSERT_EQ(got->news.news.size(), 3U);
    EXPECT_EQ(got->news.news[1].server, 1U);
    EXPECT_EQ(got->news.news[1].requestsPerSecond, 2.5);
    EXPECT_EQ(got->news.news[1].namedAt, later - absl::Milliseconds(250));
    EXPECT_EQ(got->news.news[1].endedAt, absl::InfinitePast());
    ASSERT_EQ(got->claims.size(), 3U);
    EXPECT_EQ(got->claims[2].id, sent.claims[2].id);
    EXPECT_EQ(got->claims[2].kind, ClaimKind::Return);
    EXPECT_EQ(got->claims[2].replyAddress, "10.1.2.3:7340");
    EXPECT_EQ(got->claims[2].servers, sent.claims[2].servers);
    EXPECT_EQ(got->claims[2].worth, 21.5F);
    EXPECT_EQ(got->claims[2].patience, absl::Milliseconds(150));
    EXPECT_EQ(got->claims[2].stamp, 79U);
    EXPECT_TRUE(got->claims[2].isRelayed);
    EXPECT_FALSE(got->claims[1].isRelayed);
    ASSERT_EQ(got->replies.size(), 3U);
    EXPECT_EQ(got->replies[1].answer, ClaimAnswer::Queued);
    EXPECT_EQ(got->replies[1].wait, absl::Milliseconds(400));
}

TEST(LimitMessage, AnEndIsTakenToBeEarlierThanItsAgeSays)
{
    LimitEnvelope sent;
    sent.news.news.push_back({1, 2.0, kNow - absl::Seconds(2), kNow - absl::Seconds(1)});
    const Result<LimitEnvelope> got =
        decodeLimitEnvelope(encodeLimitEnvelope(sent, kNow).front(), kNow);
    ASSERT_TRUE(got.ok());
    EXPECT_LT(got->news.news.front().endedAt, kNow - absl::Seconds(1));
    EXPECT_GT(got->news.news.front().endedAt, got->news.news.front().namedAt);
}

TEST(LimitMessage, SplitsWhatDoesNotFitIntoADatagram)
{
    const LimitEnvelope sent = sampleEnvelope(300);
    std::size_t news = 0;
    std::size_t claims = 0;
    std::size_t replies = 0;
    for (const std::string &datagram : encodeLimitEnvelope(sent, kNow)) {
        EXPECT_LE(datagram.size(), kMaxDatagram);
        const Result<LimitEnvelope> got = decodeLimitEnvelope(datagram, kNow);
        ASSERT_TRUE(got.ok());
        news += got->news.news.size();
        claims += got->claims.size();
        replies += got->replies.size();
    }
    EXPECT_EQ(news, 300U);
    EXPECT_EQ(claims, 300U);
    EXPECT_EQ(replies, 300U);
}

TEST(LimitMessage, NothingIsSentWithoutContent)
{
    EXPECT_TRUE(encodeLimitEnvelope({}, kNow).empty());
    EXPECT_FALSE(isLimitDatagram({}));
}

// Damaged datagrams are rejected or decoded, but neither crash nor allocate without bound.
RC_GTEST_PROP(LimitMessage, SurvivesDamagedDatagrams, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::string datagram = encodeLimitEnvelope(sampleEnvelope(5), kNow).front();
    for (std::uint64_t i = random.below(8); i > 0; --i)
        datagram[random.below(datagram.size())] = static_cast<char>(random.below(256));
    datagram.resize(random.below(datagram.size() + 1));
    const Result<LimitEnvelope> got = decodeLimitEnvelope(datagram, kNow);
    if (!got.ok())
        return;
    for (const TokenClaim &claim : got->claims)
        RC_ASSERT(!claim.servers.empty());
    for (const LimitNews &news : got->news.news)
        RC_ASSERT(news.requestsPerSecond >= 0);
}

} // namespace
} // namespace foxtailtally
