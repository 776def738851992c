#pragma once

#include <compare>
#include <cstdint>

namespace foxtailtally {

/**
 * A point in the history of the store. A store that was restored from an older copy starts a new
 * era: it lacks what it acknowledged after the copy was taken, and gives the same revisions out
 * again. So revisions order changes only within one era, and a later era comes after all positions
 * of the earlier ones.
 */
struct StorePosition
{
    /** Revision of a position before anything has been read. */
    static constexpr std::int64_t kNoRevision = -1;

    /** Number of restores; 0 for a store that does not count them. */
    std::int64_t era = 0;
    std::int64_t revision = kNoRevision;

    bool isKnown() const { return this->revision >= 0; }
    /** All changes up to @p other include those up to this position. False in another era, even in
     * a later one: its history may lack them. */
    bool isCoveredBy(const StorePosition &other) const
    {
        return this->isKnown() && this->era == other.era && this->revision <= other.revision;
    }
    auto operator<=>(const StorePosition &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace foxtailtally
