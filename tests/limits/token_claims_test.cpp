#include "servers/limits/token_claims.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

class TokenClaimsTest : public testing::Test
{
protected:
    ClaimId claim(absl::Duration patience = absl::Seconds(2))
    {
        return this->claims.claim({{1, 2}, 1.0F, patience}, this->now);
    }
    TokenReply reply(const TokenClaim &claim, ClaimAnswer answer,
                     absl::Duration wait = absl::ZeroDuration())
    {
        return {claim.id, answer, 1, wait, claim.stamp};
    }

    absl::Time now = kStart + absl::Seconds(10);
    TokenClaims claims {"10.0.0.1:7340", 100, kStart};
};

TEST_F(TokenClaimsTest, AGrantedTokenIsSpentOnce)
{
    const ClaimId id = this->claim();
    const std::vector<TokenClaim> due = this->claims.takeDue(this->now);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().replyAddress, "10.0.0.1:7340");
    EXPECT_EQ(due.front().patience, absl::Seconds(2));
    this->claims.onReply(this->reply(due.front(), ClaimAnswer::Granted), this->now);
    const std::vector<ClaimOutcome> outcomes = this->claims.takeOutcomes(this->now);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_TRUE(outcomes.front().isGranted);
    EXPECT_EQ(outcomes.front().server, 1U);
    EXPECT_TRUE(this->claims.spend(id, this->now));
    EXPECT_FALSE(this->claims.spend(id, this->now));
}

// Guards against a process that was paused and then sends with a permission that has run out.
TEST_F(TokenClaimsTest, ATokenExpiresWhileTheProcessIsPaused)
{
    const ClaimId id = this->claim();
    const TokenClaim sent = this->claims.takeDue(this->now).front();
    this->claims.onReply(this->reply(sent, ClaimAnswer::Granted), this->now);
    EXPECT_EQ(this->claims.takeOutcomes(this->now).size(), 1U);
    EXPECT_FALSE(
        this->claims.spend(id, this->now + TokenClaims::kTokenTerm + absl::Milliseconds(1)));

    // The same where the pause comes before the grant is read.
    this->claim();
    const TokenClaim other = this->claims.takeDue(this->now).front();
    this->now += absl::Seconds(1);
    this->claims.onReply(this->reply(other, ClaimAnswer::Granted), this->now);
    EXPECT_TRUE(this->claims.takeOutcomes(this->now).empty());
}

TEST_F(TokenClaimsTest, RepeatsAClaimUntilItIsAnswered)
{
    this->claim();
    const TokenClaim first = this->claims.takeDue(this->now).front();
    EXPECT_TRUE(this->claims.takeDue(this->now).empty());
    this->now += TokenClaims::kRenewInterval;
    const TokenClaim second = this->claims.takeDue(this->now).front();
    EXPECT_EQ(first.id, second.id);
    EXPECT_NE(first.stamp, second.stamp);
    EXPECT_LT(second.patience, first.patience);
}

TEST_F(TokenClaimsTest, FailsWithoutAnAnswer)
{
    const ClaimId id = this->claim();
    this->claims.takeDue(this->now);
    this->now += TokenClaims::kAnswerTimeout;
    const std::vector<ClaimOutcome> outcomes = this->claims.takeOutcomes(this->now);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes.front().id, id);
    EXPECT_FALSE(outcomes.front().isGranted);
    EXPECT_EQ(this->claims.expectedAt(1), this->now + TokenClaims::kNoAnswerPause);
    EXPECT_EQ(this->claims.openCount(), 0U);
}

TEST_F(TokenClaimsTest, AQueuedClaimWaitsForItsPatience)
{
    this->claim(absl::Milliseconds(1000));
    for (int i = 0; i < 9; ++i) {
        for (const TokenClaim &due : this->claims.takeDue(this->now))
            this->claims.onReply(this->reply(due, ClaimAnswer::Queued, absl::Milliseconds(700)),
                                 this->now);
        EXPECT_TRUE(this->claims.takeOutcomes(this->now).empty());
        this->now += absl::Milliseconds(110);
    }
    this->now += absl::Milliseconds(20);
    EXPECT_EQ(this->claims.takeOutcomes(this->now).size(), 1U);
}

TEST_F(TokenClaimsTest, ADenialTellsWhenATokenIsExpected)
{
    this->claim();
    const TokenClaim sent = this->claims.takeDue(this->now).front();
    this->claims.onReply(this->reply(sent, ClaimAnswer::Denied, absl::Seconds(3)), this->now);
    EXPECT_FALSE(this->claims.takeOutcomes(this->now).front().isGranted);
    EXPECT_EQ(this->claims.expectedAt(1), this->now + absl::Seconds(3));
    EXPECT_EQ(this->claims.expectedAt(2), this->now + absl::Seconds(3));
    EXPECT_EQ(this->claims.expectedAt(3), absl::InfinitePast());
    this->claims.onTick(this->now + absl::Seconds(3));
    EXPECT_EQ(this->claims.expectedAt(1), absl::InfinitePast());
}

TEST_F(TokenClaimsTest, ReturnsATokenThatIsGrantedTooLate)
{
    const ClaimId id = this->claim();
    const TokenClaim sent = this->claims.takeDue(this->now).front();
    const TokenClaim givenUp = this->claims.giveUp(id);
    EXPECT_EQ(givenUp.kind, ClaimKind::Return);
    EXPECT_EQ(givenUp.servers, sent.servers);
    const std::vector<TokenClaim> returned =
        this->claims.onReply(this->reply(sent, ClaimAnswer::Granted), this->now);
    ASSERT_EQ(returned.size(), 1U);
    EXPECT_EQ(returned.front().kind, ClaimKind::Return);
    EXPECT_EQ(returned.front().id, id);
    EXPECT_TRUE(this->claims.takeOutcomes(this->now).empty());
}

// Guards against tokens of a call with helpers that expire while it waits for the last of them.
TEST_F(TokenClaimsTest, KeepsATokenThatIsNotSpentYet)
{
    const ClaimId id = this->claim();
    for (int i = 0; i < 5; ++i) {
        for (const TokenClaim &due : this->claims.takeDue(this->now))
            this->claims.onReply(this->reply(due, ClaimAnswer::Granted), this->now);
        this->now += TokenClaims::kRenewInterval;
    }
    EXPECT_EQ(this->claims.takeOutcomes(this->now).size(), 1U);
    EXPECT_TRUE(this->claims.spend(id, this->now));

    // It is not held for longer than the issuer remembers it.
    this->claim();
    for (absl::Time end = this->now + absl::Seconds(4); this->now < end;
         this->now += TokenClaims::kRenewInterval) {
        for (const TokenClaim &due : this->claims.takeDue(this->now))
            this->claims.onReply(this->reply(due, ClaimAnswer::Granted), this->now);
    }
    EXPECT_TRUE(this->claims.takeDue(this->now).empty());
    EXPECT_FALSE(this->claims.spend(id + 1, this->now));
}

// Guards against tokens that are issued again although they were used: the answers to a claim and
// to its repetition both grant the same token.
TEST_F(TokenClaimsTest, DoesNotReturnATokenThatWasSpent)
{
    const ClaimId id = this->claim();
    const TokenClaim first = this->claims.takeDue(this->now).front();
    this->now += TokenClaims::kRenewInterval;
    const TokenClaim second = this->claims.takeDue(this->now).front();
    this->claims.onReply(this->reply(first, ClaimAnswer::Granted), this->now);
    EXPECT_TRUE(this->claims.spend(id, this->now));
    EXPECT_TRUE(this->claims.onReply(this->reply(second, ClaimAnswer::Granted), this->now).empty());
}

} // namespace
} // namespace foxtailtally
