#pragma once

#include "main/gateway/gateway_context.h"
#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"
#include "platform/call_headers.h"
#include "servers/quarantine/suspect_placement.h"
#include "servers/retry/attempt_policy.h"

#include <absl/time/time.h>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace foxtailtally {

class ServerCall;

/** Callbacks of a ServerCall. None follows the end of the call. */
class ServerCallEvents
{
public:
    virtual ~ServerCallEvents() = default;
    /** The call is about to be written. If this returns false, it ends as NotPermitted. */
    virtual bool mayWrite(ServerCall &call, absl::Time now) = 0;
    /** The server responds to the call; the body follows. */
    virtual void onReply(ServerCall &call, const ResponseHead &head,
                         const platform::ServerReply &reply) = 0;
    virtual void onReplyBody(ServerCall &call, std::string_view data) = 0;
    virtual void onReplyComplete(ServerCall &call) = 0;
    /** The call ended without a usable response. */
    virtual void onAttemptEnded(ServerCall &call, AttemptEnd end) = 0;
};

/** The server that an attempt is sent to. */
struct AttemptTarget
{
    BackendServerId id;
    Incarnation incarnation = 0;
    ServerKey key = 0;
    std::string address;
    std::string service;
    FailureDomainId domain;
    /** How far the call is suspected of crashing the server. */
    SuspectRun suspicion = SuspectRun::None;
    /** Suspect parts of its prompt. */
    std::vector<Fingerprint> suspectParts;
};

/** One attempt of a call at one server. */
class ServerCall final : public Retirable, private OutboundEvents
{
public:
    ServerCall(GatewayContext &context, AttemptTarget target, ServerCallEvents &events);
    ~ServerCall() override;

    /**
     * Sends @p request. @p needsNewConnection: no idle connection is reused, since the server may
     * have dropped it without notice.
     */
    void send(OutboundRequest request, bool isHeadRequest, const std::string &callId,
              bool needsNewConnection, absl::Time now);
    /** Cancels the attempt; the server learns it from the closed connection. */
    void cancel();
    /** As cancel(), since the response cannot be used because of @p cause. */
    void abandon(std::error_code cause);
    void pauseReading(bool isPaused);
    /** The server has executed the call for longer than a crash caused by it would take. */
    void clearSuspicion();

    const AttemptTarget &target() const { return this->server; }
    absl::Time sentAt() const { return this->startedAt; }
    /** When the server last sent a part of its response; InfinitePast if it sent none. */
    absl::Time lastByteAt() const { return this->receivedAt; }
    /** The call has been written to the connection, so that it may reach the server. */
    bool wasWritten() const { return this->written; }
    /** Another server, or another incarnation of this one, has the address. */
    bool wasMisdirected() const { return this->misdirected; }
    /** Address of the server that a rejection named as its cause; empty when it named none. */
    const std::string &faultyServer() const { return this->faultyAddress; }
    /** Error that ended the attempt; no error while there is none. */
    std::error_code failure() const { return this->failureCause; }
    /** The connection had carried other calls, and for how long it was idle before this one. */
    bool usedIdleConnection() const { return this->isConnectionReused; }
    absl::Duration connectionIdleTime() const { return this->idleTime; }
    /** A byte has arrived on the connection since the call was sent. */
    bool hadBytes() const { return this->hasReceived; }
    /** How the connection ended, when that ended the attempt. */
    ConnectionEnd connectionEnd() const { return this->endCause; }

private:
    bool mayWrite(OutboundConnection &connection) override;
    void onResponseHead(OutboundConnection &connection, const ResponseHead &head) override;
    void onResponseBody(OutboundConnection &connection, std::string_view data) override;
    void onResponseComplete(OutboundConnection &connection) override;
    void onCallFailed(OutboundConnection &connection, std::error_code error) override;

    /** Asks for permission to write the call and counts it. */
    bool beginWrite(absl::Time now);
    void onConnectTimer();
    void end(AttemptEnd end);
    void discardConnection();
    /** Adds @p change to the number of equally suspect calls at the server, and of running calls
     * with the same suspect parts. */
    void addSuspectCount(std::int64_t change);
    void uncountCall();
    /** Ends the call as lost: what arrives does not prove to be the server's response to it. */
    void loseResponse();

    GatewayContext &context;
    AttemptTarget server;
    ServerCallEvents &events;
    std::unique_ptr<OutboundConnection> connection;
    LoopTimer connectTimer;
    std::string callId;
    absl::Time startedAt = absl::InfinitePast();
    absl::Time receivedAt = absl::InfinitePast();
    std::string faultyAddress;
    std::error_code failureCause;
    ConnectionEnd endCause = ConnectionEnd::None;
    bool misdirected = false;
    /** The call was not permitted when it would have been written at once. */
    bool isWithheld = false;
    bool isConnectionReused = false;
    absl::Duration idleTime = absl::ZeroDuration();
    bool hasReceived = false;
    bool written = false;
};

} // namespace foxtailtally
