#include "standins/lib/object_store.h"

#include <utility>

namespace foxtailtally {

Result<StoredObject> ObjectStore::get(std::string_view key) const
{
    const auto found = this->objects.find(std::string(key));
    if (found == this->objects.end()) {
        return Error::StoreNotFound;
    }
    return found->second;
}

std::uint64_t ObjectStore::version(std::string_view key) const
{
    const auto found = this->objects.find(std::string(key));
    return found == this->objects.end() ? kAbsentVersion : found->second.version;
}

Result<std::uint64_t> ObjectStore::put(std::string_view key, std::string value,
                                       std::uint64_t expected)
{
    if (value.size() > kMaxObjectBytes) {
        return Error::StoreValueTooLarge;
    }
    if (this->version(key) != expected) {
        return Error::StoreConflict;
    }
    const std::uint64_t version = ++this->lastVersion;
    this->objects[std::string(key)] = {std::string(key), version, std::move(value)};
    return version;
}

Result<std::uint64_t> ObjectStore::remove(std::string_view key, std::uint64_t expected)
{
    if (expected == kAbsentVersion || this->version(key) != expected) {
        return Error::StoreConflict;
    }
    this->objects.erase(std::string(key));
    return ++this->lastVersion;
}

ObjectPage ObjectStore::list(std::string_view prefix, std::string_view after,
                             std::size_t maxBytes) const
{
    ObjectPage page;
    std::size_t bytes = 0;
    auto object = after < prefix ? this->objects.lower_bound(std::string(prefix))
                                 : this->objects.upper_bound(std::string(after));
    for (; object != this->objects.end() && object->first.starts_with(prefix); ++object) {
        bytes += object->first.size() + object->second.value.size();
        if (bytes > maxBytes && !page.items.empty()) {
            page.more = true;
            break;
        }
        page.items.push_back(object->second);
    }
    return page;
}

} // namespace foxtailtally
