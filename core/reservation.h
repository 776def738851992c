#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/request.h"

#include <absl/time/time.h>
#include <array>
#include <cstdint>
#include <vector>

namespace foxtailtally {

/** Number of a permit; unique within one incarnation of its owner. */
using PermitId = std::uint64_t;

/** Right to run one request on the named backend servers. */
struct Grant
{
    RequestId request;
    PermitId permit = 0;
    /** The first server takes the request; the others hold parts of a long context. */
    std::vector<BackendServerId> servers;
    /** Time, counted from when the entry instance asked for the grant, within which it must send
     * the request to the server. */
    absl::Duration startBy = absl::Seconds(1);
};

/** How the use of a permit ended. Values are part of the wire format. */
enum class PermitOutcome : std::uint8_t {
    Finished = 0,
    Cancelled = 1,
    NotStarted = 2,
    ServerLost = 3,
    ServerRefused = 4,
};

/** Message that ends a permit. */
struct PermitRelease
{
    PermitId permit = 0;
    PermitOutcome outcome = PermitOutcome::Finished;
    /** Time from sending the request to the engine to its first token; zero when none came. */
    absl::Duration timeToFirstToken = absl::ZeroDuration();
    std::int64_t newTokens = 0;
};

/** State of a group that its owner publishes to the other instances. */
struct GroupSummary
{
    GroupId group;
    FailureDomainId domain;
    ModelId model;
    InstanceId owner;
    Incarnation ownerIncarnation = 0;
    /** Increases with each summary of one owner incarnation. */
    std::uint64_t sequence = 0;
    /** Predicted wait of a new request before it starts, by request class. */
    std::array<absl::Duration, kRequestClassCount> startDelay {};
    /** Memory of the group's servers that no permit holds. */
    std::int64_t freeTokens = 0;
    /** Largest context that the group can hold when empty. */
    std::int64_t capacityTokens = 0;
    /** Prompt tokens granted or waiting that have not been prefilled. */
    std::int64_t outstandingTokens = 0;
    std::int32_t running = 0;
    std::int32_t queued = 0;
    std::int32_t servers = 0;
    /** Measured prefill rate of one server, in prompt tokens per second. */
    double prefillRate = 0;
    /** False while the group is leaving, out of service or being taken over. */
    bool accepting = false;
};

} // namespace foxtailtally
