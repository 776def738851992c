#include "main/gateway/held_config.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

using Outcome = HeldConfig::Outcome;

platform::StoredObject object(std::int64_t version, std::int64_t revision)
{
    return {std::string(platform::kConfigName), revision,
            absl::StrCat(R"({"Version":)", version, R"(,"Routes":[],"Services":[]})")};
}

HeldConfig holding(std::int64_t version, std::int64_t revision)
{
    HeldConfig held;
    platform::StoredObject first = object(version, revision);
    EXPECT_EQ(held.adopt(first), Outcome::Adopted);
    return held;
}

// The next change that a restored store acknowledged was ignored until its revision had passed the
// lost ones, so that calls were handled by an older version.
TEST(HeldConfig, AdoptsANewerVersionUnderALowerRevision)
{
    HeldConfig held = holding(7, 900);
    platform::StoredObject next = object(8, 40);
    EXPECT_EQ(held.adopt(next), Outcome::Adopted);
    EXPECT_EQ(held.version(), 8);
    EXPECT_TRUE(held.isShown());
}

// A restored store brought back an older version, with keys and routes that had been taken away.
TEST(HeldConfig, KeepsItsVersionAgainstAnOlderOne)
{
    HeldConfig held = holding(7, 900);
    platform::StoredObject older = object(6, 950);
    EXPECT_EQ(held.adopt(older), Outcome::Retained);
    EXPECT_EQ(held.version(), 7);
    EXPECT_FALSE(held.isShown());
    EXPECT_TRUE(older.isRetained);
    EXPECT_EQ(older.spec, object(7, 900).spec);
    // The operator writes the lost version again.
    platform::StoredObject again = object(7, 960);
    EXPECT_EQ(held.adopt(again), Outcome::Unchanged);
    EXPECT_TRUE(held.isShown());
}

// A copy that lacks the configuration confirmed the one that was held.
TEST(HeldConfig, IsNotShownByAStoreThatLacksIt)
{
    HeldConfig held = holding(7, 900);
    std::vector<platform::StoredObject> list;
    held.addIfMissing(list);
    EXPECT_FALSE(held.isShown());
    ASSERT_EQ(list.size(), 1U);
    EXPECT_TRUE(list.front().isRetained);
    EXPECT_EQ(list.front().spec, object(7, 900).spec);

    HeldConfig other = holding(7, 900);
    platform::ObjectChange deleted = {object(7, 900), true};
    other.onDeleted(deleted);
    EXPECT_FALSE(deleted.isDeleted);
    EXPECT_FALSE(other.isShown());
}

// A version that another instance keeps against the store's copy passed for one that the store
// shows.
TEST(HeldConfig, TakesARetainedVersionWithoutConfirmingIt)
{
    HeldConfig held = holding(6, 40);
    platform::StoredObject retained = object(7, 40);
    retained.isRetained = true;
    EXPECT_EQ(held.adopt(retained), Outcome::Adopted);
    EXPECT_EQ(held.version(), 7);
    EXPECT_FALSE(held.isShown());
}

TEST(HeldConfig, KeepsItsVersionWhenAnObjectIsUnreadable)
{
    HeldConfig held = holding(7, 900);
    platform::StoredObject broken = {std::string(platform::kConfigName), 901, "[]"};
    EXPECT_EQ(held.adopt(broken), Outcome::Unreadable);
    EXPECT_EQ(held.version(), 7);
}

} // namespace
} // namespace foxtailtally
