#include "core/hash.h"

#include <array>
#include <gtest/gtest.h>
#include <string_view>

namespace foxtailtally {
namespace {

Fingerprint fingerprintOfTwo(std::string_view first, std::string_view second)
{
    const std::array<std::string_view, 2> parts = {first, second};
    return fingerprintOf(parts);
}

// A customer must not be able to match the fingerprint of another customer's call by moving bytes
// between the parts.
TEST(FingerprintOf, DistinguishesTextsSplitAtOtherPositions)
{
    EXPECT_EQ(fingerprintOfTwo("ab", "c"), fingerprintOfTwo("ab", "c"));
    EXPECT_NE(fingerprintOfTwo("ab", "c"), fingerprintOfTwo("a", "bc"));
    EXPECT_NE(fingerprintOfTwo("", "abc"), fingerprintOfTwo("abc", ""));
    EXPECT_EQ(fingerprintText(fingerprintOfTwo("ab", "c")).size(), 32U);
}

} // namespace
} // namespace foxtailtally
