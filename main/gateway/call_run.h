#pragma once

#include "main/gateway/call_suspicion.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/placed_stream.h"
#include "main/gateway/server_call.h"
#include "main/gateway/service_planner.h"
#include "main/gateway/stream_planner.h"
#include "main/gateway/token_wait.h"
#include "peers/http/inbound_connection.h"
#include "peers/http/loop_timer.h"
#include "platform/call_headers.h"
#include "servers/placement/stream_placement.h"
#include "servers/retry/attempt_policy.h"
#include "servers/retry/event_relay.h"

#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** An admitted call: its caller, route and deadline. */
struct AdmittedCall
{
    platform::CallHeaders headers;
    /** Keeps the route alive. */
    std::shared_ptr<const ServingConfig> config;
    const Route *route = nullptr;
    /** Empty on routes without keys. */
    std::string customer;
    absl::Time receivedAt;
    /** The complete response is due. */
    absl::Time answerBy;
};

/** Executes one call: chooses a server, forwards the response, and retries where that is allowed.
 */
class CallRun final : public Retirable,
                      private ServerCallEvents,
                      private PlacedStreamEvents,
                      private TokenWaitEvents
{
public:
    CallRun(GatewayContext &context, InboundConnection &caller, AdmittedCall call);
    ~CallRun() override;

    /** The request is complete. @p claim: memory of its body; null if it has none. */
    void start(std::unique_ptr<BodyClaim> claim, absl::Time now);
    /** Responds with @p status that there is no memory for the body; the call has not run. */
    void refuseBody(int status, std::string_view cause);
    absl::Time answerBy() const { return this->call.answerBy; }
    /** The response is due at @p time if it was due later. */
    void advanceDeadline(absl::Time time, absl::Time now);
    /** The caller has disconnected; nothing more is sent to it. */
    void onCallerGone();
    /** The connection to the caller accepts data again. */
    void onCallerWritable();
    bool isDone() const { return this->done; }

private:
    /** An attempt in flight, with the part of the response that has been received. */
    struct Attempt
    {
        std::unique_ptr<ServerCall> call;
        /** Null for calls that need no engine. */
        std::unique_ptr<PlacedStream> placement;
        EventRelay::Run run;
        ResponseHead reply;
        std::string body;
        /** What a stream has sent before the first event of the answer. */
        std::string preamble;
        /** The response is a stream whose events are forwarded as they arrive. */
        bool isRelaying = false;
        absl::Time firstEventAt = absl::InfiniteFuture();
        /** GatewayContext::inputSince() when the first event was read. */
        absl::Time firstEventSince = absl::InfiniteFuture();
        /** Why the stream was also sent to another server; none while it was not. */
        std::optional<AttemptEnd> replacedFor;
        /** The retry budget has denied a second server since the last event. */
        bool wasRetryDenied = false;
        /** The retry budget has granted this attempt. */
        bool usedRetryGrant = false;
        /** The server has run the call for longer than kCrashDelay. */
        bool hasSurvived = false;
        /** The server was known to be unreachable when it was chosen for want of another. */
        bool wasUnreachable = false;
    };

    bool mayWrite(ServerCall &call, absl::Time now) override;
    void onReply(ServerCall &call, const ResponseHead &head,
                 const platform::ServerReply &reply) override;
    void onReplyBody(ServerCall &call, std::string_view data) override;
    void onReplyComplete(ServerCall &call) override;
    void onAttemptEnded(ServerCall &call, AttemptEnd end) override;

    /** Sends the call to a server or waits for one; false when neither is possible. */
    bool dispatch(absl::Time now);
    /** The instance stops before a call sent now is expected to end. */
    bool isStopTooNear(absl::Time now) const;
    /** Servers that the call has been sent to or was denied a token of, and @p others. */
    std::vector<ServerKey> excludedServers(std::span<const ServerKey> others) const;
    bool dispatchTo(const Service &service, std::span<const ServerKey> excluded, absl::Time now);
    bool dispatchStream(const Service &service, std::span<const ServerKey> excluded,
                        absl::Time now);
    bool dispatchPlain(const Service &service, std::span<const ServerKey> excluded, absl::Time now);
    /** Longest time to wait for a token. */
    absl::Duration tokenPatience(absl::Time now);
    /** Claims the tokens that @p decision needs; false if it needs none. */
    bool claimTokens(const StreamDecision &decision, absl::Time now);
    bool claimTokens(const ServiceChoice &choice, absl::Time now);
    void onTokensGranted(absl::Time now) override;
    void onTokensDenied(absl::Time now) override;
    /** Sends the call to the servers for which there are tokens; false if that is not possible. */
    bool dispatchWithTokens(absl::Time now);
    void dropTokens(absl::Time now);
    void sendPlain(const ServerDirectory::Server &server, absl::Time now);
    void sendTo(const ServerEntry &server, std::vector<platform::PrefillHelper> helpers,
                absl::Time now);
    StreamDemand demand(absl::Time now);
    void onPlacementReady(absl::Time now) override;
    void onPlacementFailed(std::span<const ServerKey> engines, absl::Time now) override;
    /** @p foundUnreachable: engines failed that were not known to be unreachable; the next plan
     * avoids them, so this counts as no rejection. */
    void retryPlacement(bool foundUnreachable, absl::Time now);
    void place(const StreamDecision &decision, absl::Time now);
    /** Gives up the placement of an attempt that has not been sent yet. */
    void dropPlacement();
    void retirePlacement(std::unique_ptr<PlacedStream> dropped);

    void relayEvents(Attempt &attempt, std::string_view data, absl::Time now);
    void onStreamEvent(Attempt &attempt, absl::Time now);
    /** Starts the answer to the caller with the head of the stream of @p attempt. */
    void beginStream(const Attempt &attempt);
    /** Ends all attempts but the one of @p winner, which has delivered the next event. */
    void endOtherAttempts(const ServerCall &winner);
    void forwardStoredReply();
    void afterAttempt(AttemptEnd end, absl::Time now);
    void finishWith(NextStep step, absl::Time now);
    void refuseQuarantined(absl::Time now);
    /** Responds that the call has not run, and that other instances take it. */
    void refuseForStop();
    /** Responds that the call has not run and that no server can take it now. */
    void refuse(std::string_view cause, absl::Time now);
    /** Retry-After of a call that a server can take from @p reopensAt on. */
    absl::Duration spacedRetryAfter(absl::Time reopensAt, double callsPerSecond, absl::Time now);
    /** The server has requested a pause; it may get the call again afterwards. */
    bool isPaused(ServerKey server, absl::Time now) const;
    /** Waits for the first server whose requested pause ends; false when that is too late for the
     * caller, or some server has requested none. */
    bool waitForPauseEnd(absl::Time now);
    /** Lets a response that has begun wait for a server that cannot be reached; false if its caller
     * would not. */
    bool waitForReturn(absl::Time now);
    CrashEvidence crashEvidence(const ServerCall &call, const Attempt &attempt,
                                bool isConnectionBroken, absl::Time now) const;
    /** The same for a server that is only known to be silent. */
    CrashEvidence silenceEvidence(const ServerCall &call, const Attempt &attempt,
                                  absl::Time now) const;
    /** Time of the last byte from the server of @p call, or at which the call was sent to it. */
    absl::Time lastSignAt(const ServerCall &call) const;
    void sendLocalReply(int status, std::string_view cause, bool notRun);
    void sendLocalReply(int status, std::string_view cause, bool notRun,
                        std::optional<absl::Duration> retryAfter);
    void finish(std::string_view outcome, int status);

    void onDeadline();
    void onCheckTimer();
    /** A second server is being prepared for the call, and nothing has been sent to it yet. */
    bool isPreparing() const;
    /** Asks the retry budget, unless it has granted a retry that no server got. */
    bool takeRetry(absl::Time now);
    void checkStreamProgress(absl::Time now);
    MigrationEvidence migrationEvidence(const Attempt &attempt, absl::Time now);
    /** Sends the stream to another server beside its only attempt if that seems to have stopped. */
    void migrateStream(absl::Time now);
    /** Time without a byte from the server of @p attempt after which it counts as silent. */
    absl::Duration silenceTimeout(const Attempt &attempt, absl::Time now) const;
    void hedge(absl::Time now);
    void cancelAttempts(absl::Time now);
    Attempt *findAttempt(const ServerCall &call);
    std::optional<Attempt> takeAttempt(const ServerCall &call);
    bool isStream() const { return this->call.route->kind == CallKind::Streaming; }
    CallProgress progress(absl::Time now);
    /** Value of the call, relative to others that need tokens. */
    float worth() const;

    GatewayContext &context;
    InboundConnection *caller;
    AdmittedCall call;
    /** Holds the memory of its claim until no attempt needs it any longer. */
    std::shared_ptr<const std::string> body;
    /** Set when the request is complete. */
    std::optional<CallSuspicion> suspicion;
    LoopTimer deadlineTimer;
    LoopTimer checkTimer;
    std::vector<Attempt> attempts;
    std::vector<ServerKey> tried;
    EventRelay relay;
    std::string service;
    int attemptsSent = 0;
    int runs = 0;
    int rejections = 0;
    int tokenDenials = 0;
    /** Rejections of second copies of a stream while its first attempt went on. */
    int migrationRejections = 0;
    /** The retry budget has granted a retry that no server got yet. */
    bool hasRetryGrant = false;
    bool hasAnswerBegun = false;
    bool done = false;
    bool isReadingPaused = false;
    /** No server has the call: it waits for a server, or for a plan that harms no other stream. */
    bool isWaiting = false;
    /** Time from the call's arrival to its last attempt. */
    absl::Duration dispatchDelay = absl::ZeroDuration();
    bool hasStarted = false;
    /** Last complete response that was not forwarded as it arrived; status 0 while there is none.
     */
    ResponseHead reply;
    std::string replyBody;
    /** Response bytes buffered by this call so far; part of GatewayContext::bufferedReplyBytes. */
    std::size_t bufferedBytes = 0;

    /** Placement of an attempt that has not been sent yet; null without one. */
    std::unique_ptr<PlacedStream> placement;
    /** Its plan has engines that were known to be unreachable, for want of others. */
    bool usesUnreachableEngine = false;
    /** Tokens for servers with a rate limit; null if none are needed or they were used up. */
    std::unique_ptr<TokenWait> tokens;
    /** Servers that the call was denied a token of; it does not claim one of them again. */
    std::vector<ServerKey> deniedServers;
    /** Engines of the plan that tokens are claimed for which need none. */
    std::vector<ServerKey> unlimitedEngines;
    /** The plan that was evaluated last, for the log; it need not have been used. */
    StreamPlan lastPlan;
    absl::Time lastEventAt = absl::InfinitePast();
    absl::Time firstEventAt = absl::InfinitePast();
    absl::Duration longestGap = absl::ZeroDuration();
};

} // namespace foxtailtally
