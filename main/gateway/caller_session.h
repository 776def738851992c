#pragma once

#include "main/gateway/call_run.h"
#include "main/gateway/gateway_context.h"
#include "peers/http/inbound_connection.h"
#include "peers/http/loop_timer.h"
#include "servers/account/request_account.h"
#include "servers/memory/body_admission.h"

#include <absl/time/time.h>
#include <memory>
#include <optional>
#include <string_view>

namespace foxtailtally {

class CallerSession;

class SessionOwner
{
public:
    virtual ~SessionOwner() = default;
    /** The session's connection is closed; the owner retires the session. */
    virtual void onSessionClosed(CallerSession &session) = 0;
};

/** A caller's connection: admits or refuses its calls, one after the other. */
class CallerSession final : public Retirable, private InboundEvents, private BodyWaiter
{
public:
    CallerSession(GatewayContext &context, int socket, SessionOwner &owner);

    void closeWhenIdle() { this->connection.closeWhenIdle(); }
    /** The instance has begun to stop: the open call has its response by @p answersBy, and the
     * connection closes with it. */
    void onStopping(absl::Time answersBy, absl::Time now);
    /** A request of the connection is in progress. */
    bool hasOpenRequest() const;
    /** The process ends, and with it the connection: the open request has no response. */
    void endRequestAtStop(absl::Time now);
    /** Applies the limits of the configuration in force to the open connection. */
    void applyLimits();

private:
    /** A refusal that is sent once the request has been read. */
    struct Rejection
    {
        int status = 0;
        std::string_view cause;
    };

    void onRequestHead(InboundConnection &connection) override;
    void onBodyAllowanceReached(InboundConnection &connection) override;
    void onRequestComplete(InboundConnection &connection) override;
    void onCallerGone(InboundConnection &connection) override;
    void onWritable(InboundConnection &connection) override;
    void onRequestRejected(InboundConnection &connection, int status) override;
    void onClosed(InboundConnection &connection) override;

    void onBodyAdmitted() override;
    void onBodyRefused() override;

    /** Asks for memory for @p bytes of the current body in all, and pauses its reading without. */
    void claimBody(std::size_t bytes);
    std::optional<Rejection> admit(const RequestHead &head, AdmittedCall &call,
                                   absl::Time now) const;
    void refuse(const Rejection &rejection);
    /** Ends the open request, if there is one, without a response to it. */
    void endUnanswered(RequestEnd end, std::string_view cause, absl::Time now);
    void retireRun();

    GatewayContext &context;
    SessionOwner &owner;
    /** The current request as long as no run has it. */
    OpenRequest request;
    absl::Time requestBegunAt = absl::InfinitePast();
    std::unique_ptr<CallRun> run;
    std::optional<Rejection> rejection;
    /** Memory for the body that is being read; null without a body. */
    std::unique_ptr<BodyClaim> bodyClaim;
    /** Bytes that bodyClaim was last asked for. */
    std::size_t claimedBytes = 0;
    /** Why there is no memory for the body; sent by refusalTimer. */
    std::optional<Rejection> bodyRejection;
    LoopTimer refusalTimer;
    InboundConnection connection;
};

} // namespace foxtailtally
