#pragma once

#include "peers/http/http_client.h"
#include "peers/platform/platform_client.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Looks up what the other engines of a group hold under a reservation. Blocking. */
class GroupReservations
{
public:
    /** @p self is the engine's own entry; its group names the others. */
    GroupReservations(std::shared_ptr<HttpClient> http, PlatformAccess platform,
                      InstanceEntry self);

    /**
     * Sum of the tokens held under @p reservation by the group's other engines. An engine that
     * refuses connections holds nothing; one that gives no answer counts with what it last held.
     */
    std::int64_t tokensOnOtherEngines(const std::string &reservation);

private:
    std::int64_t heldBy(const InstanceEntry &engine, const std::string &reservation);

    std::shared_ptr<HttpClient> http;
    PlatformClient platform;
    InstanceEntry self;
    std::string token;
    /** Last list that the platform gave; used while the platform is unavailable. */
    std::vector<InstanceEntry> entries;
    absl::flat_hash_map<std::string, std::int64_t> lastHeld;
};

} // namespace foxtailtally
