#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace foxtailtally {

/** Deepest nesting of JSON that is accepted from other processes. nlohmann::json parses without
 * recursion, but copies, compares and writes values recursively. */
inline constexpr std::size_t kMaxJsonDepth = 64;

/** Number of arrays and objects that enclose the innermost value of @p text. */
std::size_t jsonDepth(std::string_view text);

/** Parses @p text; discarded if it is malformed or nested deeper than kMaxJsonDepth. */
nlohmann::json parseJson(std::string_view text);

} // namespace foxtailtally
