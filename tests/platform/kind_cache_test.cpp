#include "main/gateway/kind_cache.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

using platform::ObjectChange;
using platform::StoredObject;

TEST(KindCache, ReturnsChangesSinceARevision)
{
    KindCache cache;
    EXPECT_FALSE(cache.isKnown());
    cache.replace({{"a", 1, "{}"}}, 10);
    cache.apply({ObjectChange {{"b", 12, "{}"}, false}}, 12);
    cache.apply({ObjectChange {{"a", 13, ""}, true}}, 13);
    ASSERT_TRUE(cache.changesSince(12));
    EXPECT_EQ(cache.changesSince(12)->changes.size(), 1U);
    EXPECT_EQ(cache.changesSince(10)->changes.size(), 2U);
    EXPECT_EQ(cache.changesSince(13)->changes.size(), 0U);
    EXPECT_EQ(cache.page().objects.size(), 1U);
    EXPECT_EQ(cache.page().revision, 13);
}

// After a new list the changes in between are unknown: instances that fetch them must list too.
TEST(KindCache, RequiresANewListForChangesThatAreNotKept)
{
    KindCache cache;
    cache.replace({}, 10);
    EXPECT_FALSE(cache.changesSince(9));
    for (std::int64_t revision = 11; revision < 600; ++revision)
        cache.apply({ObjectChange {{"x", revision, "{}"}, false}}, revision);
    EXPECT_FALSE(cache.changesSince(20));
    EXPECT_TRUE(cache.changesSince(590));
    cache.replace({}, 700);
    EXPECT_FALSE(cache.changesSince(599));
}

// Guards against instances that have listed the store themselves, and so are ahead of the cache,
// being sent back to the list again and again. In a load run this cost thousands of calls.
TEST(KindCache, ReturnsNoChangesToAnInstanceThatIsAhead)
{
    KindCache cache;
    cache.replace({}, 10);
    ASSERT_TRUE(cache.changesSince(11));
    EXPECT_TRUE(cache.changesSince(11)->changes.empty());
    EXPECT_EQ(cache.changesSince(11)->revision, 11);
    cache.advance(14);
    EXPECT_EQ(cache.changesSince(12)->revision, 14);
    cache.apply({ObjectChange {{"a", 15, "{}"}, false}}, 15);
    EXPECT_EQ(cache.changesSince(12)->changes.size(), 1U);
}

TEST(KindCache, ItsAgeIsThatOfTheNewestConfirmation)
{
    KindCache cache;
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    cache.confirm(now - absl::Seconds(2));
    cache.confirm(now - absl::Seconds(5));
    EXPECT_EQ(cache.age(now), absl::Seconds(2));
}

TEST(StoreRelayProtocol, RoundTripsBetweenInstances)
{
    const platform::StoreQuery watch =
        platform::parseStoreTarget(platform::watchTarget("servers", 530, absl::Milliseconds(700)));
    EXPECT_EQ(watch.kind, "servers");
    EXPECT_EQ(watch.watchFrom, 530);
    EXPECT_EQ(watch.wait, absl::Milliseconds(700));
    const platform::StoreQuery list =
        platform::parseStoreTarget(platform::listTarget("servers", ""));
    EXPECT_FALSE(list.watchFrom);
    platform::ObjectPage page;
    page.objects = {{"a", 5, R"({"x":1})"}};
    page.revision = 9;
    const auto decoded = platform::decodePage(platform::encodePage(page));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->objects.at(0).spec, R"({"x":1})");
    EXPECT_EQ(decoded->revision, 9);
    const platform::RelayFreshness note =
        platform::decodeRelayFreshness(platform::relayHeaders({absl::Milliseconds(1234), true}));
    EXPECT_EQ(note.age, absl::Milliseconds(1234));
    EXPECT_TRUE(note.isUnsettled);
    EXPECT_EQ(platform::decodeRelayFreshness({}).age, absl::ZeroDuration());
}

} // namespace
} // namespace foxtailtally
