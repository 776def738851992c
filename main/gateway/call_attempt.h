#pragma once

#include "main/gateway/placed_stream.h"
#include "main/gateway/server_call.h"
#include "peers/http/http_head.h"
#include "servers/memory/response_buffer.h"
#include "servers/retry/attempt_policy.h"
#include "servers/retry/event_relay.h"

#include <absl/time/time.h>
#include <memory>
#include <optional>

namespace foxtailtally {

/** An attempt of a call in flight, with the part of the response that has been received. */
struct CallAttempt
{
    std::unique_ptr<ServerCall> call;
    /** Null for calls that need no engine. */
    std::unique_ptr<PlacedStream> placement;
    EventRelay::Run run;
    ResponseHead reply;
    /** Memory of the head. */
    ResponseHold headHold;
    ResponseBuffer body;
    /** What a stream has sent before the first event of the answer. */
    ResponseBuffer preamble;
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
    /** Repeats an attempt at the same server whose connection was dropped. */
    bool isRepetition = false;
    /** The server was known to be unreachable when it was chosen for want of another. */
    bool wasUnreachable = false;
};

} // namespace foxtailtally
