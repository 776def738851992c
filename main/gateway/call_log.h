#pragma once

#include "core/request.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/server_call.h"
#include "main/gateway/stream_planner.h"

#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/** What the log says of the call whose attempt ended. */
struct AttemptRecord
{
    std::string callId;
    Fingerprint fingerprint {};
    int runs = 0;
    int rejections = 0;
    /** The attempt brought an event of the answer before it ended. */
    bool hadEvent = false;
};

/** Logs and counts the end of an attempt, with what is known of its server at this moment. */
void logAttemptEnd(GatewayContext &context, const ServerCall &call, AttemptEnd end,
                   const AttemptRecord &record, absl::Time now);

/** Logs where a stream is placed, and why there. */
void logPlacement(const GatewayContext &context, const std::string &callId,
                  const StreamDecision &decision);

} // namespace foxtailtally
