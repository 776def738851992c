#pragma once

#include "core/result.h"
#include "peers/platform/platform_types.h"

#include <absl/container/btree_map.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** A page of a listing. */
struct ObjectPage
{
    std::vector<StoredObject> items;
    bool more = false;
};

/**
 * Versioned objects with conditional updates. All objects share one version counter, so an object
 * that is deleted and created again has a higher version than before.
 */
class ObjectStore
{
public:
    /** StoreNotFound if there is no such object. */
    Result<StoredObject> get(std::string_view key) const;
    /** Version of the object, or kAbsentVersion. */
    std::uint64_t version(std::string_view key) const;
    /**
     * Writes if the current version is @p expected. Returns the new version, StoreConflict or
     * StoreValueTooLarge.
     */
    Result<std::uint64_t> put(std::string_view key, std::string value, std::uint64_t expected);
    /** Deletes if the object exists with version @p expected; otherwise StoreConflict. */
    Result<std::uint64_t> remove(std::string_view key, std::uint64_t expected);
    /**
     * Objects whose key starts with @p prefix and is above @p after, up to @p maxBytes in total but
     * at least one.
     */
    ObjectPage list(std::string_view prefix, std::string_view after, std::size_t maxBytes) const;

    std::size_t size() const { return this->objects.size(); }
    std::uint64_t revision() const { return this->lastVersion; }

private:
    absl::btree_map<std::string, StoredObject> objects;
    std::uint64_t lastVersion = 0;
};

} // namespace foxtailtally
