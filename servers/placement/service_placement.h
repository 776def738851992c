#pragma once

#include "servers/placement/server_health.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <span>

namespace foxtailtally {

/** A server of a plain service that may get a call. */
struct ServiceCandidate
{
    ServerKey server = 0;
    std::int64_t slots = 1;
    /** Calls of this instance in work there. */
    std::int64_t outstanding = 0;
    /** Running and waiting calls of all instances, as the server last told. */
    std::int64_t reported = 0;
    bool isSameDomain = false;
    /** Not to be chosen again for this call. */
    bool wasTried = false;
    bool exceedsColdRate = false;
    /** No connection to it came about lately. */
    bool isUnreachable = false;
};

/**
 * Chooses the server of a plain service with the lowest expected time: mean time of its recent
 * answers, more for calls already there and for a share of failed ones. Suspect servers come last.
 */
std::optional<std::size_t> chooseServiceServer(std::span<const ServiceCandidate> candidates,
                                               const ServerHealth &health, absl::Time now);

} // namespace foxtailtally
