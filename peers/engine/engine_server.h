#pragma once

#include "core/backend_server.h"
#include "core/request.h"
#include "core/result.h"
#include "peers/engine/cache_event_tracker.h"

#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One completion to run on an engine. */
struct CompletionRequest
{
    RequestId id;
    ModelId model;
    AdapterId adapter;
    std::string prompt;
    std::int64_t maxTokens = 0;
    RequestClass priority = RequestClass::Normal;
    /** Offset of the first token to send. */
    std::int64_t resumeOffset = 0;
    /** Reservation of memory on other engines for a long context, or empty. */
    std::string reservation;
    /** Maximum time until the answer is complete. */
    absl::Duration timeout = absl::Minutes(5);
};

/** How the stream of a completion ended. */
struct CompletionEnd
{
    /**
     * No error if the complete answer was received. Otherwise ConnectionFailed, ConnectionLost
     * (also a stream without its final event), Timeout, RequestCancelled, ProtocolViolation (also a
     * repeated or skipped offset), ServerOverloaded, ModelNotLoaded, RequestTooLarge,
     * ReservationUnknown, Unauthorized or RateLimited.
     */
    std::error_code error;
    /** Offset after the last token received. */
    std::int64_t nextOffset = 0;
    /** Prompt tokens that the engine took from its prefix cache. */
    std::int64_t cachedTokens = 0;
    /** True only if the engine cannot have started on the request. */
    bool isNotRun = false;
};

/**
 * Receives the tokens of a completion. All methods are called on one thread, without a lock held,
 * and must not block.
 */
class CompletionListener
{
public:
    virtual ~CompletionListener() = default;
    virtual void onToken(std::int64_t offset, std::string_view text) = 0;
    /** Called exactly once, after the last token. */
    virtual void onDone(const CompletionEnd &end) = 0;
};

/** Identifies a running completion of one EngineServer. */
using CompletionId = std::uint64_t;

/** Memory that an engine holds under an owner until it is freed or expires. */
struct EngineMemoryHold
{
    std::string id;
    InstanceId owner;
    std::int64_t tokens = 0;
    /** Time until the engine frees the memory. */
    absl::Duration expiresIn;
};

/** A command to an engine. */
struct EngineCommand
{
    enum class Kind { LoadModel, LoadAdapter, UnloadAdapter, SetRole };

    Kind kind = Kind::LoadModel;
    std::string name;
    std::string version;
    /** Fencing number of the sender's claim; an engine may reject lower ones. */
    std::uint64_t fence = 0;
};

/** Outcome of a command. */
struct EngineCommandReply
{
    /** FenceRejected, or another error listed at EngineServer. */
    std::error_code error;
    /** Highest fence known to the engine; set with FenceRejected. */
    std::uint64_t currentFence = 0;
};

/**
 * Operations of one model engine. Completions are asynchronous; all other operations block and
 * return ConnectionFailed, ConnectionLost, Timeout, ProtocolViolation, Unauthorized, RateLimited or
 * the errors named at the operation.
 */
class EngineServer
{
public:
    virtual ~EngineServer() = default;

    virtual CompletionId startCompletion(const CompletionRequest &request,
                                         std::shared_ptr<CompletionListener> listener) = 0;
    /** Closes the stream, which makes the engine drop the request; onDone() follows. */
    virtual void cancel(CompletionId completion) = 0;
    /** Stops reading the stream until resume(). */
    virtual void pause(CompletionId completion) = 0;
    virtual void resume(CompletionId completion) = 0;
    /** Cancels a request by id, for a request whose stream belongs to another process. */
    virtual std::error_code cancelRequest(const RequestId &request) = 0;

    /** The age of the report includes the duration of this call. */
    virtual Result<LoadReport> load() = 0;
    virtual Result<EngineCachePage> cacheEvents(std::uint64_t after) = 0;

    /** Creates or renews a reservation; ServerOverloaded if there is not enough free memory. */
    virtual std::error_code reserve(const EngineMemoryHold &hold) = 0;
    /** Also succeeds if the reservation is unknown. */
    virtual std::error_code freeReservation(const std::string &id) = 0;
    virtual Result<std::vector<EngineMemoryHold>> reservations() = 0;

    /** Keeps a copy of a running request's context; StoreNotFound or ServerOverloaded. */
    virtual Result<EngineMemoryHold>
    exportContext(const RequestId &request, const InstanceId &owner, absl::Duration expiresIn) = 0;
    /** Loads an exported context for @p request; ServerOverloaded if there is not enough memory. */
    virtual std::error_code importContext(const EngineMemoryHold &exported,
                                          const RequestId &request) = 0;
    /** Also succeeds if the export is unknown. */
    virtual std::error_code freeExport(const std::string &id) = 0;
    virtual Result<std::vector<EngineMemoryHold>> exports() = 0;

    virtual EngineCommandReply command(const EngineCommand &command) = 0;
};

} // namespace foxtailtally
