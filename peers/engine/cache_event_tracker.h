#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** A change of an engine's prefix cache. */
struct EngineCacheEvent
{
    std::uint64_t sequence = 0;
    bool isStored = false;
    std::uint64_t block = 0;
};

/** A page of an engine's cache events. */
struct EngineCachePage
{
    /** Sequence of the oldest event that the engine still keeps; 0 when it keeps none. */
    std::uint64_t first = 0;
    /** Sequence up to which the page is complete as far as the engine knows. */
    std::uint64_t last = 0;
    std::vector<EngineCacheEvent> events;
};

/**
 * What is known of the blocks in one engine's prefix cache. Events are hints: after a gap all
 * knowledge is dropped and rebuilt from later events, since a missed eviction would otherwise
 * attract requests to blocks that are gone.
 */
class CacheEventTracker
{
public:
    /** @p maxBlocks bounds the memory; knowledge is dropped when it is exceeded. */
    explicit CacheEventTracker(std::size_t maxBlocks);

    /** Applies @p page; returns false when a gap was found. Old events are ignored. */
    bool apply(Incarnation incarnation, const EngineCachePage &page);
    /**
     * Compares with the number of blocks in a load report; drops all knowledge when the engine
     * holds fewer than half of the blocks known here, which shows a lost cache.
     */
    void onCachedBlocks(Incarnation incarnation, std::int64_t cachedBlocks);

    /** Number of leading blocks of @p blocks known to be cached. */
    std::size_t matchingBlocks(std::span<const std::uint64_t> blocks) const;
    /** Sequence to ask the engine for events after. */
    std::uint64_t position() const { return this->sequence; }
    std::uint64_t gaps() const { return this->gapCount; }
    std::size_t knownBlocks() const { return this->knownHashes.size(); }

private:
    void clear();

    std::size_t maxBlocks;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t gapCount = 0;
    absl::flat_hash_set<std::uint64_t> knownHashes;
};

} // namespace foxtailtally
