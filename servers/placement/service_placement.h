#pragma once

#include "servers/placement/server_health.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <span>

namespace foxtailtally {

/** A server of a plain service to which a call may be sent. */
struct ServiceCandidate
{
    ServerKey server = 0;
    std::int64_t slots = 1;
    /** Calls of this instance in flight at the server. */
    std::int64_t outstanding = 0;
    /** Running and waiting calls of all instances, as last reported by the server. */
    std::int64_t reportedCalls = 0;
    bool isSameDomain = false;
    /** Not to be chosen again for this call. */
    bool wasTried = false;
    /** It may take no further call now because it is cold. */
    bool exceedsColdRate = false;
    /** Recent connections to it have failed. */
    bool isUnreachable = false;
    /** It has a rate limit, so the call needs a token. */
    bool isLimited = false;
    /** No token of it is expected in time. */
    bool lacksToken = false;
};

/**
 * Chooses the server of a plain service with the lowest expected response time: the average of its
 * recent responses, raised for calls already there, for the share of failed calls and for a rate
 * limit. Suspected and unreachable servers come last.
 */
std::optional<std::size_t> chooseServiceServer(std::span<const ServiceCandidate> candidates,
                                               const ServerHealth &health, absl::Time now);

} // namespace foxtailtally
