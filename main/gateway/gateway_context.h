#pragma once

#include "core/clock.h"
#include "core/metrics.h"
#include "core/random.h"
#include "main/gateway/body_queue.h"
#include "main/gateway/gateway_settings.h"
#include "main/gateway/instance_exchange.h"
#include "main/gateway/limit_exchange.h"
#include "peers/http/connection_pool.h"
#include "servers/account/request_account.h"
#include "servers/catalog/config_freshness.h"
#include "servers/catalog/server_directory.h"
#include "servers/catalog/serving_config.h"
#include "servers/catalog/store_source.h"
#include "servers/limits/sent_requests.h"
#include "servers/memory/memory_budget.h"
#include "servers/memory/response_memory.h"
#include "servers/placement/reachability.h"
#include "servers/placement/server_health.h"
#include "servers/placement/stream_ledger.h"
#include "servers/quarantine/quarantine.h"
#include "servers/quarantine/suspect_part_runs.h"
#include "servers/quarantine/unconfirmed_losses.h"
#include "servers/retry/connection_reuse.h"
#include "servers/retry/hedge_policy.h"
#include "servers/retry/retry_after_policy.h"
#include "servers/retry/retry_budget.h"
#include "servers/retry/stop_policy.h"
#include "servers/scaling/demand_meter.h"
#include "servers/usage/usage_counter.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <vector>

struct event_base;

namespace foxtailtally {

/** What this instance has observed of one server, apart from its health. */
struct ServerActivity
{
    /** Calls of this instance in flight at the server. */
    std::int64_t outstanding = 0;
    /** Those of them that may crash the server: sent with SuspectRun::Early and SuspectRun::Last.
     */
    std::int64_t earlySuspects = 0;
    std::int64_t lastSuspects = 0;
    /** Running and queued calls of all instances, as the server last reported, and when it did. */
    std::int64_t reportedCalls = 0;
    absl::Time reportedAt = absl::InfinitePast();
    absl::Time lastByteAt = absl::InfinitePast();
    /** Calls sent in the second that began at secondStartedAt. */
    std::int64_t sentInSecond = 0;
    absl::Time secondStartedAt = absl::InfinitePast();
    SentRequests sent;
    /** Shortest gap between two events of a stream since the slowdown was last estimated, and the
     * number of gaps since then. */
    double shortestEventGapMs = 0;
    int eventGaps = 0;
};

/** Object whose destruction is deferred until the callbacks in progress have returned. */
class Retirable
{
public:
    Retirable() = default;
    virtual ~Retirable() = default;
    Retirable(const Retirable &) = delete;
    Retirable &operator=(const Retirable &) = delete;
};

/** Retired object that is kept alive for a while so that its connection can finish sending. */
struct Lingering
{
    std::unique_ptr<Retirable> object;
    absl::Time since;
};

/** Opens connections to servers to find out whether they go on. */
class ProcessProber
{
public:
    virtual ~ProcessProber() = default;
    /** Opens a connection to @p server at once. */
    virtual void probe(ServerKey server, absl::Time now) = 0;
};

/** State shared by all calls of a gateway; used from its loop only. */
struct GatewayContext
{
    GatewayContext(event_base *base, const GatewaySettings &settings)
        : base(base)
        , settings(settings)
        , freshness(settings.revocationBound)
        , directory(settings.drainBound)
        , quarantine(settings.quarantine)
        , retries(settings.retries)
        , hedges(settings.hedging)
        , stop(settings.stopLimit)
        , memory(settings.memoryBytes)
        , responses(this->memory)
        , bodies(base, this->memory)
        , pool(base, this->memory)
        , storeSource(instanceRecord(settings))
        , exchange(base, instanceRecord(settings), this->ledger, this->health, this->quarantine,
                   this->storeSource, this->metrics)
        , limits(base, instanceRecord(settings), this->exchange, this->directory, this->metrics)
        , random(stableSeed(settings))
        , tickedAt(Clock::now())
    {
        this->quarantine.holdTrials(this->tickedAt + kTrialTimeout);
    }

    static std::uint64_t stableSeed(const GatewaySettings &settings);

    void onTick(absl::Time now);
    /** Data that is read at @p now has arrived since then: what had arrived before a pause of the
     * process is read late. */
    absl::Time inputSince(absl::Time now) const;

    event_base *base;
    GatewaySettings settings;
    /** Null until the first configuration is known. */
    std::shared_ptr<const ServingConfig> config;
    /** When a configuration last took the place of an earlier one. */
    absl::Time configChangedAt = absl::InfinitePast();
    ConfigFreshness freshness;
    ServerDirectory directory;
    StreamLedger ledger;
    ServerHealth health;
    Reachability reachability;
    Quarantine quarantine;
    RetryBudget retries;
    HedgePolicy hedges;
    SpacedRetryAfter retryAfterPolicy;
    StopPolicy stop;
    MemoryBudget memory;
    ResponseMemory responses;
    BodyQueue bodies;
    ConnectionPool pool;
    ConnectionReuse connectionReuse {ConnectionPool::kMaxIdleTime};
    StoreSource storeSource;
    InstanceExchange exchange;
    Metrics metrics;
    RequestAccount requests;
    LimitExchange limits;
    Random random;
    absl::flat_hash_map<ServerKey, ServerActivity> activity;
    SuspectPartRuns suspectPartRuns;
    UnconfirmedLosses unconfirmedLosses;
    /** Null where there is none. */
    ProcessProber *prober = nullptr;
    /** Null in a deployment without a control API. */
    UsageCounter *usage = nullptr;
    DemandMeter *demand = nullptr;
    /** Destroyed at the next tick. */
    std::vector<std::unique_ptr<Retirable>> retired;
    std::vector<Lingering> lingeringObjects;
    absl::Time tickedAt;
    /** The tick before the last one if the process was paused in between; else InfiniteFuture. */
    absl::Time pausedSince = absl::InfiniteFuture();
    std::uint32_t nextStreamId = 1;
};

} // namespace foxtailtally
