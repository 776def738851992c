#pragma once

#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/placed_stream.h"
#include "main/gateway/service_planner.h"
#include "main/gateway/stream_planner.h"
#include "main/gateway/token_wait.h"
#include "servers/retry/attempt_policy.h"

#include <absl/time/time.h>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace foxtailtally {

/** Callbacks of a CallDispatcher. */
class CallDispatcherEvents
{
public:
    virtual ~CallDispatcherEvents() = default;
    /** The call is to be sent to a server of a plain service. */
    virtual void onServerChosen(const ServerDirectory::Server &server, absl::Time now) = 0;
    /** The call is to be sent to the engine of @p placement, which is ready for it. */
    virtual void onEngineReady(std::unique_ptr<PlacedStream> placement, absl::Time now) = 0;
    /** CallDispatcher::resume() is due after @p delay. */
    virtual void onWaiting(absl::Duration delay) = 0;
    /** No server takes the call, and no attempt is in flight. @p cause: how the last one that was
     * chosen failed to. */
    virtual void onDispatchFailed(AttemptEnd cause, absl::Time now) = 0;
    /** No second server takes the call; the first attempt goes on. */
    virtual void onCopyFailed() = 0;
    virtual bool hasAttempts() const = 0;
};

/** A second server for a call. */
struct CopyPlan
{
    bool isForEngine = false;
    /** For engines. */
    StreamDecision decision;
    /** For other services. */
    ServiceChoice choice;
    /** The server is expected to send the next event in time. */
    bool isTimely = false;
};

/** Finds the server of a call, with the memory and the tokens that it needs, or lets the call wait.
 */
class CallDispatcher final : private PlacedStreamEvents, private TokenWaitEvents
{
public:
    CallDispatcher(GatewayContext &context, CallState &state, CallDispatcherEvents &events)
        : context(context)
        , state(state)
        , events(events)
    { }

    /** Sends the call to a server or waits for one; false when neither is possible. */
    bool dispatch(absl::Time now);
    /** Chooses another server to send the call to beside the first attempt; none if the call may
     * get no second one now. */
    std::optional<CopyPlan> planCopy(absl::Time now);
    void dispatchCopy(const CopyPlan &plan, absl::Time now);
    /** Sends the call to a server without a rate limit beside the first attempt, if there is one.
     * The requests of the others are too scarce for second copies. */
    void dispatchUnlimited(absl::Time now);
    /** Lets the call wait for servers that cannot be reached; false if its caller would not. */
    bool waitForReturn(absl::Time now);
    /** No server has the call: it waits for one, or for a plan that harms no other stream. */
    bool isWaiting() const { return this->waiting; }
    /** Dispatches a call that was waiting. */
    void resume(absl::Time now);

    /** The server has requested a pause; it may get the call again afterwards. */
    bool isPaused(ServerKey server, absl::Time now) const;
    /** A server is being prepared for the call, and nothing has been sent to it yet. */
    bool isPreparing() const;
    /** Uses up the tokens that a call needs which is about to be written to @p server; false if one
     * is missing, or an engine of @p placement may get no more work. @p placement: null without
     * one. */
    bool spendTokens(ServerKey server, const PlacedStream *placement, absl::Time now);
    void dropTokens(absl::Time now);
    /** Gives up a placement that no attempt has. */
    void dropPlacement();

private:
    /** Servers that the call has been sent to or was denied a token of, and @p others. */
    std::vector<ServerKey> excludedServers(std::span<const ServerKey> others) const;
    /** As dispatch(), without @p excluded and without a wait for the end of a pause. */
    bool dispatchTo(const Service &service, std::span<const ServerKey> excluded, absl::Time now);
    StreamDemand demand(absl::Time now);
    /** Longest time to wait for a token. */
    absl::Duration tokenPatience(absl::Time now);
    bool dispatchStream(const Service &service, std::span<const ServerKey> excluded,
                        absl::Time now);
    bool dispatchPlain(const Service &service, std::span<const ServerKey> excluded, absl::Time now);
    /** Waits for the first server whose requested pause ends; false when that is too late for the
     * caller, or some server has requested none. */
    bool waitForPauseEnd(absl::Time now);
    void wait(absl::Duration delay);
    /** Claims the tokens that @p decision needs; false if it needs none. */
    bool claimTokens(const StreamDecision &decision, absl::Time now);
    bool claimTokens(const ServiceChoice &choice, absl::Time now);
    void onTokensGranted(absl::Time now) override;
    void onTokensDenied(absl::Time now) override;
    /** Sends the call to the servers for which there are tokens; false if that is not possible. */
    bool dispatchWithTokens(absl::Time now);
    void place(const StreamDecision &decision, absl::Time now);
    void onPlacementReady(absl::Time now) override;
    void onPlacementFailed(std::span<const ServerKey> engines, absl::Time now) override;
    /** @p foundUnreachable: engines failed that were not known to be unreachable; the next plan
     * avoids them, so this counts as no rejection. */
    void retryPlacement(bool foundUnreachable, absl::Time now);
    /** Whether the plan of @p decision has no engine that is known to be unreachable. */
    bool isPlanReachable(const StreamDecision &decision) const;
    /** Value of the call, relative to others that need tokens. */
    float worth() const;

    GatewayContext &context;
    CallState &state;
    CallDispatcherEvents &events;
    bool waiting = false;
    int tokenDenials = 0;
    /** Null while no stream is being placed. */
    std::unique_ptr<PlacedStream> placement;
    /** Its plan has engines that were known to be unreachable, for want of others. */
    bool usesUnreachableEngine = false;
    /** Tokens for servers with a rate limit; null if none are needed or they were used up. */
    std::unique_ptr<TokenWait> tokens;
    /** Servers that the call was denied a token of; it does not claim one of them again. */
    std::vector<ServerKey> deniedServers;
    /** Engines of the plan that tokens are claimed for which need none. */
    std::vector<ServerKey> unlimitedEngines;
};

} // namespace foxtailtally
