#include "peers/http/deflate.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {
namespace {

TEST(Deflate, RoundTripsAnyText)
{
    EXPECT_TRUE(rc::check("any text", [](const std::string &text) {
        const Result<std::string> compressed = compressDeflate(text);
        RC_ASSERT(compressed.ok());
        const Result<std::string> whole = decompressDeflate(*compressed, text.size());
        RC_ASSERT(whole.ok());
        RC_ASSERT(*whole == text);
    }));
}

// A few compressed bytes can expand to gigabytes.
TEST(Deflate, StopsAtTheSizeLimit)
{
    const Result<std::string> compressed =
        compressDeflate(std::string(std::size_t {64} << 20, 'x'));
    ASSERT_TRUE(compressed.ok());
    const Result<std::string> whole = decompressDeflate(*compressed, std::size_t {1} << 20);
    EXPECT_EQ(whole.error(), make_error_code(Error::MessageTooLarge));
}

TEST(Deflate, RejectsDamagedBytes)
{
    const std::string good = *compressDeflate(std::string(5000, 'a') + "end");
    EXPECT_TRUE(rc::check("damaged bytes", [&good] {
        std::string bytes = good;
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            static_cast<char>(*rc::gen::inRange(0, 256));
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const Result<std::string> whole = decompressDeflate(bytes, 10000);
        const bool isRejectedOrWhole = !whole.ok() || whole->size() == 5003;
        RC_ASSERT(isRejectedOrWhole);
    }));
}

} // namespace
} // namespace foxtailtally
