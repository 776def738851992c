#include "core/hash.h"

#include "core/text.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <sodium.h>
#include <xxhash.h>

namespace foxtailtally {

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

Fingerprint fingerprintOf(std::string_view data)
{
    Fingerprint digest {};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(data.data()), data.size(), nullptr,
                       0);
    return digest;
}

Fingerprint fingerprintOf(std::span<const std::string_view> parts)
{
    crypto_generichash_state state;
    Fingerprint digest {};
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    for (const std::string_view part : parts) {
        const std::uint64_t size = part.size();
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&size),
                                  sizeof size);
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part.data()),
                                  part.size());
    }
    crypto_generichash_final(&state, digest.data(), digest.size());
    return digest;
}

std::string fingerprintText(const Fingerprint &fingerprint)
{
    return absl::BytesToHexString(
        {reinterpret_cast<const char *>(fingerprint.data()), fingerprint.size()});
}

bool parseFingerprint(std::string_view text, Fingerprint &fingerprint)
{
    const bool isHexadecimal = text.size() == 2 * fingerprint.size()
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (!isHexadecimal)
        return false;
    const std::string bytes = absl::HexStringToBytes(asAbsl(text));
    std::copy(bytes.begin(), bytes.end(), fingerprint.begin());
    return true;
}

} // namespace foxtailtally
