#pragma once

#include "core/result.h"
#include "servers/placement/stream_ledger.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** What one instance tells another of its load. */
struct LoadNotice
{
    std::string instance;
    /** Differs between the lives of an instance. */
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /** The store does not answer the instance. */
    bool hasLostStore = false;
    /** The parts of a stream follow each other, the one that writes first. */
    std::vector<StreamPart> parts;
    std::vector<ServerKey> suspects;
};

/** Largest datagram, in bytes; larger ones would be split on the way. */
inline constexpr std::size_t kMaxLoadDatagram = 8192;

/**
 * Datagram of at most kMaxLoadDatagram bytes; streams that find no room in it are left out. What
 * the parts of a stream have in common is written once, since a long prompt has up to 17 of them.
 */
std::string encodeLoad(const LoadNotice &notice, absl::Time now);
Result<LoadNotice> decodeLoad(std::span<const char> bytes, absl::Time now);

} // namespace foxtailtally
