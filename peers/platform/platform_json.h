#pragma once

#include "core/result.h"
#include "peers/platform/platform_types.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

/** JSON forms of the platform's entries; ProtocolViolation for malformed ones. */
nlohmann::json toJson(const InstanceEntry &entry);
Result<InstanceEntry> instanceFromJson(nlohmann::json value);

/** Answer to GET /v1/instances. */
Result<std::vector<InstanceEntry>> instanceListFromText(std::string_view text);

nlohmann::json toJson(const StoredObject &object);
Result<StoredObject> objectFromJson(nlohmann::json value);

} // namespace foxtailtally
