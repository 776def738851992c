#include "servers/memory/memory_budget.h"

#include <gtest/gtest.h>
#include <optional>
#include <utility>
#include <vector>

namespace foxtailtally {
namespace {

constexpr std::int64_t kMebibyte = std::int64_t {1} << 20;
/** The smallest and the usual instances. */
constexpr std::int64_t kSmallLimit = 160 * kMebibyte;
constexpr std::int64_t kUsualLimit = 260 * kMebibyte;

// Guards against owners that are bounded singly and exceed the process's limit in sum.
TEST(MemoryBudget, SharesStayBelowTheLimitLessATenth)
{
    for (const std::int64_t limit : {kSmallLimit, kUsualLimit}) {
        const MemoryBudget budget(limit);
        std::int64_t total = 0;
        for (std::size_t i = 0; i < kMemoryOwners; ++i) {
            const std::int64_t share = budget.share(static_cast<MemoryOwner>(i));
            EXPECT_GT(share, 0) << memoryOwnerName(static_cast<MemoryOwner>(i));
            total += share;
        }
        EXPECT_LT(total, limit * 9 / 10);
    }
}

TEST(MemoryBudget, GivesNoShareBelowTheBase)
{
    const MemoryBudget budget(kMebibyte);
    EXPECT_EQ(budget.share(MemoryOwner::RequestBodies), 0);
}

// Guards against an owner that uses up what another one needs.
TEST(MemoryBudget, RefusesAnOwnerBeyondItsShareAndNoOther)
{
    MemoryBudget budget(kSmallLimit);
    MemoryHold bodies(budget, MemoryOwner::RequestBodies);
    ASSERT_TRUE(bodies.tryGrow(budget.share(MemoryOwner::RequestBodies)));
    EXPECT_FALSE(bodies.tryGrow(1));
    EXPECT_EQ(budget.refusals(MemoryOwner::RequestBodies), 1U);
    EXPECT_TRUE(budget.tryTake(MemoryOwner::StoreObjects, kMebibyte));
}

// Guards against a buffer that grows without end and takes what small ones need.
TEST(MemoryBudget, LeavesRoomBesideBuffersThatGrowWithoutEnd)
{
    constexpr std::int64_t kStep = 1024;
    for (const int count : {1, 2, 100, 800}) {
        MemoryBudget budget(kSmallLimit);
        std::vector<MemoryHold> holds;
        for (int i = 0; i < count; ++i)
            holds.emplace_back(budget, MemoryOwner::ResponseBodies);
        for (bool hasGrown = true; hasGrown;) {
            hasGrown = false;
            for (MemoryHold &hold : holds)
                hasGrown = hold.tryGrowFairly(kStep) || hasGrown;
        }
        const std::int64_t share = budget.share(MemoryOwner::ResponseBodies);
        const std::int64_t left = share - budget.used(MemoryOwner::ResponseBodies);
        EXPECT_GE(left, share / (count + 2)) << count;
        MemoryHold small(budget, MemoryOwner::ResponseBodies);
        EXPECT_TRUE(small.tryGrowFairly(left / 4)) << count;
        const std::int64_t before = budget.used(MemoryOwner::ResponseBodies);
        holds.clear();
        small.release();
        EXPECT_EQ(budget.used(MemoryOwner::ResponseBodies), 0) << before;
    }
}

TEST(MemoryBudget, HoldsGiveBackOnce)
{
    MemoryBudget budget(kSmallLimit);
    {
        std::optional<MemoryHold> first(std::in_place, budget, MemoryOwner::ResponseBodies);
        ASSERT_TRUE(first->tryGrow(3 * kMebibyte));
        MemoryHold second(std::move(*first));
        first.reset();
        EXPECT_EQ(budget.used(MemoryOwner::ResponseBodies), 3 * kMebibyte);
        MemoryHold third(budget, MemoryOwner::ResponseBodies);
        ASSERT_TRUE(third.tryGrow(kMebibyte));
        third = std::move(second);
        EXPECT_EQ(budget.used(MemoryOwner::ResponseBodies), 3 * kMebibyte);
    }
    EXPECT_EQ(budget.used(MemoryOwner::ResponseBodies), 0);
}

} // namespace
} // namespace foxtailtally
