#include "core/hash.h"

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

} // namespace foxtailtally
