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

namespace foxtailtally {

class ServerCall;

/** What a ServerCall reports. A call that ended is silent from then on. */
class ServerCallEvents
{
public:
    virtual ~ServerCallEvents() = default;
    /** The server answers the call; the body follows. */
    virtual void onReply(ServerCall &call, const ResponseHead &head,
                         const platform::ServerReply &reply) = 0;
    virtual void onReplyBody(ServerCall &call, std::string_view data) = 0;
    virtual void onReplyComplete(ServerCall &call) = 0;
    /** The call ended without a usable answer. */
    virtual void onAttemptEnded(ServerCall &call, AttemptEnd end) = 0;
};

/** Which server gets an attempt. */
struct AttemptTarget
{
    BackendServerId id;
    Incarnation incarnation = 0;
    ServerKey key = 0;
    std::string address;
    FailureDomainId domain;
    /** What is suspected of the call. */
    SuspectRun suspicion = SuspectRun::None;
};

/** One attempt of a call at one server. */
class ServerCall final : public Retirable, private OutboundEvents
{
public:
    ServerCall(GatewayContext &context, AttemptTarget target, ServerCallEvents &events);
    ~ServerCall() override;

    /**
     * Sends @p request. @p mustNotRepeat: the call may run once only, so a kept connection, which
     * may be broken without notice, is not used.
     */
    void send(std::string request, bool isHeadRequest, const std::string &callId,
              bool mustNotRepeat, absl::Time now);
    /** Gives the attempt up; the server is told by the close of the connection. */
    void cancel();
    void pauseReading(bool isPaused);
    /** The server has run the call for long enough not to end of it. */
    void clearSuspicion();

    const AttemptTarget &target() const { return this->server; }
    absl::Time sentAt() const { return this->startedAt; }
    /** Another server, or another life of this one, has the address. */
    bool wasMisdirected() const { return this->misdirected; }
    /** Server that a rejection named as its cause; empty when it named none. */
    const std::string &faultyServer() const { return this->faulty; }
    /** What broke the attempt; no error while nothing has. */
    std::error_code failure() const { return this->failed; }

private:
    void onResponseHead(OutboundConnection &connection, const ResponseHead &head) override;
    void onResponseBody(OutboundConnection &connection, std::string_view data) override;
    void onResponseComplete(OutboundConnection &connection) override;
    void onCallFailed(OutboundConnection &connection, std::error_code error) override;

    void onConnectTimer();
    void end(AttemptEnd end);
    void detach();
    /** Adds @p change to the calls of its kind at the server. */
    void countSuspect(std::int64_t change);
    void countOut();
    /** Judges the head; NextStep-relevant end when the reply is of no use. */
    bool isUsable(const ResponseHead &head, const platform::ServerReply &reply) const;

    GatewayContext &context;
    AttemptTarget server;
    ServerCallEvents &events;
    std::unique_ptr<OutboundConnection> connection;
    LoopTimer connectTimer;
    std::string callId;
    absl::Time startedAt = absl::InfinitePast();
    std::string faulty;
    std::error_code failed;
    bool misdirected = false;
    bool wasConnectionKept = false;
    bool mustNotRepeat = false;
};

} // namespace foxtailtally
