#pragma once

#include "core/ids.h"

#include <absl/time/time.h>
#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Request class; a lower value is more urgent. Values are part of the wire format. */
enum class RequestClass : std::uint8_t {
    Urgent = 0,
    Normal = 1,
    Batch = 2,
};

constexpr std::size_t kRequestClassCount = 3;

std::string_view requestClassName(RequestClass requestClass);

/** 128-bit hash of the customer and content of a request. Equal requests have equal fingerprints,
 * whichever instance receives them. */
using Fingerprint = std::array<std::uint8_t, 16>;

/** Properties of a request that routing and admission use; holds no prompt text. */
struct RequestProfile
{
    RequestId id;
    CustomerId customer;
    ModelId model;
    AdapterId adapter;
    RequestClass requestClass = RequestClass::Normal;
    std::int64_t promptTokens = 0;
    std::int64_t maxNewTokens = 0;
    /** Time by which the whole answer must have been produced. */
    absl::Time deadline = absl::InfiniteFuture();
    /** Chained hashes of the prompt's leading blocks of kPrefixBlockTokens tokens, longest last. */
    std::vector<std::uint64_t> prefixBlocks;
    Fingerprint fingerprint {};
    /** Backend servers that died while running a request with this fingerprint. */
    std::uint32_t deathsSeen = 0;

    /** Tokens of engine memory that the request needs once its whole answer has been produced. */
    std::int64_t memoryTokens() const { return this->promptTokens + this->maxNewTokens; }
};

/** Tokens in one block of the prefix cache. */
constexpr std::int64_t kPrefixBlockTokens = 256;

/** Prompts longer than this are scheduled as long contexts. */
constexpr std::int64_t kLongPromptTokens = 32768;

} // namespace foxtailtally
