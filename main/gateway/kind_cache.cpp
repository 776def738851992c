#include "main/gateway/kind_cache.h"

namespace foxtailtally {

void KindCache::replace(const std::vector<platform::StoredObject> &listed,
                        std::int64_t listRevision)
{
    this->objects.clear();
    for (const platform::StoredObject &object : listed)
        this->objects[object.name] = object;
    this->log.clear();
    this->currentRevision = std::max(this->currentRevision, listRevision);
    this->logStart = this->currentRevision;
    this->lastChange = this->currentRevision;
    this->known = true;
}

void KindCache::apply(const std::vector<platform::ObjectChange> &changes, std::int64_t newRevision)
{
    this->currentRevision = std::max(this->currentRevision, newRevision);
    this->lastChange = this->currentRevision;
    for (const platform::ObjectChange &change : changes) {
        if (change.isDeleted)
            this->objects.erase(change.object.name);
        else
            this->objects[change.object.name] = change.object;
        this->log.push_back({this->currentRevision, change});
    }
    while (this->log.size() > kMaxKeptChanges) {
        this->logStart = this->log.front().revision;
        this->log.pop_front();
    }
}

platform::ObjectPage KindCache::page() const
{
    platform::ObjectPage page;
    page.revision = this->currentRevision;
    for (const auto &[name, object] : this->objects)
        page.objects.push_back(object);
    return page;
}

std::optional<platform::ObjectChanges> KindCache::changesSince(std::int64_t from) const
{
    if (from < this->logStart)
        return std::nullopt;
    // An instance that has read the store itself may be ahead of this one.
    platform::ObjectChanges changes;
    changes.revision = std::max(from, this->currentRevision);
    for (const LoggedChange &logged : this->log) {
        if (logged.revision > from)
            changes.changes.push_back(logged.change);
    }
    return changes;
}

} // namespace foxtailtally
