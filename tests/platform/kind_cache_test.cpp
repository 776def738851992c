#include "main/gateway/kind_cache.h"

#include <gtest/gtest.h>
#include <string>

namespace foxtailtally {
namespace {

using platform::ObjectChange;
using platform::StoredObject;

constexpr std::size_t kMaxKeptBytes = std::size_t {2} << 20;
constexpr std::size_t kConfigBytes = 1044000;

TEST(KindCache, ReturnsChangesSinceARevision)
{
    KindCache cache(kMaxKeptBytes);
    EXPECT_FALSE(cache.isKnown());
    cache.replace({{"a", 1, "{}"}}, {0, 10});
    cache.apply({ObjectChange {{"b", 12, "{}"}, false}}, {0, 12});
    cache.apply({ObjectChange {{"a", 13, ""}, true}}, {0, 13});
    ASSERT_TRUE(cache.changesSince({0, 12}));
    EXPECT_EQ(cache.changesSince({0, 12})->changes.size(), 1U);
    EXPECT_EQ(cache.changesSince({0, 10})->changes.size(), 2U);
    EXPECT_EQ(cache.changesSince({0, 13})->changes.size(), 0U);
    EXPECT_EQ(cache.page().objects.size(), 1U);
    EXPECT_EQ(cache.page().revision, 13);
}

// After a new list the changes in between are unknown: instances that fetch them must list too.
TEST(KindCache, RequiresANewListForChangesThatAreNotKept)
{
    KindCache cache(kMaxKeptBytes);
    cache.replace({}, {0, 10});
    EXPECT_FALSE(cache.changesSince({0, 9}));
    for (std::int64_t revision = 11; revision < 600; ++revision)
        cache.apply({ObjectChange {{"x", revision, "{}"}, false}}, {0, revision});
    EXPECT_FALSE(cache.changesSince({0, 20}));
    EXPECT_TRUE(cache.changesSince({0, 590}));
    cache.replace({}, {0, 700});
    EXPECT_FALSE(cache.changesSince({0, 599}));
}

// 256 versions of a large configuration were kept: every instance exceeded its memory.
TEST(KindCache, KeepsOneVersionOfALargeObject)
{
    KindCache cache(kMaxKeptBytes);
    cache.replace({}, {0, 10});
    for (std::int64_t revision = 11; revision <= 310; ++revision) {
        cache.apply({ObjectChange {{"main", revision, std::string(kConfigBytes, 'x')}, false}},
                    {0, revision});
        ASSERT_LE(cache.keptBytes(), kMaxKeptBytes);
    }
    // An instance that lags gets the newest version, and need not list again.
    const auto changes = cache.changesSince({0, 60});
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->changes.size(), 1U);
    EXPECT_EQ(changes->changes.front().object.revision, 310);
    EXPECT_EQ(changes->changes.front().object.spec.size(), kConfigBytes);
    EXPECT_EQ(changes->revision, 310);
}

// The objects themselves are kept when their changes take more memory than there is.
TEST(KindCache, RequiresANewListForChangesAboveItsMemory)
{
    KindCache cache(kMaxKeptBytes);
    cache.replace({}, {0, 10});
    for (std::int64_t revision = 11; revision <= 16; ++revision) {
        const std::string name = "version-" + std::to_string(revision);
        cache.apply({ObjectChange {{name, revision, std::string(kConfigBytes, 'x')}, false}},
                    {0, revision});
        ASSERT_LE(cache.keptBytes(), kMaxKeptBytes);
    }
    EXPECT_FALSE(cache.changesSince({0, 10}));
    ASSERT_TRUE(cache.changesSince({0, 15}));
    EXPECT_EQ(cache.changesSince({0, 15})->changes.size(), 1U);
    EXPECT_EQ(cache.page().objects.size(), 6U);
    KindCache small(kConfigBytes / 2);
    small.replace({}, {0, 10});
    small.apply({ObjectChange {{"main", 11, std::string(kConfigBytes, 'x')}, false}}, {0, 11});
    EXPECT_FALSE(small.changesSince({0, 10}));
    ASSERT_TRUE(small.changesSince({0, 11}));
    EXPECT_EQ(small.page().objects.size(), 1U);
}

// Guards against instances that have listed the store themselves, and so are ahead of the cache,
// being sent back to the list again and again. In a load run this cost thousands of calls.
TEST(KindCache, ReturnsNoChangesToAnInstanceThatIsAhead)
{
    KindCache cache(kMaxKeptBytes);
    cache.replace({}, {0, 10});
    ASSERT_TRUE(cache.changesSince({0, 11}));
    EXPECT_TRUE(cache.changesSince({0, 11})->changes.empty());
    EXPECT_EQ(cache.changesSince({0, 11})->revision, 11);
    cache.advance({0, 14});
    EXPECT_EQ(cache.changesSince({0, 12})->revision, 14);
    cache.apply({ObjectChange {{"a", 15, "{}"}, false}}, {0, 15});
    EXPECT_EQ(cache.changesSince({0, 12})->changes.size(), 1U);
}

// The cache kept the highest revision it had seen: after a restore it claimed to hold changes that
// it lacked, and sent others changes of a history that no longer exists.
TEST(KindCache, ReplacesAnEarlierEra)
{
    KindCache cache(kMaxKeptBytes);
    cache.replace({{"a", 90, "{}"}}, {1, 90});
    cache.apply({ObjectChange {{"b", 91, "{}"}, false}}, {1, 91});
    cache.replace({{"c", 40, "{}"}}, {2, 40});
    EXPECT_EQ(cache.position(), (StorePosition {2, 40}));
    EXPECT_EQ(cache.contentPosition(), (StorePosition {2, 40}));
    EXPECT_EQ(cache.page().revision, 40);
    EXPECT_EQ(cache.page().objects.size(), 1U);
    cache.apply({ObjectChange {{"d", 41, "{}"}, false}}, {2, 41});
    EXPECT_FALSE(cache.changesSince({1, 40}));
    EXPECT_FALSE(cache.changesSince({3, 40}));
    ASSERT_TRUE(cache.changesSince({2, 40}));
    EXPECT_EQ(cache.changesSince({2, 40})->changes.size(), 1U);
}

TEST(KindCache, ItsAgeIsThatOfTheNewestConfirmation)
{
    KindCache cache(kMaxKeptBytes);
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
    page.objects = {{"a", 5, R"({"x":1})"}, {"b", 0, "{}", true}};
    page.revision = 9;
    const auto decoded = platform::decodePage(platform::encodePage(page));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->objects.at(0).spec, R"({"x":1})");
    EXPECT_FALSE(decoded->objects.at(0).isRetained);
    EXPECT_TRUE(decoded->objects.at(1).isRetained);
    EXPECT_EQ(decoded->revision, 9);
    const platform::RelayFreshness note =
        platform::decodeRelayFreshness(platform::relayHeaders({absl::Milliseconds(1234), true}));
    EXPECT_EQ(note.age, absl::Milliseconds(1234));
    EXPECT_TRUE(note.isUnsettled);
    EXPECT_EQ(platform::decodeRelayFreshness({}).age, absl::ZeroDuration());
}

} // namespace
} // namespace foxtailtally
