#pragma once

#include "core/ids.h"
#include "core/request.h"

#include <absl/time/time.h>
#include <absl/types/span.h>
#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtailtally {

/** A key older than this is refused. */
constexpr absl::Duration kMaxKeyAge = absl::Minutes(10);
/** A key dated further in the future than this is refused; allows for inaccurate caller clocks. */
constexpr absl::Duration kMaxKeyLead = absl::Minutes(1);
/**
 * Time for which a claim is kept. Keys are accepted for at most kMaxKeyAge + kMaxKeyLead after
 * they are first accepted, so instances' clocks may differ by up to 4 minutes.
 */
constexpr absl::Duration kClaimRetention = absl::Minutes(15);

/** Date of a key of the form "<unix seconds>-<text>"; none when the key has another form. */
std::optional<absl::Time> keyDate(std::string_view key);

enum class KeyDateCheck {
    Accepted,
    /** The key has no date, so no instance can have accepted it. */
    Malformed,
    Expired,
    InFuture,
};

KeyDateCheck checkKeyDate(std::string_view key, absl::Time wallNow);

/** Digest of customer and key: the same key of two customers gives two digests. */
Fingerprint claimKeyDigest(const CustomerId &customer, std::string_view key);

/** Shard of a key; @p shardCount must be the same at all instances and above 0. */
std::uint32_t shardOf(const Fingerprint &key, std::uint32_t shardCount);

/** Instance that batches the claims of @p shard; an empty id when no instance is live. */
InstanceId shardCollector(std::uint32_t shard, absl::Span<const InstanceId> live);

} // namespace foxtailtally
