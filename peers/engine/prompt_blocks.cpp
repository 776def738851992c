#include "peers/engine/prompt_blocks.h"

#include "core/hash.h"
#include "core/request.h"

#include <algorithm>

namespace foxtailtally {

namespace {

constexpr std::size_t kBlockBytes = kPrefixBlockTokens * kBytesPerToken;

} // namespace

std::int64_t promptTokensOf(std::string_view prompt)
{
    return (static_cast<std::int64_t>(prompt.size()) + kBytesPerToken - 1) / kBytesPerToken;
}

std::vector<std::uint64_t> prefixBlocksOf(const ModelId &model, const AdapterId &adapter,
                                          std::string_view prompt, std::size_t maxBlocks)
{
    const std::size_t count = std::min(prompt.size() / kBlockBytes, maxBlocks);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(count);
    std::uint64_t chain = stableHash(adapter.str(), stableHash(model.str()));
    for (std::size_t i = 0; i < count; ++i) {
        chain = stableHash(prompt.substr(i * kBlockBytes, kBlockBytes), chain);
        blocks.push_back(chain);
    }
    return blocks;
}

} // namespace foxtailtally
