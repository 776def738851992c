#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Bytes of prompt text counted as one token. */
constexpr std::int64_t kBytesPerToken = 5;

/** Estimated number of tokens of @p prompt, rounded up. */
std::int64_t promptTokensOf(std::string_view prompt);

/**
 * Chained hashes of the leading full blocks of @p prompt, which identify the blocks in the engines'
 * prefix caches. At most @p maxBlocks are computed.
 */
std::vector<std::uint64_t> prefixBlocksOf(const ModelId &model, const AdapterId &adapter,
                                          std::string_view prompt, std::size_t maxBlocks);

} // namespace foxtailtally
