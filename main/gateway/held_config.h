#pragma once

#include "platform/store_objects.h"
#include "servers/catalog/serving_config.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/**
 * The configuration in force. Versions order configurations and never go back while this process
 * runs: a restored store shows an older version at a later position, or none, until the operator
 * has written the lost one again.
 */
class HeldConfig
{
public:
    enum class Outcome {
        Adopted,
        /** It is in force already. */
        Unchanged,
        /** The object showed an older version, and now holds the one in force. */
        Retained,
        Unreadable,
    };

    /** @p object: what the store, or another instance, holds as the configuration. */
    Outcome adopt(platform::StoredObject &object);
    /** Adds the configuration in force to @p objects, a list that lacks it. */
    void addIfMissing(std::vector<platform::StoredObject> &objects);
    /** The store no longer has the configuration: turns the change into one to that in force. */
    void onDeleted(platform::ObjectChange &change);

    const std::shared_ptr<const ServingConfig> &config() const { return this->current; }
    /** 0 before one has been adopted. */
    std::int64_t version() const { return this->current ? this->current->version() : 0; }
    /** The store showed the configuration in force when it was last read. */
    bool isShown() const { return this->shown; }

private:
    /** Replaces @p object, so that instances that list it here get the version in force. */
    void retain(platform::StoredObject &object);

    std::shared_ptr<const ServingConfig> current;
    /** Content of the object from which it was decoded. */
    std::string spec;
    bool shown = false;
};

} // namespace foxtailtally
