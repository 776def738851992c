#pragma once

#include "core/ids.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>

namespace foxtailtally {

/** Entry of the platform's list for one backend server that runs a model engine. */
struct BackendServer
{
    BackendServerId id;
    GroupId group;
    FailureDomainId domain;
    ModelId model;
    /** "ip:port" of the engine's HTTP interface. */
    std::string address;
    /** Tokens of KV cache that the engine can hold. */
    std::int64_t memoryTokens = 0;
    /** Concurrent requests that the engine can run while it is cold. */
    std::int64_t coldLimit = 1;
    /** Concurrent requests that the engine can run when it is warm. */
    std::int64_t warmLimit = 32;
    /** The platform lists the server as leaving; it gets no new requests. */
    bool leaving = false;
};

/** One load report of an engine. Reports arrive late, so each carries its age. */
struct LoadReport
{
    BackendServerId server;
    Incarnation incarnation = 0;
    /** Increases with each report of one incarnation. */
    std::uint64_t sequence = 0;
    /** Upper bound, set by the receiver, of the time between taking and receiving the report. */
    absl::Duration age = absl::ZeroDuration();
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t heldTokens = 0;
    std::int64_t cachedBlocks = 0;
    bool warm = false;
};

} // namespace foxtailtally
