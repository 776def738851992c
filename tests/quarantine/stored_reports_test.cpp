#include "servers/quarantine/stored_reports.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailtally {
namespace {

using Names = absl::btree_set<std::string>;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TEST(StoredReports, TakesAbsenceForARemoval)
{
    StoredReports reports;
    EXPECT_TRUE(reports.onList({"a", "b"}, kStart).empty());
    EXPECT_EQ(reports.onList({"b"}, kStart), std::vector<std::string> {"a"});
    EXPECT_EQ(reports.names(), Names {"b"});
}

// A restore lifted the quarantine of a part that crashes servers.
TEST(StoredReports, DoesNotTakeAbsenceAfterARestoreForARemoval)
{
    StoredReports reports;
    reports.onList({"a", "b"}, kStart);
    reports.onRestored();
    EXPECT_TRUE(reports.onList({"b"}, kStart).empty());
    EXPECT_EQ(reports.names(), (Names {"a", "b"}));
    // A list of the same era shows that "b" was removed since, and nothing about "a".
    EXPECT_EQ(reports.onList({}, kStart), std::vector<std::string> {"b"});
    EXPECT_EQ(reports.names(), Names {"a"});
}

TEST(StoredReports, FollowsRemovalsOfReportsThatWereWrittenAgain)
{
    StoredReports reports;
    reports.onList({"a"}, kStart);
    reports.onRestored();
    reports.onList({}, kStart);
    reports.onStored("a");
    EXPECT_EQ(reports.lostCount(), 0U);
    EXPECT_EQ(reports.onList({}, kStart), std::vector<std::string> {"a"});
}

TEST(StoredReports, KeepsWhatTwoRestoresHaveLost)
{
    StoredReports reports;
    reports.onList({"a", "b"}, kStart);
    for (const Names &copy : {Names {"b"}, Names {}}) {
        reports.onRestored();
        EXPECT_TRUE(reports.onList(copy, kStart).empty());
    }
    EXPECT_EQ(reports.names(), (Names {"a", "b"}));
    reports.onTick(kStart + StoredReports::kLostGrace);
    EXPECT_TRUE(reports.names().empty());
}

// Random writes, removals and restores; only names that somebody removed may be reported.
RC_GTEST_PROP(StoredReports, ReportsExactlyTheRemovalsOfItsEra, ())
{
    StoredReports reports;
    Names store;
    /** Removed since the last list or restore. */
    Names removed;
    std::vector<Names> copies = {{}};
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            store.insert(name);
            reports.onStored(name);
            removed.erase(name);
            break;
        case 1:
            if (store.erase(name) > 0)
                removed.insert(name);
            break;
        case 2:
            store = copies[*rc::gen::inRange<std::size_t>(0, copies.size())];
            removed.clear();
            reports.onRestored();
            RC_ASSERT(reports.onList(store, kStart).empty());
            break;
        default: {
            const std::vector<std::string> found = reports.onList(store, kStart);
            RC_ASSERT(Names(found.begin(), found.end()) == removed);
            removed.clear();
        }
        }
        copies.push_back(store);
    }
}

} // namespace
} // namespace foxtailtally
