#pragma once

#include "core/backend_server.h"
#include "servers/admission/cold_start_ramp.h"
#include "servers/admission/memory_ledger.h"
#include "servers/admission/start_predictor.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <algorithm>
#include <cstdint>
#include <memory>

namespace foxtailtally {

/** State that the owner of a group keeps for one of its backend servers. */
struct ServerSlot
{
    ServerSlot(BackendServer listed, const StartPredictor &initial, absl::Time since)
        : server(std::move(listed))
        , ramp(server.coldLimit, server.warmLimit)
        , predictor(initial)
        , reportNeededFrom(since)
    { }

    BackendServer server;
    MemoryLedger ledger;
    ColdStartRamp ramp;
    StartPredictor predictor;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    /** Only a report taken at this time or later makes the server usable. */
    absl::Time reportNeededFrom;
    bool hasReport = false;
    /** This owner's part of the server's cold limit. */
    std::int64_t coldUnits = 0;

    bool isUsable() const { return this->hasReport && !this->server.leaving; }

    /** Concurrent requests that this owner may have on the server: its part of the ramp's limit. */
    std::int64_t concurrencyLimit() const
    {
        const std::int64_t whole = std::max<std::int64_t>(this->ramp.coldLimit(), 1);
        return this->ramp.limit() * std::min(this->coldUnits, whole) / whole;
    }
    bool hasFreeUnit() const { return this->ledger.requests() < this->concurrencyLimit(); }
};

using ServerSlots = absl::btree_map<BackendServerId, std::unique_ptr<ServerSlot>>;

} // namespace foxtailtally
