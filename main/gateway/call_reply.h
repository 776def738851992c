#pragma once

#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"
#include "peers/http/inbound_connection.h"
#include "servers/account/request_account.h"
#include "servers/memory/response_buffer.h"

#include <absl/time/time.h>
#include <optional>
#include <string_view>

namespace foxtailtally {

class CallReplyEvents
{
public:
    virtual ~CallReplyEvents() = default;
    /** The caller has a complete response. */
    virtual void onReplied(RequestEnd end, std::string_view outcome, int status) = 0;
};

/** Complete responses to the caller of one call: refusals, failures and what a server sent. */
class CallReply
{
public:
    CallReply(GatewayContext &context, CallState &state, InboundConnection &caller,
              CallReplyEvents &events)
        : context(context)
        , state(state)
        , caller(caller)
        , events(events)
    { }

    /** Responds that the call has not run and that no server can take it now. */
    void refuse(std::string_view cause, absl::Time now);
    /** Responds that the call has not run, and that other instances take it. */
    void refuseForStop();
    void refuseQuarantined(absl::Time now);
    void sendLocal(int status, std::string_view cause, bool notRun);
    /** Keeps a server's response, in place of an earlier one. */
    void store(ResponseHead reply, ResponseHold headHold, ResponseBuffer body);
    /** Drops the response that is kept. */
    void dropStored();
    /** Status of the response that is kept; 0 while there is none. */
    int storedStatus() const { return this->stored.status; }
    void forwardStored();

private:
    /** Retry-After of a call that a server can take from @p reopensAt on. */
    absl::Duration spacedRetryAfter(absl::Time reopensAt, double callsPerSecond, absl::Time now);
    void sendLocal(int status, std::string_view cause, bool notRun,
                   std::optional<absl::Duration> retryAfter);

    GatewayContext &context;
    CallState &state;
    InboundConnection &caller;
    CallReplyEvents &events;
    ResponseHead stored;
    ResponseHold storedHeadHold;
    ResponseBuffer storedBody;
};

} // namespace foxtailtally
