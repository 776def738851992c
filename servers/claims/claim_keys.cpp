#include "servers/claims/claim_keys.h"

#include "core/hash.h"
#include "core/text.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <string>

namespace foxtailtally {

namespace {

/** Digits of a date; the year 2286 has 11. */
constexpr std::size_t kMaxDateDigits = 12;

std::string_view bytesOf(const Fingerprint &digest)
{
    return {reinterpret_cast<const char *>(digest.data()), digest.size()};
}

} // namespace

std::optional<absl::Time> keyDate(std::string_view key)
{
    const std::size_t dash = key.find('-');
    if (dash == std::string_view::npos || dash == 0 || dash > kMaxDateDigits
        || dash + 1 == key.size())
        return std::nullopt;
    const std::string_view digits = key.substr(0, dash);
    std::int64_t seconds = 0;
    if (digits.find_first_not_of("0123456789") != std::string_view::npos
        || !absl::SimpleAtoi(asAbsl(digits), &seconds))
        return std::nullopt;
    return absl::FromUnixSeconds(seconds);
}

KeyDateCheck checkKeyDate(std::string_view key, absl::Time wallNow)
{
    const auto date = keyDate(key);
    if (!date)
        return KeyDateCheck::Malformed;
    if (*date < wallNow - kMaxKeyAge)
        return KeyDateCheck::Expired;
    return *date > wallNow + kMaxKeyLead ? KeyDateCheck::InFuture : KeyDateCheck::Accepted;
}

Fingerprint claimKeyDigest(const CustomerId &customer, std::string_view key)
{
    std::string text = customer.str();
    text.push_back('\0');
    text.append(key);
    return fingerprintOf(text);
}

std::uint32_t shardOf(const Fingerprint &key, std::uint32_t shardCount)
{
    return static_cast<std::uint32_t>(stableHash(bytesOf(key)) % std::max(1U, shardCount));
}

InstanceId shardCollector(std::uint32_t shard, absl::Span<const InstanceId> live)
{
    const std::string key = "claims/" + std::to_string(shard);
    const auto best = std::max_element(
        live.begin(), live.end(), [&key](const InstanceId &left, const InstanceId &right) {
            const std::uint64_t leftWeight = rendezvousWeight(key, left.str());
            const std::uint64_t rightWeight = rendezvousWeight(key, right.str());
            return leftWeight != rightWeight ? leftWeight < rightWeight : left < right;
        });
    return best == live.end() ? InstanceId() : *best;
}

} // namespace foxtailtally
