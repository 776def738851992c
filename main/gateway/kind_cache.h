#pragma once

#include "platform/store_objects.h"
#include "servers/catalog/store_position.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Local copy of the store's objects of one kind, with recent changes for other instances. */
class KindCache
{
public:
    /** Changes that are kept for other instances; one that lags further behind must list again. */
    static constexpr std::size_t kMaxKeptChanges = 256;
    /** Longest content of a change that is kept although a later one has replaced it; only
     * configurations are longer, and each holds the whole state. */
    static constexpr std::size_t kMaxSupersededBytes = std::size_t {16} << 10;

    /** @p maxKeptBytes: memory for the kept changes. The objects themselves are always kept. */
    explicit KindCache(std::size_t maxKeptBytes)
        : maxKeptBytes(maxKeptBytes)
    { }

    /** @p listed: the objects at @p listPosition; a list of a later era replaces all that is held
     * from an earlier one. */
    void replace(const std::vector<platform::StoredObject> &listed,
                 const StorePosition &listPosition);
    /** @p changes and @p newPosition are of the era that is held. */
    void apply(const std::vector<platform::ObjectChange> &changes,
               const StorePosition &newPosition);
    /** Nothing has changed up to @p newPosition, in the era that is held. */
    void advance(const StorePosition &newPosition)
    {
        this->currentPosition = std::max(this->currentPosition, newPosition);
    }
    void confirm(absl::Time moment) { this->confirmedAt = std::max(this->confirmedAt, moment); }

    /** False until the kind has been listed. */
    bool isKnown() const { return this->known; }
    /** All changes up to this position are known. */
    const StorePosition &position() const { return this->currentPosition; }
    /** Position of the last list, or of the last change since. */
    const StorePosition &contentPosition() const { return this->lastChange; }
    absl::Time lastConfirmedAt() const { return this->confirmedAt; }
    absl::Duration age(absl::Time now) const { return now - this->confirmedAt; }
    platform::ObjectPage page() const;
    /** Changes after @p from; nothing when they are no longer kept or @p from is of another era. */
    std::optional<platform::ObjectChanges> changesSince(const StorePosition &from) const;
    /** Memory of the kept changes, in bytes. */
    std::size_t keptBytes() const { return this->logBytes; }

private:
    struct LoggedChange
    {
        std::int64_t revision = 0;
        platform::ObjectChange change;

        std::size_t bytes() const;
    };

    void keep(const platform::ObjectChange &change);
    void dropSuperseded(const std::string &name);
    void dropOldest();
    void clearLog();

    std::size_t maxKeptBytes;

    absl::btree_map<std::string, platform::StoredObject> objects;
    std::deque<LoggedChange> log;
    std::size_t logBytes = 0;
    StorePosition currentPosition;
    StorePosition lastChange;
    /** Changes after this revision of the current era are in the log. */
    std::int64_t logStart = 0;
    absl::Time confirmedAt = absl::InfinitePast();
    bool known = false;
};

} // namespace foxtailtally
