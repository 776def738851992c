#pragma once

#include "core/ids.h"
#include "peers/platform/platform_types.h"
#include "servers/configuration/out_of_service_list.h"
#include "servers/configuration/release_note.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Snapshot of the documents in force and the platform's list, read through RCU by requests. */
struct ServingState
{
    ReleaseNote note;
    OutOfServiceList outOfServiceList;
    /** Plain services that are live, by service name. */
    absl::flat_hash_map<std::string, std::vector<InstanceEntry>> services;
    /** Customers by the hexadecimal digest of their API key. */
    absl::flat_hash_map<std::string, CustomerEntry> customersByDigest;

    /** Rebuilds customersByDigest from the note. */
    void indexCustomers();
    /** Null when no customer has the key @p apiKey. */
    const CustomerEntry *authenticate(std::string_view apiKey) const;
};

/** Lower-case hexadecimal BLAKE2b digest of an API key, as release notes hold it. */
std::string apiKeyDigest(std::string_view apiKey);

} // namespace foxtailtally
