#include "servers/catalog/evacuation_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <utility>
#include <vector>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const FailureDomainId kEast("east");
const FailureDomainId kWest("west");

TEST(EvacuationTable, FollowsTheListWhileTheStoreIsNotRestored)
{
    EvacuationTable table;
    table.onList({kEast}, kStart);
    EXPECT_TRUE(table.isEvacuated(kEast, kStart));
    EXPECT_FALSE(table.isEvacuated(kWest, kStart));
    table.onList({kWest}, kStart);
    EXPECT_FALSE(table.isEvacuated(kEast, kStart));
    EXPECT_TRUE(table.isEvacuated(kWest, kStart));
}

// A call reached an evacuated domain because the copy lacked the evacuation.
TEST(EvacuationTable, KeepsADomainEvacuatedUntilTheOperatorCouldWriteAgain)
{
    EvacuationTable table;
    table.onChange(kEast, true, kStart);
    table.onRestored(kStart);
    table.onList({}, kStart);
    const absl::Time over = kStart + EvacuationTable::kMissingGrace;
    EXPECT_TRUE(table.isEvacuated(kEast, over - absl::Milliseconds(1)));
    EXPECT_FALSE(table.isEvacuated(kEast, over));
    // A list of the same era, after the history of changes was discarded, says nothing new.
    table.onList({}, kStart + absl::Seconds(1));
    EXPECT_TRUE(table.isEvacuated(kEast, over - absl::Milliseconds(1)));
}

// An evacuation that is written again ends when the operator removes it, not after the grace.
TEST(EvacuationTable, FollowsTheOperatorsWritesAfterTheRestore)
{
    EvacuationTable table;
    table.onChange(kEast, true, kStart);
    table.onRestored(kStart);
    table.onList({}, kStart);
    table.onChange(kEast, true, kStart + absl::Seconds(1));
    EXPECT_TRUE(table.isEvacuated(kEast, kStart + absl::Minutes(5)));
    table.onChange(kEast, false, kStart + absl::Seconds(2));
    EXPECT_FALSE(table.isEvacuated(kEast, kStart + absl::Seconds(2)));
    table.onRestored(kStart + absl::Seconds(3));
    table.onList({kEast}, kStart + absl::Seconds(3));
    EXPECT_FALSE(table.isEvacuated(kEast, kStart + absl::Seconds(3)));
    table.onChange(kEast, true, kStart + absl::Seconds(4));
    EXPECT_TRUE(table.isEvacuated(kEast, kStart + absl::Seconds(4)));
}

// The copy had an evacuation that was taken back; the domain lost its work again.
TEST(EvacuationTable, IgnoresAnEndedEvacuationOfTheCopyForAWhile)
{
    EvacuationTable table;
    table.onChange(kEast, true, kStart);
    table.onChange(kEast, false, kStart + absl::Seconds(1));
    const absl::Time restored = kStart + absl::Seconds(2);
    table.onRestored(restored);
    table.onList({kEast}, restored);
    EXPECT_FALSE(table.isEvacuated(kEast, restored));
    // The operator may have started it again before the list was read.
    EXPECT_TRUE(table.isEvacuated(kEast, restored + EvacuationTable::kEndedGrace));
}

TEST(EvacuationTable, FollowsAnEvacuationOfTheCopyThatItNeverKnew)
{
    EvacuationTable table;
    table.onRestored(kStart);
    table.onList({kEast}, kStart);
    EXPECT_TRUE(table.isEvacuated(kEast, kStart));
}

// The operator had not written again when the store was restored once more.
TEST(EvacuationTable, KeepsItsStateThroughASecondRestore)
{
    EvacuationTable table;
    table.onChange(kEast, true, kStart);
    table.onChange(kWest, true, kStart);
    table.onChange(kWest, false, kStart);
    for (int second = 0; second < 3; ++second) {
        const absl::Time now = kStart + absl::Seconds(second);
        table.onRestored(now);
        table.onList({kWest}, now);
        EXPECT_TRUE(table.isEvacuated(kEast, now)) << second;
        EXPECT_FALSE(table.isEvacuated(kWest, now)) << second;
    }
}

TEST(EvacuationTable, ForgetsEndedEvacuations)
{
    EvacuationTable table;
    table.onChange(kEast, true, kStart);
    table.onChange(kEast, false, kStart);
    table.onTick(kStart + EvacuationTable::kEndRetention);
    table.onRestored(kStart + EvacuationTable::kEndRetention);
    table.onList({kEast}, kStart + EvacuationTable::kEndRetention);
    EXPECT_TRUE(table.isEvacuated(kEast, kStart + EvacuationTable::kEndRetention));
}

// Random orders of the operator's writes and of restores to random earlier states. The operator
// repeats its writes within the grace.
RC_GTEST_PROP(EvacuationTable, HoldsTheOperatorsLastWordThroughRestores, ())
{
    EvacuationTable table;
    absl::Time now = kStart;
    /** What the operator wants, and what the store holds. */
    bool isWanted = false;
    bool isStored = false;
    /** Earlier states of the store; a copy is less than EvacuationTable::kEndRetention old. */
    std::vector<std::pair<absl::Time, bool>> history;
    const auto copy = [&] {
        std::erase_if(history,
                      [&](const auto &item) { return now - item.first > absl::Seconds(40); });
        return !history.empty()
            && history[*rc::gen::inRange<std::size_t>(0, history.size())].second;
    };
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += absl::Milliseconds(*rc::gen::inRange(0, 1500));
        table.onTick(now);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            isWanted = !isWanted;
            if (isWanted != isStored)
                table.onChange(kEast, isWanted, now);
            isStored = isWanted;
            break;
        case 1: {
            isStored = copy();
            table.onRestored(now);
            table.onList(isStored ? absl::btree_set<FailureDomainId> {kEast}
                                  : absl::btree_set<FailureDomainId> {},
                         now);
            // The operator writes again before the grace is over, or before another restore.
            const bool isRestoredAgain = *rc::gen::inRange(0, 3) == 0;
            now += absl::Milliseconds(*rc::gen::inRange(0, 2900));
            RC_ASSERT(table.isEvacuated(kEast, now) == isWanted);
            if (isRestoredAgain) {
                isStored = copy();
                table.onRestored(now);
                table.onList(isStored ? absl::btree_set<FailureDomainId> {kEast}
                                      : absl::btree_set<FailureDomainId> {},
                             now);
                RC_ASSERT(table.isEvacuated(kEast, now) == isWanted);
            }
            if (isStored != isWanted)
                table.onChange(kEast, isWanted, now);
            isStored = isWanted;
            break;
        }
        case 2:
            table.onList(isStored ? absl::btree_set<FailureDomainId> {kEast}
                                  : absl::btree_set<FailureDomainId> {},
                         now);
            break;
        default:
            break;
        }
        history.emplace_back(now, isStored);
        RC_ASSERT(table.isEvacuated(kEast, now) == isWanted);
    }
}

} // namespace
} // namespace foxtailtally
