#include "peers/http/json_text.h"

#include "peers/http/json_reader.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

TEST(JsonText, CountsTheNestingOutsideOfStrings)
{
    EXPECT_EQ(jsonDepth("7"), 0U);
    EXPECT_EQ(jsonDepth(R"({"a":[{}],"b":[[]]})"), 3U);
    EXPECT_EQ(jsonDepth(R"({"[[[[":"{{{{\"[[[[\\"})"), 1U);
    EXPECT_EQ(jsonDepth("]]]][["), 2U);
}

// Deeply nested values ended the process where they were copied or written.
TEST(JsonText, RefusesDeeplyNestedValues)
{
    EXPECT_FALSE(parseJson(nested(kMaxJsonDepth)).is_discarded());
    EXPECT_TRUE(parseJson(nested(kMaxJsonDepth + 1)).is_discarded());
    JsonReader reader(R"({"items":[)" + nested(1000000) + "]}");
    EXPECT_TRUE(reader.array("items").empty());
    EXPECT_FALSE(reader.ok());
}

} // namespace
} // namespace foxtailtally
