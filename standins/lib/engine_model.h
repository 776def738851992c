#pragma once

#include "core/backend_server.h"
#include "core/random.h"
#include "core/request.h"
#include "core/result.h"
#include "standins/lib/engine_options.h"
#include "standins/lib/prefix_cache.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtailtally {

/** One completion as the engine receives it. */
struct EngineRequest
{
    RequestId id;
    std::int64_t promptTokens = 0;
    std::int64_t maxNewTokens = 0;
    RequestClass priority = RequestClass::Normal;
    /** Offset of the first token to send. */
    std::int64_t resumeOffset = 0;
    std::vector<std::uint64_t> prefixBlocks;
    /** Context tokens that other engines of the group hold under a reservation. */
    std::int64_t tokensOnOtherEngines = 0;
    /** The engine crashes when it starts on the prompt. */
    bool poisonous = false;
};

struct TokenProduced
{
    RequestId request;
    std::int64_t offset = 0;
    absl::Time at;
};

struct RequestFinished
{
    RequestId request;
    /** Number of tokens of the complete answer. */
    std::int64_t offset = 0;
    /** Prompt tokens taken from the prefix cache. */
    std::int64_t cachedTokens = 0;
    absl::Time at;
};

/** The request ended before its answer was complete; the engine keeps running. */
struct RequestAborted
{
    RequestId request;
    absl::Time at;
};

enum class EngineDeathCause {
    ColdOverload,
    MemoryExceeded,
    PoisonousPrompt,
    Killed,
};

struct EngineDied
{
    EngineDeathCause cause = EngineDeathCause::Killed;
    absl::Time at;
    /** Time since the engine last became cold. */
    absl::Duration sinceCold;
    /** Requests that were running or queued, including the one that caused the crash. */
    std::vector<RequestId> requests;
};

using EngineAction = std::variant<TokenProduced, RequestFinished, RequestAborted, EngineDied>;

enum class EngineSubmitResult {
    Accepted,
    /** The engine's queue is full. */
    Overloaded,
    /** The context exceeds the memory of this engine plus the reservations on other engines. */
    TooLong,
    /** A request with this id is already running or queued. */
    Duplicate,
    /** The engine is down, or crashed because of this request. */
    Dead,
};

/** Memory held for the context of another engine's request, or for an exported or imported one. */
struct EngineHold
{
    std::string id;
    std::string owner;
    std::int64_t tokens = 0;
    absl::Time expires;
};

struct FencedCommand
{
    std::uint64_t fence = 0;
    std::string kind;
    std::string name;
    std::string version;
};

/** A page of cache events. */
struct EngineEvents
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::vector<CacheEvent> events;
};

/**
 * Simulation of a model engine in virtual time: continuous batching with chunked prefill, a prefix
 * cache, priorities, reservations, KV exports, delayed load reports and cache events, cold starts
 * and crashes. It does no I/O; the times passed to it must not decrease.
 *
 * The memory held is the sum over accepted requests of prompt and produced tokens, less the tokens
 * on other engines, plus reservations, exports and imports. The engine crashes as soon as that sum
 * exceeds memoryTokens. The prefix cache uses only what is left.
 */
class EngineModel
{
public:
    EngineModel(BackendServerId id, Incarnation incarnation, const EngineOptions &options,
                absl::Time now);

    /** Adds @p request; call advance() with the same time first. Appends a crash to @p actions. */
    EngineSubmitResult submit(const EngineRequest &request, absl::Time now,
                              std::vector<EngineAction> &actions);
    /** Frees all memory that the request holds; false if the request is unknown. */
    bool cancel(const RequestId &request, absl::Time now);
    /**
     * Updates the number of tokens that other engines hold for a request. The request is aborted
     * if its context no longer fits.
     */
    void setTokensOnOtherEngines(const RequestId &request, std::int64_t tokens, absl::Time now,
                                 std::vector<EngineAction> &actions);

    /** Runs all steps that end at or before @p now; appends their actions in time order. */
    void advance(absl::Time now, std::vector<EngineAction> &actions);
    /** End of the current step; InfiniteFuture if the engine is idle or down. */
    absl::Time nextEventAt() const;

    /**
     * Creates or renews a reservation. ServerOverloaded if there is not enough free memory,
     * RequestMalformed if the number of tokens is negative or the expiry is not in the future.
     */
    std::error_code reserve(const EngineHold &hold, absl::Time now);
    bool freeReservation(const std::string &id, absl::Time now);
    std::vector<EngineHold> reservations(absl::Time now);
    /** Copies the context of a running or queued request; StoreNotFound or ServerOverloaded. */
    Result<EngineHold> exportContext(const RequestId &request, const std::string &owner,
                                     absl::Time expires, absl::Time now);
    bool freeExport(const std::string &id, absl::Time now);
    std::vector<EngineHold> exports(absl::Time now);
    /**
     * Holds @p hold.tokens for the request with id @p hold.id, whose prefill then skips these
     * tokens. ServerOverloaded if there is not enough free memory.
     */
    std::error_code importContext(const EngineHold &hold, absl::Time now);

    /** FenceRejected for a stale fence if the engine checks fences. */
    std::error_code applyCommand(const FencedCommand &command, absl::Time now);
    std::uint64_t fence() const { return this->highestFence; }
    /** Version set by the newest command of @p kind for @p name, or empty. */
    std::string commandedVersion(const std::string &kind, const std::string &name) const;

    /** Newest report whose age is at least the report lag. */
    LoadReport load(absl::Time now);
    /** Visible cache events with a sequence above @p after. */
    EngineEvents events(std::uint64_t after, absl::Time now) const;

    /** Returns to the cold state and drops the prefix cache without sending cache events. */
    void turnCold(absl::Time now);
    void kill(absl::Time now, std::vector<EngineAction> &actions);
    /** Restarts a crashed engine: cold, empty and with the next incarnation. */
    void restart(absl::Time now);

    bool isAlive() const { return this->alive; }
    bool isWarm() const { return this->served >= this->options.coldRequests; }
    Incarnation incarnation() const { return this->currentIncarnation; }
    std::int64_t running() const { return static_cast<std::int64_t>(this->batch.size()); }
    std::int64_t queued() const;
    std::int64_t heldTokens() const { return this->held; }
    std::int64_t cachedBlocks() const { return this->cache.blocks(); }
    std::int64_t servedRequests() const { return this->served; }

private:
    struct ActiveRequest
    {
        EngineRequest request;
        std::uint64_t arrival = 0;
        /** Prefill is complete when this number of context tokens reaches prefillTarget. */
        std::int64_t computedTokens = 0;
        std::int64_t prefillTarget = 0;
        std::int64_t nextOffset = 0;
        std::int64_t cachedTokens = 0;
        bool isReported = false;

        std::int64_t memory() const;
        bool isPrefilling() const { return this->computedTokens < this->prefillTarget; }
    };
    using ActiveRequestList = std::list<ActiveRequest>;
    struct Snapshot
    {
        absl::Time at;
        LoadReport report;
    };

    void takeSnapshots(absl::Time until);
    void expireHolds(absl::Time now);
    std::error_code addHold(absl::btree_map<std::string, EngineHold> &holds, const EngineHold &hold,
                            absl::Time now);
    bool freeHold(absl::btree_map<std::string, EngineHold> &holds, const std::string &id,
                  absl::Time now);
    void setHeld(std::int64_t tokens, absl::Time now);
    void startStep(absl::Time now, std::vector<EngineAction> &actions);
    void endStep(std::vector<EngineAction> &actions);
    void admitQueued(absl::Time now);
    bool produceToken(ActiveRequest &entry, absl::Time at, std::vector<EngineAction> &actions);
    void die(EngineDeathCause cause, absl::Time at, std::vector<EngineAction> &actions);
    absl::Duration stepDuration() const;
    ActiveRequest *find(const RequestId &request);

    BackendServerId id;
    Incarnation currentIncarnation;
    EngineOptions options;
    Random random;
    PrefixCache cache;
    bool alive = true;
    std::int64_t served = 0;
    absl::Time coldSince;
    std::int64_t held = 0;
    std::uint64_t arrivals = 0;
    /** Requests that wait for a slot in the batch, ordered by priority and arrival. */
    ActiveRequestList queue;
    ActiveRequestList batch;
    /** Request whose prompt chunk is prefilled in the current step; null if there is none. */
    ActiveRequest *prefilling = nullptr;
    std::int64_t chunkTokens = 0;
    absl::Time stepEnd = absl::InfiniteFuture();
    absl::btree_map<std::string, EngineHold> reservationHolds;
    absl::btree_map<std::string, EngineHold> exportHolds;
    absl::btree_map<std::string, EngineHold> importHolds;
    std::uint64_t exportCount = 0;
    std::uint64_t highestFence = 0;
    absl::flat_hash_map<std::string, std::string> versions;
    std::deque<Snapshot> snapshots;
    absl::Time nextSnapshotAt;
    std::uint64_t reportSequence = 0;
};

} // namespace foxtailtally
