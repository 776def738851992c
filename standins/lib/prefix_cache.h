#pragma once

#include "core/random.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <vector>

namespace foxtailtally {

/** A change of an engine's prefix cache. */
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool isStored = false;
    std::uint64_t block = 0;
};

/** LRU cache of prompt blocks, with a log of changes that is delayed and may lose events. */
class PrefixCache
{
public:
    PrefixCache(absl::Duration eventDelay, double eventLoss);

    /** Number of leading blocks of @p blocks that are cached; marks these as recently used. */
    std::int64_t match(std::span<const std::uint64_t> blocks);
    /** Stores @p blocks as far as @p capacityBlocks allows, evicting the least recently used. */
    void store(std::span<const std::uint64_t> blocks, std::int64_t capacityBlocks, absl::Time now,
               Random &random);
    void shrink(std::int64_t capacityBlocks, absl::Time now, Random &random);
    /** Drops all blocks without recording events. */
    void clear();

    std::int64_t blocks() const { return static_cast<std::int64_t>(this->positions.size()); }
    /** Sequence of the newest event, including lost ones. */
    std::uint64_t lastSequence() const { return this->sequence; }
    /** Sequence of the oldest event that is still kept; 0 when there is none. */
    std::uint64_t firstSequence() const;
    /** Sequence of the newest kept event that is visible at @p now; 0 when there is none. */
    std::uint64_t lastVisible(absl::Time now) const;
    /** Kept events above @p after that are visible at @p now. */
    std::vector<CacheEvent> events(std::uint64_t after, absl::Time now) const;

private:
    struct LoggedEvent
    {
        CacheEvent event;
        absl::Time visibleAt;
    };

    /** Marks @p blocks as recently used; all of them must be cached. */
    void touch(std::span<const std::uint64_t> blocks);
    void recordEvent(bool isStored, std::uint64_t block, absl::Time now, Random &random);

    absl::Duration eventDelay;
    double eventLoss;
    std::list<std::uint64_t> lruOrder;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
    std::deque<LoggedEvent> eventLog;
    std::uint64_t sequence = 0;
};

} // namespace foxtailtally
