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
    /** Index of the first token to send. */
    std::int64_t resumeOffset = 0;
    std::vector<std::uint64_t> prefixBlocks;
    /** Tokens of this context that other engines of the group hold under a reservation. */
    std::int64_t tokensOnOtherEngines = 0;
    /** The engine dies when it starts on the prompt. */
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
    /** Number of tokens of the whole answer. */
    std::int64_t offset = 0;
    /** Prompt tokens taken from the prefix cache. */
    std::int64_t cachedTokens = 0;
    absl::Time at;
};

/** The request ended without its whole answer; the engine goes on. */
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
    /** Requests that were running or queued, the one that caused the death included. */
    std::vector<RequestId> requests;
};

using EngineAction = std::variant<TokenProduced, RequestFinished, RequestAborted, EngineDied>;

enum class EngineSubmitResult {
    Accepted,
    /** The engine's queue is full. */
    Overloaded,
    /** The context does not fit into this engine and the reservations elsewhere. */
    TooLong,
    /** A request with this id is already held. */
    Duplicate,
    /** The engine is dead, or died of this request. */
    Dead,
};

/** Memory held for another engine's context or for an exported one. */
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
 * A model engine in virtual time: continuous batching with chunked prefill, a prefix cache,
 * priorities, reservations, KV exports, late load reports and cache events, cold starts and deaths.
 * It does no I/O; calls must be made with times that do not decrease.
 *
 * The memory held is the sum over accepted requests of prompt and produced tokens, less the tokens
 * reserved elsewhere, plus reservations, exports and imports. The engine dies as soon as that sum
 * is above memoryTokens. The prefix cache uses only what is left.
 */
class EngineModel
{
public:
    EngineModel(BackendServerId id, Incarnation incarnation, const EngineOptions &options,
                absl::Time now);

    /** Adds @p request; call advance() with the same time first. Deaths appear in @p actions. */
    EngineSubmitResult submit(const EngineRequest &request, absl::Time now,
                              std::vector<EngineAction> &actions);
    /** Frees all that the request holds; false when it is not known. */
    bool cancel(const RequestId &request, absl::Time now);
    /**
     * Changes what other engines hold for a running request. The request is aborted when its
     * context no longer fits.
     */
    void setTokensOnOtherEngines(const RequestId &request, std::int64_t tokens, absl::Time now,
                                 std::vector<EngineAction> &actions);

    /** Runs all steps that end at or before @p now and appends what happened in time order. */
    void advance(absl::Time now, std::vector<EngineAction> &actions);
    /** End of the current step; InfiniteFuture when the engine has nothing to do or is dead. */
    absl::Time nextEventAt() const;

    /**
     * Makes or renews a reservation; ServerOverloaded when the memory does not suffice,
     * RequestMalformed when it would expire at once.
     */
    std::error_code reserve(const EngineHold &hold, absl::Time now);
    bool freeReservation(const std::string &id, absl::Time now);
    std::vector<EngineHold> reservations(absl::Time now);
    /** Copies the context of a held request; StoreNotFound or ServerOverloaded. */
    Result<EngineHold> exportContext(const RequestId &request, const std::string &owner,
                                     absl::Time expires, absl::Time now);
    bool freeExport(const std::string &id, absl::Time now);
    std::vector<EngineHold> exports(absl::Time now);
    /**
     * Holds @p hold.tokens for the request named by @p hold.id, whose prefill then starts after
     * them. ServerOverloaded when the memory does not suffice.
     */
    std::error_code importContext(const EngineHold &hold, absl::Time now);

    /** FenceRejected for a stale fence if the engine checks it. */
    std::error_code applyCommand(const FencedCommand &command, absl::Time now);
    std::uint64_t fence() const { return this->highestFence; }
    /** Value set by the newest order of the kind for @p name, or empty. */
    std::string commandedVersion(const std::string &kind, const std::string &name) const;

    /** Newest report that is at least the report lag old. */
    LoadReport load(absl::Time now);
    /** Visible cache events with a sequence above @p after. */
    EngineEvents events(std::uint64_t after, absl::Time now) const;

    /** Returns to the cold state without notice; the prefix cache is lost. */
    void turnCold(absl::Time now);
    void kill(absl::Time now, std::vector<EngineAction> &actions);
    /** Starts a dead engine again: cold, empty and with the next incarnation. */
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
        /** Context tokens computed; prefill is complete when it reaches prefillTarget. */
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
    /** Requests that wait for a place in the batch, by priority and arrival. */
    ActiveRequestList queue;
    ActiveRequestList batch;
    /** The request whose prompt chunk is part of the current step. */
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
