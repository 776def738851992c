#include "main/gateway/kind_cache.h"

namespace foxtailtally {

void KindCache::replace(const std::vector<platform::StoredObject> &listed,
                        const StorePosition &listPosition)
{
    this->objects.clear();
    for (const platform::StoredObject &object : listed)
        this->objects[object.name] = object;
    this->log.clear();
    this->currentPosition = std::max(this->currentPosition, listPosition);
    this->logStart = this->currentPosition.revision;
    this->lastChange = this->currentPosition;
    this->known = true;
}

void KindCache::apply(const std::vector<platform::ObjectChange> &changes,
                      const StorePosition &newPosition)
{
    this->currentPosition = std::max(this->currentPosition, newPosition);
    this->lastChange = this->currentPosition;
    for (const platform::ObjectChange &change : changes) {
        if (change.isDeleted)
            this->objects.erase(change.object.name);
        else
            this->objects[change.object.name] = change.object;
        this->log.push_back({this->currentPosition.revision, change});
    }
    while (this->log.size() > kMaxKeptChanges) {
        this->logStart = this->log.front().revision;
        this->log.pop_front();
    }
}

platform::ObjectPage KindCache::page() const
{
    platform::ObjectPage page;
    page.revision = this->currentPosition.revision;
    for (const auto &[name, object] : this->objects)
        page.objects.push_back(object);
    return page;
}

std::optional<platform::ObjectChanges> KindCache::changesSince(const StorePosition &from) const
{
    if (from.era != this->currentPosition.era || from.revision < this->logStart)
        return std::nullopt;
    // An instance that has read the store itself may be ahead of this one.
    platform::ObjectChanges changes;
    changes.revision = std::max(from.revision, this->currentPosition.revision);
    for (const LoggedChange &logged : this->log) {
        if (logged.revision > from.revision)
            changes.changes.push_back(logged.change);
    }
    return changes;
}

} // namespace foxtailtally
