#pragma once

#include "core/request.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Stable 64-bit hash, equal on all instances and versions. */
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/** Weight of @p candidate for @p key in rendezvous hashing; the highest weight wins. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/** 128-bit unkeyed digest (BLAKE2b) of @p data. */
Fingerprint fingerprintOf(std::string_view data);

/** Digest of several texts in order. It covers the length of each text, so the same bytes split at
 * other positions have another digest. */
Fingerprint fingerprintOf(std::span<const std::string_view> parts);

/** Hexadecimal digits of @p fingerprint. */
std::string fingerprintText(const Fingerprint &fingerprint);
/** Parses the output of fingerprintText(); returns false if @p text is anything else. */
bool parseFingerprint(std::string_view text, Fingerprint &fingerprint);

} // namespace foxtailtally
