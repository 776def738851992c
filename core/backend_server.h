#pragma once

#include "core/ids.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>

namespace foxtailtally {

/** What the platform's list says of one backend server that runs a model engine. */
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
    /** Requests that the engine bears at once while it is cold. */
    std::int64_t coldLimit = 1;
    /** Requests that the engine bears at once when it is warm. */
    std::int64_t warmLimit = 32;
    /** The platform lists the server as leaving; it gets no new work. */
    bool leaving = false;
};

/** One load report of an engine. Reports arrive late, so each carries its age. */
struct LoadReport
{
    BackendServerId server;
    Incarnation incarnation = 0;
    /** Rises with each report of one incarnation. */
    std::uint64_t sequence = 0;
    /** Time between taking the report and receiving it, as bounded by the receiver. */
    absl::Duration age = absl::ZeroDuration();
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t heldTokens = 0;
    std::int64_t cachedBlocks = 0;
    bool warm = false;
};

} // namespace foxtailtally
