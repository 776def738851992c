#include "main/gateway/held_config.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

HeldConfig::Outcome HeldConfig::adopt(platform::StoredObject &object)
{
    if (this->current && object.spec == this->spec) {
        this->shown = !object.isRetained;
        return Outcome::Unchanged;
    }
    Result<std::shared_ptr<const ServingConfig>> config = platform::decodeConfig(object.spec);
    if (!config.ok())
        return Outcome::Unreadable;
    if (this->current && (*config)->version() < this->current->version()) {
        this->retain(object);
        return Outcome::Retained;
    }
    this->shown = !object.isRetained;
    this->spec = object.spec;
    this->current = std::move(*config);
    return Outcome::Adopted;
}

void HeldConfig::addIfMissing(std::vector<platform::StoredObject> &objects)
{
    const bool isListed =
        std::any_of(objects.begin(), objects.end(), [](const platform::StoredObject &object) {
            return object.name == platform::kConfigName;
        });
    if (!isListed && this->current)
        this->retain(objects.emplace_back());
}

void HeldConfig::onDeleted(platform::ObjectChange &change)
{
    if (!this->current)
        return;
    change.isDeleted = false;
    this->retain(change.object);
}

void HeldConfig::retain(platform::StoredObject &object)
{
    this->shown = false;
    object.name = platform::kConfigName;
    object.spec = this->spec;
    object.isRetained = true;
}

} // namespace foxtailtally
