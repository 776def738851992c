#include "servers/catalog/store_position.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

// A restored store gives revisions out again: a revision of an earlier era, however high, is older.
TEST(StorePosition, OrdersByEraBeforeRevision)
{
    EXPECT_LT((StorePosition {1, 900}), (StorePosition {2, 5}));
    EXPECT_LT((StorePosition {2, 5}), (StorePosition {2, 6}));
    EXPECT_LT(StorePosition(), (StorePosition {0, 0}));
    EXPECT_EQ((StorePosition {2, 5}), (StorePosition {2, 5}));
}

// The changes of an earlier era may be missing in a later one, so it does not cover them.
TEST(StorePosition, IsCoveredOnlyWithinItsEra)
{
    EXPECT_TRUE((StorePosition {1, 5}).isCoveredBy({1, 5}));
    EXPECT_TRUE((StorePosition {1, 5}).isCoveredBy({1, 6}));
    EXPECT_FALSE((StorePosition {1, 5}).isCoveredBy({1, 4}));
    EXPECT_FALSE((StorePosition {1, 5}).isCoveredBy({2, 9}));
    EXPECT_FALSE((StorePosition {2, 5}).isCoveredBy({1, 9}));
    EXPECT_FALSE(StorePosition().isCoveredBy({0, 9}));
}

} // namespace
} // namespace foxtailtally
