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
    /** Sequence of the oldest event that the engine still keeps; 0 if it keeps none. */
    std::uint64_t first = 0;
    /** Sequence up to which the engine considers the page complete. */
    std::uint64_t last = 0;
    std::vector<EngineCacheEvent> events;
};

/**
 * Tracks which blocks one engine's prefix cache holds, from its cache events. Events may be lost:
 * after a gap all known blocks are dropped and learned again from later events, since a missed
 * eviction would otherwise attract requests to blocks that are no longer cached.
 */
class CacheEventTracker
{
public:
    /** @p maxBlocks bounds the memory; all known blocks are dropped if there are more. */
    explicit CacheEventTracker(std::size_t maxBlocks);

    /** Applies @p page; false if there was a gap. Events already applied are ignored. */
    bool apply(Incarnation incarnation, const EngineCachePage &page);
    /**
     * Compares the number of blocks in a load report with the known blocks. Drops all known blocks
     * if the engine holds fewer than half as many, since it has then lost its cache.
     */
    void onCachedBlocks(Incarnation incarnation, std::int64_t cachedBlocks);

    /** Number of leading blocks of @p blocks known to be cached. */
    std::size_t matchingBlocks(std::span<const std::uint64_t> blocks) const;
    /** Sequence of the last applied event; the next page starts after it. */
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
