#pragma once

#include "peers/http/http_client.h"
#include "peers/platform/platform_client.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Queries the tokens that other engines of a group hold under a reservation. Blocking. */
class GroupReservations
{
public:
    /** @p self is the engine's own entry; its group determines the other engines. */
    GroupReservations(std::shared_ptr<HttpClient> http, PlatformAccess platform,
                      InstanceEntry self);

    /**
     * Sum of the tokens that the group's other engines hold under @p reservation. An engine that
     * refuses connections counts as 0; for one that does not respond the last known value is used.
     */
    std::int64_t tokensOnOtherEngines(const std::string &reservation);

private:
    std::int64_t heldBy(const InstanceEntry &engine, const std::string &reservation);

    std::shared_ptr<HttpClient> http;
    PlatformClient platform;
    InstanceEntry self;
    std::string token;
    /** Last list received from the platform; used while the platform is unavailable. */
    std::vector<InstanceEntry> entries;
    absl::flat_hash_map<std::string, std::int64_t> lastHeld;
};

} // namespace foxtailtally
