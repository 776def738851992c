#include "servers/memory/body_admission.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <vector>

namespace foxtailtally {
namespace {

using Verdict = BodyAdmission::Verdict;

constexpr std::int64_t kMebibyte = std::int64_t {1} << 20;
constexpr std::int64_t kLargeBody = 4 * kMebibyte;
constexpr std::int64_t kMemory = 160 * kMebibyte;
/** Bodies of kLargeBody that an instance with kMemory admits. */
constexpr int kLargeBodies = 8;

struct Waiter final : BodyWaiter
{
    void onBodyAdmitted() override { }
    void onBodyRefused() override { }
};

class BodyAdmissionTest : public testing::Test
{
protected:
    Verdict request(std::int64_t bytes, int waitSeconds = 10)
    {
        this->waiters.push_back(std::make_unique<Waiter>());
        this->claims.push_back(std::make_unique<BodyClaim>(this->bodies));
        return this->bodies.request(*this->claims.back(), bytes, *this->waiters.back(),
                                    this->at(waitSeconds));
    }
    void fill()
    {
        for (int i = 0; i < kLargeBodies; ++i)
            ASSERT_EQ(this->request(kLargeBody), Verdict::Admitted);
    }
    absl::Time at(double seconds) const { return this->start + absl::Seconds(seconds); }

    absl::Time start = absl::FromUnixSeconds(1000000);
    MemoryBudget budget = MemoryBudget(kMemory);
    BodyAdmission bodies = BodyAdmission(this->budget);
    std::vector<std::unique_ptr<Waiter>> waiters;
    std::vector<std::unique_ptr<BodyClaim>> claims;
};

TEST_F(BodyAdmissionTest, LetsALargeBodyWaitUntilAnotherGivesBack)
{
    this->fill();
    ASSERT_EQ(this->request(kLargeBody), Verdict::Waiting);
    EXPECT_TRUE(this->bodies.advance(this->at(1)).empty());
    this->claims.front().reset();
    const auto decisions = this->bodies.advance(this->at(2));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_TRUE(decisions.front().isAdmitted);
    EXPECT_EQ(decisions.front().waiter, this->waiters.back().get());
    EXPECT_EQ(this->claims.back()->bytes(), kLargeBody);
}

// Guards against requests that wait behind slow senders until their own deadline.
TEST_F(BodyAdmissionTest, RefusesABodyThatHasWaitedTooLong)
{
    this->fill();
    ASSERT_EQ(this->request(kLargeBody, 3), Verdict::Waiting);
    EXPECT_TRUE(this->bodies.advance(this->at(2.9)).empty());
    const auto decisions = this->bodies.advance(this->at(3));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_FALSE(decisions.front().isAdmitted);
    EXPECT_EQ(this->bodies.waiting(), 0U);
}

TEST_F(BodyAdmissionTest, AdmitsFirstWhatWouldBeRefusedFirst)
{
    this->fill();
    ASSERT_EQ(this->request(kLargeBody, 9), Verdict::Waiting);
    ASSERT_EQ(this->request(kLargeBody, 5), Verdict::Waiting);
    this->claims.front().reset();
    const auto decisions = this->bodies.advance(this->at(1));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().waiter, this->waiters.back().get());
}

// Guards against a large body that never gets its turn because smaller ones fit before it.
TEST_F(BodyAdmissionTest, LetsNoLargeBodyOvertakeAWaitingOne)
{
    this->fill();
    this->claims.front().reset();
    ASSERT_EQ(this->request(2 * kLargeBody), Verdict::Waiting);
    EXPECT_EQ(this->request(kMebibyte), Verdict::Waiting);
    EXPECT_TRUE(this->bodies.advance(this->at(1)).empty());
}

// Guards against small requests that are refused because of large ones.
TEST_F(BodyAdmissionTest, AdmitsSmallBodiesWhileLargeOnesWait)
{
    this->fill();
    ASSERT_EQ(this->request(kLargeBody), Verdict::Waiting);
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(this->request(kSmallBodyBytes), Verdict::Admitted);
}

TEST_F(BodyAdmissionTest, RefusesAtOnceWhatCanNeverFit)
{
    EXPECT_EQ(this->request(40 * kMebibyte), Verdict::TooLarge);
    EXPECT_EQ(this->budget.used(MemoryOwner::RequestBodies), 0);
}

TEST_F(BodyAdmissionTest, BoundsTheBodiesThatWait)
{
    this->fill();
    Verdict verdict = Verdict::Waiting;
    int waiting = 0;
    for (; verdict == Verdict::Waiting && waiting < 10000; ++waiting)
        verdict = this->request(kLargeBody);
    EXPECT_EQ(verdict, Verdict::QueueFull);
}

TEST_F(BodyAdmissionTest, ForgetsAWaitingBodyWhoseCallerIsGone)
{
    this->fill();
    ASSERT_EQ(this->request(kLargeBody), Verdict::Waiting);
    this->claims.back().reset();
    this->claims.front().reset();
    EXPECT_TRUE(this->bodies.advance(this->at(1)).empty());
    EXPECT_EQ(this->request(kLargeBody), Verdict::Admitted);
}

// Whatever callers do, the share is kept, all of it comes back, and no body waits beyond its time.
RC_GTEST_PROP(BodyAdmissionProperty, KeepsTheShareAndLosesNone, ())
{
    MemoryBudget budget(kMemory);
    BodyAdmission bodies(budget);
    Waiter waiter;
    absl::Time now = absl::FromUnixSeconds(1000000);
    std::vector<std::unique_ptr<BodyClaim>> claims;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        now += absl::Milliseconds(*rc::gen::inRange(0, 500));
        const auto bytes = *rc::gen::inRange<std::int64_t>(1, 12 * kMebibyte);
        claims.push_back(std::make_unique<BodyClaim>(bodies));
        const absl::Duration wait = absl::Milliseconds(*rc::gen::inRange(0, 3000));
        const Verdict verdict = bodies.request(*claims.back(), bytes, waiter, now + wait);
        RC_ASSERT((verdict == Verdict::Admitted) == (claims.back()->bytes() == bytes));
        if (*rc::gen::arbitrary<bool>())
            claims[*rc::gen::inRange<std::size_t>(0, claims.size())].reset();
        std::erase(claims, nullptr);
        bodies.advance(now);
        std::int64_t held = 0;
        for (const auto &claim : claims)
            held += claim->bytes();
        RC_ASSERT(held == budget.used(MemoryOwner::RequestBodies));
        RC_ASSERT(held <= budget.share(MemoryOwner::RequestBodies));
    }
    bodies.advance(now + absl::Seconds(4));
    RC_ASSERT(bodies.waiting() == 0U);
    claims.clear();
    RC_ASSERT(budget.used(MemoryOwner::RequestBodies) == 0);
}

} // namespace
} // namespace foxtailtally
