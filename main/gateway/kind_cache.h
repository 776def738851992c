#pragma once

#include "platform/store_objects.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
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

    void replace(const std::vector<platform::StoredObject> &listed, std::int64_t listRevision);
    void apply(const std::vector<platform::ObjectChange> &changes, std::int64_t newRevision);
    /** Nothing has changed up to @p newRevision. */
    void advance(std::int64_t newRevision)
    {
        this->currentRevision = std::max(this->currentRevision, newRevision);
    }
    void confirm(absl::Time moment) { this->confirmedAt = std::max(this->confirmedAt, moment); }

    /** False until the kind has been listed. */
    bool isKnown() const { return this->known; }
    /** All changes up to this revision are known. */
    std::int64_t revision() const { return this->currentRevision; }
    /** Revision of the last list, or of the last change since. */
    std::int64_t contentRevision() const { return this->lastChange; }
    absl::Time lastConfirmedAt() const { return this->confirmedAt; }
    absl::Duration age(absl::Time now) const { return now - this->confirmedAt; }
    platform::ObjectPage page() const;
    /** Changes after @p from; nothing when they are no longer kept. */
    std::optional<platform::ObjectChanges> changesSince(std::int64_t from) const;

private:
    struct LoggedChange
    {
        std::int64_t revision = 0;
        platform::ObjectChange change;
    };

    absl::btree_map<std::string, platform::StoredObject> objects;
    std::deque<LoggedChange> log;
    std::int64_t currentRevision = 0;
    std::int64_t lastChange = 0;
    /** Changes after this revision are in the log. */
    std::int64_t logStart = 0;
    absl::Time confirmedAt = absl::InfinitePast();
    bool known = false;
};

} // namespace foxtailtally
