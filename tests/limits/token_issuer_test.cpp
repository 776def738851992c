#include "servers/limits/token_issuer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <span>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const std::string kClaimant = "10.0.0.1:7340";

TokenClaim claimOf(ClaimId id, std::vector<ServerKey> servers, float worth,
                   absl::Duration patience = absl::Seconds(1))
{
    TokenClaim claim;
    claim.id = id;
    claim.replyAddress = kClaimant;
    claim.servers = std::move(servers);
    claim.worth = worth;
    claim.patience = patience;
    claim.stamp = static_cast<std::uint32_t>(id);
    return claim;
}

class TokenIssuerTest : public testing::Test
{
protected:
    void limit(std::vector<ServerLimit> limits, double share = 1.0)
    {
        this->issuer.setShare(share, this->now);
        this->issuer.setLimits(limits, this->now);
    }
    /** Answer to the claim; a claim that is queued is answered when it is repeated. */
    ClaimAnswer claim(const TokenClaim &claim)
    {
        this->replies = this->issuer.onClaim(claim, this->now);
        if (this->replies.empty())
            this->replies = this->issuer.onClaim(claim, this->now);
        return this->replies.back().reply.answer;
    }
    /** Ids of the claims that are granted within @p time. */
    std::vector<ClaimId> grantedWithin(absl::Duration time)
    {
        std::vector<ClaimId> granted;
        for (const absl::Time end = this->now + time; this->now < end;
             this->now += absl::Milliseconds(10)) {
            for (const AddressedReply &item : this->issuer.onTick(this->now)) {
                if (item.reply.answer == ClaimAnswer::Granted)
                    granted.push_back(item.reply.id);
            }
        }
        return granted;
    }

    TokenIssuer issuer;
    absl::Time now = kStart;
    std::vector<AddressedReply> replies;
};

TEST_F(TokenIssuerTest, StartsWithoutTokens)
{
    this->limit({{1, 10.0}});
    EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F)), ClaimAnswer::Queued);
    this->now += absl::Milliseconds(110);
    const std::vector<AddressedReply> granted = this->issuer.onTick(this->now);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted.front().address, kClaimant);
    EXPECT_EQ(granted.front().reply.server, 1U);
    EXPECT_EQ(granted.front().reply.stamp, 1U);
}

TEST_F(TokenIssuerTest, IssuesAtTheRateOfTheLimitAndItsShare)
{
    for (const double share : {1.0, 0.5}) {
        this->issuer = TokenIssuer();
        this->limit({{1, 5.0}}, share);
        int granted = 0;
        for (ClaimId id = 1; id <= 4000; ++id) {
            this->now += absl::Milliseconds(10);
            granted +=
                this->claim(claimOf(id, {1}, 1.0F, absl::ZeroDuration())) == ClaimAnswer::Granted
                ? 1
                : 0;
        }
        EXPECT_LE(granted, 40 * 5 * share + 2);
        EXPECT_GE(granted, 40 * 5 * share * 0.9);
    }
}

TEST_F(TokenIssuerTest, DeniesAClaimAtOnceThatCannotBeGrantedInTime)
{
    this->limit({{1, 0.5}});
    EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F, absl::Milliseconds(200))), ClaimAnswer::Denied);
    EXPECT_NEAR(absl::ToDoubleSeconds(this->replies.back().reply.wait), 2.0, 0.1);
    EXPECT_EQ(this->claim(claimOf(2, {1}, 1.0F, absl::Seconds(3))), ClaimAnswer::Queued);
    EXPECT_EQ(this->issuer.pendingCount(), 1U);
}

TEST_F(TokenIssuerTest, GrantsTheWorthiestFirstAndOneOfThreeInTurn)
{
    this->limit({{1, 10.0}});
    std::vector<ClaimId> granted;
    const auto record = [&granted](std::span<const AddressedReply> all) {
        for (const AddressedReply &item : all) {
            if (item.reply.answer == ClaimAnswer::Granted)
                granted.push_back(item.reply.id);
        }
    };
    const auto isOpen = [&granted](ClaimId id) {
        return std::find(granted.begin(), granted.end(), id) == granted.end();
    };
    // The first claim is worth least, each further one more than those before it. The first one has
    // the turn; no other turn would come soon.
    for (; granted.size() < 6; this->now += absl::Milliseconds(50)) {
        for (ClaimId id = 1; id <= 12; ++id) {
            if (isOpen(id))
                record(this->issuer.onClaim(
                    claimOf(id, {1}, static_cast<float>(id), absl::Seconds(60)), this->now));
        }
        record(this->issuer.onTick(this->now));
    }
    EXPECT_EQ(granted, (std::vector<ClaimId> {12, 11, 1, 10, 9, 8}));
}

TEST_F(TokenIssuerTest, DeniesQueuedClaimsThatBecomeHopeless)
{
    this->limit({{1, 1.0}});
    EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F, absl::Milliseconds(1100))), ClaimAnswer::Queued);
    EXPECT_EQ(this->claim(claimOf(2, {1}, 9.0F, absl::Seconds(2))), ClaimAnswer::Queued);
    const std::vector<AddressedReply> denied = this->issuer.onTick(this->now);
    ASSERT_EQ(denied.size(), 1U);
    EXPECT_EQ(denied.front().reply.id, 1U);
    EXPECT_EQ(denied.front().reply.answer, ClaimAnswer::Denied);
}

TEST_F(TokenIssuerTest, AClaimGetsTheFirstTokenOfAnyOfItsServers)
{
    this->limit({{1, 0.1}, {2, 0.1}, {3, 5.0}});
    EXPECT_EQ(this->claim(claimOf(1, {1, 2, 3}, 1.0F)), ClaimAnswer::Queued);
    EXPECT_EQ(this->grantedWithin(absl::Milliseconds(300)).size(), 1U);
    EXPECT_EQ(this->claim(claimOf(1, {1, 2, 3}, 1.0F)), ClaimAnswer::Granted);
    EXPECT_EQ(this->replies.back().reply.server, 3U);
}

TEST_F(TokenIssuerTest, ARepeatedClaimGetsOneToken)
{
    this->limit({{1, 2.0}});
    this->now += absl::Seconds(1);
    EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F)), ClaimAnswer::Granted);
    for (int copy = 0; copy < 5; ++copy)
        EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F)), ClaimAnswer::Granted);
    EXPECT_EQ(this->claim(claimOf(2, {1}, 1.0F, absl::Milliseconds(100))), ClaimAnswer::Denied);
}

TEST_F(TokenIssuerTest, AReturnedTokenIsIssuedAgainOnce)
{
    this->limit({{1, 1.0}});
    this->now += absl::Seconds(2);
    EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F)), ClaimAnswer::Granted);
    TokenClaim unused = claimOf(1, {1}, 0.0F);
    unused.kind = ClaimKind::Return;
    this->issuer.onClaim(unused, this->now);
    this->issuer.onClaim(unused, this->now);
    EXPECT_EQ(this->claim(claimOf(2, {1}, 1.0F, absl::ZeroDuration())), ClaimAnswer::Granted);
    EXPECT_EQ(this->claim(claimOf(3, {1}, 1.0F, absl::ZeroDuration())), ClaimAnswer::Denied);
    // A late copy of the returned claim gets nothing.
    EXPECT_TRUE(this->issuer.onClaim(claimOf(1, {1}, 1.0F), this->now).empty());
}

TEST_F(TokenIssuerTest, ChargesDelayLaterGrants)
{
    this->limit({{1, 1.0}});
    this->now += absl::Seconds(2);
    for (ClaimId id = 1; id <= 3; ++id) {
        TokenClaim charge = claimOf(id, {1}, 0.0F);
        charge.kind = ClaimKind::Charge;
        this->issuer.onClaim(charge, this->now);
        this->issuer.onClaim(charge, this->now);
    }
    EXPECT_EQ(this->claim(claimOf(9, {1}, 1.0F, absl::Seconds(2))), ClaimAnswer::Denied);
    EXPECT_EQ(this->claim(claimOf(10, {1}, 1.0F, absl::Seconds(4))), ClaimAnswer::Queued);
}

TEST_F(TokenIssuerTest, DropsClaimsThatAreNotRenewed)
{
    this->limit({{1, 1.0}});
    this->claim(claimOf(1, {1}, 1.0F, absl::Seconds(30)));
    this->now += absl::Milliseconds(600);
    this->issuer.onTick(this->now);
    EXPECT_EQ(this->issuer.pendingCount(), 0U);
}

TEST_F(TokenIssuerTest, AServerThatAcceptsNothingIsTriedNowAndThen)
{
    this->limit({{1, 0.0}});
    this->now += absl::Seconds(30);
    EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F)), ClaimAnswer::Granted);
    EXPECT_EQ(this->claim(claimOf(2, {1}, 1.0F)), ClaimAnswer::Denied);
    EXPECT_GT(this->replies.back().reply.wait, absl::Seconds(10));
}

TEST_F(TokenIssuerTest, IssuesNothingWithoutAShareOrAfterAReset)
{
    this->limit({{1, 100.0}}, 0.0);
    this->now += absl::Seconds(5);
    EXPECT_EQ(this->claim(claimOf(1, {1}, 1.0F)), ClaimAnswer::Denied);
    EXPECT_LT(this->replies.back().reply.wait, absl::Seconds(1));
    this->limit({{1, 100.0}}, 1.0);
    EXPECT_EQ(this->claim(claimOf(2, {1}, 1.0F)), ClaimAnswer::Queued);
    const std::vector<AddressedReply> denied = this->issuer.reset();
    ASSERT_EQ(denied.size(), 1U);
    EXPECT_EQ(denied.front().reply.answer, ClaimAnswer::Denied);
    EXPECT_EQ(this->issuer.serverCount(), 0U);
}

TEST_F(TokenIssuerTest, BoundsTheQueue)
{
    this->limit({{1, 1000.0}});
    for (ClaimId id = 1; id <= 2 * TokenIssuer::kMaxPending; ++id)
        this->claim(claimOf(id, {1}, 1.0F, absl::Seconds(30)));
    EXPECT_LE(this->issuer.pendingCount(), TokenIssuer::kMaxPending);
}

} // namespace
} // namespace foxtailtally
