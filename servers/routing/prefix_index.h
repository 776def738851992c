#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace foxtailtally {

/** A group that caches the leading part of a prompt. */
struct PrefixHit
{
    /** Index of the group in PrefixIndex::groups(). */
    std::uint32_t slot = 0;
    /** Number of leading blocks of the prompt that the group caches, according to the index. */
    std::size_t blocks = 0;
};

using PrefixHits = absl::InlinedVector<PrefixHit, 8>;

/**
 * Bounded map from the hash of a prompt's leading blocks to the groups that cache them, fed by
 * cache hints. Hints may be late, lost or wrong, so an entry expires unless it is reported again.
 * The oldest block is evicted when the map is full.
 */
class PrefixIndex
{
public:
    /** Groups kept per block; a hint for a further group replaces the one that expires first. */
    static constexpr std::size_t kHoldersPerBlock = 4;
    /** Maximum number of groups; hints of further groups are ignored. */
    static constexpr std::size_t kMaxGroups = 4096;

    /** @p capacity is in blocks; a hint expires after @p lifetime unless it is repeated. */
    explicit PrefixIndex(std::size_t capacity = 65536, absl::Duration lifetime = absl::Seconds(60));

    void onStored(const GroupId &group, std::uint64_t block, absl::Time now);
    void onEvicted(const GroupId &group, std::uint64_t block);
    /** Removes all hints of @p group, for example when its servers have become cold. */
    void onGroupLost(const GroupId &group);

    /**
     * Groups that cache a leading part of @p blocks (chained hashes, longest prefix last). The
     * depth of the first hit is exact if a group caches every block above the deepest known one.
     * That of further groups is a lower bound, at least half of their actual depth.
     */
    PrefixHits lookup(std::span<const std::uint64_t> blocks, absl::Time now) const;

    std::span<const GroupId> groups() const { return this->groupIds; }
    std::size_t size() const { return this->entries.size(); }

private:
    struct Holder
    {
        std::uint32_t slot = 0;
        absl::Time expires;
    };
    using Holders = absl::InlinedVector<Holder, 2>;
    struct Entry
    {
        Holders holders;
        /** Distinguishes the entry of a block from an earlier one that was evicted since. */
        std::uint64_t generation = 0;
    };
    struct Arrival
    {
        std::uint64_t block = 0;
        std::uint64_t generation = 0;
    };

    bool isKnown(std::uint64_t block, absl::Time now) const;
    void collect(std::uint64_t block, std::size_t depth, absl::Time now, PrefixHits &hits) const;
    void evictOldest();

    std::size_t capacity;
    absl::Duration lifetime;
    std::uint64_t nextGeneration = 0;
    absl::flat_hash_map<std::uint64_t, Entry> entries;
    std::deque<Arrival> arrivals;
    std::vector<GroupId> groupIds;
    absl::flat_hash_map<GroupId, std::uint32_t> slots;
};

} // namespace foxtailtally
