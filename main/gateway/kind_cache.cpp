#include "main/gateway/kind_cache.h"

namespace foxtailtally {

void KindCache::replace(const std::vector<platform::StoredObject> &listed,
                        const StorePosition &listPosition)
{
    this->objects.clear();
    for (const platform::StoredObject &object : listed)
        this->objects[object.name] = object;
    this->clearLog();
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
        this->keep(change);
    }
    while (this->log.size() > kMaxKeptChanges || this->logBytes > this->maxKeptBytes)
        this->dropOldest();
}

std::size_t KindCache::LoggedChange::bytes() const
{
    return sizeof(LoggedChange) + this->change.object.name.size() + this->change.object.spec.size();
}

void KindCache::keep(const platform::ObjectChange &change)
{
    this->dropSuperseded(change.object.name);
    this->log.push_back({this->currentPosition.revision, change});
    this->logBytes += this->log.back().bytes();
}

void KindCache::dropSuperseded(const std::string &name)
{
    std::erase_if(this->log, [this, &name](const LoggedChange &logged) {
        const platform::StoredObject &object = logged.change.object;
        if (object.name != name || object.spec.size() <= kMaxSupersededBytes)
            return false;
        this->logBytes -= logged.bytes();
        return true;
    });
}

void KindCache::dropOldest()
{
    this->logStart = this->log.front().revision;
    this->logBytes -= this->log.front().bytes();
    this->log.pop_front();
}

void KindCache::clearLog()
{
    this->log.clear();
    this->logBytes = 0;
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
