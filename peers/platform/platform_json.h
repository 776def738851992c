#pragma once

#include "core/result.h"
#include "peers/platform/platform_types.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

/** JSON encoding of the platform's types; decoding fails with ProtocolViolation. */
nlohmann::json toJson(const InstanceEntry &entry);
Result<InstanceEntry> instanceFromJson(nlohmann::json value);

/** Parses the response body of GET /v1/instances. */
Result<std::vector<InstanceEntry>> instanceListFromText(std::string_view text);

nlohmann::json toJson(const StoredObject &object);
Result<StoredObject> objectFromJson(nlohmann::json value);

} // namespace foxtailtally
