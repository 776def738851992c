#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Key of the simulated answer to @p prompt. */
std::uint64_t answerKeyOf(std::string_view prompt);

/**
 * Text of the token at @p offset of the answer with key @p answerKey. It depends on these two
 * values only, so that a caller detects a token of another answer or at a wrong offset.
 */
std::string tokenText(std::uint64_t answerKey, std::int64_t offset);

} // namespace foxtailtally
