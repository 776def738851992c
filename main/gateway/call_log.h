#pragma once

#include "core/request.h"
#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/server_call.h"
#include "main/gateway/stream_planner.h"
#include "platform/call_headers.h"
#include "servers/account/request_account.h"

#include <absl/time/time.h>
#include <span>
#include <string>
#include <string_view>

namespace foxtailtally {

/** What is logged about the call whose attempt ended. */
struct AttemptRecord
{
    std::string callId;
    Fingerprint fingerprint {};
    /** Ids of the parts of the prompt that other calls may share. */
    std::span<const std::string> sharedParts;
    int runs = 0;
    int rejections = 0;
    /** The attempt delivered an event of the stream before it ended. */
    bool hadEvent = false;
};

/** Counts a list of prompt parts that could not be decoded whole. */
void countPromptList(GatewayContext &context, const platform::PromptParts &prompt);

/** Logs and counts the end of an attempt, with the state of its server at that time. */
void logAttemptEnd(GatewayContext &context, const ServerCall &call, AttemptEnd end,
                   const AttemptRecord &record, absl::Time now);

/** Logs and counts @p end of a call. @p server: of its last attempt, if that was in flight. */
void logCallDone(GatewayContext &context, const CallState &state, const std::string &server,
                 RequestEnd end, std::string_view outcome, int status, absl::Time now);

/** Logs and counts that a call is not sent to another server after an attempt that ended with @p
 * end. */
void logNotRetried(GatewayContext &context, const std::string &callId, AttemptEnd end,
                   std::string_view cause);

/** Logs on which engines a stream is placed, and the figures behind the decision. */
void logPlacement(const GatewayContext &context, const std::string &callId,
                  const StreamDecision &decision, absl::Time now);

/** Logs the rate limits that a call to @p service is refused for. */
void logRateLimitRefusal(const std::string &callId, const std::string &service,
                         const TokenForecast &tokens, absl::Duration retryAfter, absl::Time now);

} // namespace foxtailtally
