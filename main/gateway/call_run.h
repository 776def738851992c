#pragma once

#include "main/gateway/attempt_evidence.h"
#include "main/gateway/call_attempt.h"
#include "main/gateway/call_dispatcher.h"
#include "main/gateway/call_hedge.h"
#include "main/gateway/call_reply.h"
#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/server_call.h"
#include "peers/http/inbound_connection.h"
#include "peers/http/loop_timer.h"
#include "servers/retry/event_relay.h"

#include <absl/time/time.h>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace foxtailtally {

/** Executes one call: chooses a server, forwards the response, and retries where that is allowed.
 */
class CallRun final : public Retirable,
                      private ServerCallEvents,
                      private CallDispatcherEvents,
                      private CallReplyEvents
{
public:
    CallRun(GatewayContext &context, InboundConnection &caller, AdmittedCall call,
            OpenRequest request);
    ~CallRun() override = default;

    /** The request is complete. @p claim: memory of its body; null if it has none. */
    void start(std::unique_ptr<BodyClaim> claim, absl::Time now);
    /** Responds with @p status that there is no memory for the body; the call has not run. */
    void refuseBody(int status, std::string_view cause);
    absl::Time answerBy() const { return this->state.call.answerBy; }
    /** The response is due at @p time if it was due later. */
    void advanceDeadline(absl::Time time, absl::Time now);
    /** The connection to the caller ends the request, or has ended; nothing more is sent to it. */
    void onCallerGone(RequestEnd end, std::string_view outcome, int status = 0);
    /** The connection to the caller accepts data again. */
    void onCallerWritable();
    bool isDone() const { return this->state.isDone; }
    /** The request is in progress in the account. */
    bool hasOpenRequest() const { return this->state.request.isOpen(); }

private:
    bool mayWrite(ServerCall &call, absl::Time now) override;
    void onReply(ServerCall &call, const ResponseHead &head,
                 const platform::ServerReply &reply) override;
    void onReplyBody(ServerCall &call, std::string_view data) override;
    void onReplyComplete(ServerCall &call) override;
    void onAttemptEnded(ServerCall &call, AttemptEnd end) override;

    void onServerChosen(const ServerDirectory::Server &server, absl::Time now) override;
    void onEngineReady(std::unique_ptr<PlacedStream> placement, absl::Time now) override;
    void onWaiting(absl::Duration delay) override;
    void onDispatchFailed(AttemptEnd cause, absl::Time now) override;
    void onCopyFailed() override;
    bool hasAttempts() const override { return !this->attempts.empty(); }
    void onReplied(RequestEnd end, std::string_view outcome, int status) override
    {
        this->finish(end, outcome, status);
    }

    /** Sends the call once more to the server of @p ended, whose idle connection was dropped, on a
     * new connection; false if it may not get the call again. */
    bool repeatAttempt(CallAttempt &ended, const AttemptTarget &target, absl::Time now);
    /** @p placement: null for calls that need no engine. */
    void sendTo(const ServerEntry &server, std::unique_ptr<PlacedStream> placement, absl::Time now);
    /** Ends the attempt of @p call, whose response cannot be kept or forwarded. */
    void abandon(ServerCall &call, std::error_code cause);
    void relayEvents(CallAttempt &attempt, std::string_view data, absl::Time now);
    void onStreamEvent(CallAttempt &attempt, absl::Time now);
    /** Starts the answer to the caller with the head of the stream of @p attempt. */
    void beginStream(CallAttempt &attempt);
    /** Ends all attempts but the one of @p winner, which has delivered the next event. */
    void endOtherAttempts(const ServerCall &winner, absl::Time now);
    void afterAttempt(AttemptEnd end, absl::Time now);
    void finishWith(NextStep step, absl::Time now);
    void finish(RequestEnd end, std::string_view outcome, int status);

    void onDeadline();
    void onCheckTimer();
    /** Asks the retry budget, unless it has granted a retry that no server got. */
    bool takeRetry(absl::Time now);
    void checkStreamProgress(absl::Time now);
    /** Sends the stream to another server beside its only attempt if that seems to have stopped. */
    void migrateStream(absl::Time now);
    void hedge(absl::Time now);
    /** Sends the stream to another engine too if its first event is later than usual. */
    void hedgeStream(absl::Time now);
    void cancelAttempts(absl::Time now);
    /** The stream has been sent to another server beside @p attempt. */
    bool isReplaced(const CallAttempt &attempt) const;
    CallAttempt *findAttempt(const ServerCall &call);
    std::optional<CallAttempt> takeAttempt(const ServerCall &call);

    GatewayContext &context;
    InboundConnection *caller;
    CallState state;
    CallDispatcher dispatcher;
    AttemptEvidence evidence;
    CallHedge hedges;
    CallReply replies;
    /** Holds the memory of its claim until no attempt needs it any longer. */
    std::shared_ptr<const std::string> body;
    LoopTimer deadlineTimer;
    LoopTimer checkTimer;
    std::vector<CallAttempt> attempts;
    EventRelay relay;
    /** Rejections of second copies of a stream while its first attempt went on. */
    int migrationRejections = 0;
    /** The retry budget has granted a retry that no server got yet. */
    bool hasRetryGrant = false;
    bool hasStarted = false;
    /** A connection of the call was dropped; it uses no other idle one. */
    bool needsNewConnection = false;
};

} // namespace foxtailtally
