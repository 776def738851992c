#include "standins/lib/token_text.h"

#include "core/hash.h"
#include "core/text.h"

#include <absl/strings/str_cat.h>

namespace foxtailtally {

namespace {

constexpr std::uint64_t kAnswerSeed = 0x616e73776572;

} // namespace

std::uint64_t answerKeyOf(std::string_view prompt)
{
    return stableHash(prompt, kAnswerSeed);
}

std::string tokenText(std::uint64_t answerKey, std::int64_t offset)
{
    const std::string key = absl::StrCat(answerKey, ":", offset);
    // 20 bits are enough to distinguish neighbouring offsets, and the token stays as short as a
    // real one.
    return absl::StrCat(absl::Hex(stableHash(key) & 0xfffff, absl::kZeroPad5), " ");
}

} // namespace foxtailtally
