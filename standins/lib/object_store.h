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
 * Versioned objects with conditional updates. Versions are numbers of one sequence over all
 * objects, so an object that is deleted and made again has a higher version than before.
 */
class ObjectStore
{
public:
    /** StoreNotFound when absent. */
    Result<StoredObject> get(std::string_view key) const;
    /** Version of the object, or kAbsentVersion. */
    std::uint64_t version(std::string_view key) const;
    /**
     * Writes when the current version is @p expected. Returns the new version, StoreConflict or
     * StoreValueTooLarge.
     */
    Result<std::uint64_t> put(std::string_view key, std::string value, std::uint64_t expected);
    /** Deletes when the current version is @p expected, which must exist. */
    Result<std::uint64_t> remove(std::string_view key, std::uint64_t expected);
    /** Objects after @p after whose key starts with @p prefix, of at most @p maxBytes or one. */
    ObjectPage list(std::string_view prefix, std::string_view after, std::size_t maxBytes) const;

    std::size_t size() const { return this->objects.size(); }
    std::uint64_t revision() const { return this->lastVersion; }

private:
    absl::btree_map<std::string, StoredObject> objects;
    std::uint64_t lastVersion = 0;
};

} // namespace foxtailtally
