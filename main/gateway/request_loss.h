#pragma once

#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtailtally {

/** A request that ended without a complete response. */
struct LostRequest
{
    std::string_view id;
    std::string_view cause;
    absl::Time receivedAt;
    /** When its response was due; nullopt if it was not admitted. */
    std::optional<absl::Time> answerBy;
    /** Configuration that it was admitted under; negative without one. */
    std::int64_t config = -1;
    /** How far it was: "reading", "refusing", "waiting", "sent" or "streaming". */
    std::string_view progress;
    /** Null if it was sent nowhere. */
    const AttemptTrail *trail = nullptr;
};

/** What is reported of the call @p state that ended by @p cause; @p state outlives it. */
LostRequest lostRequest(const CallState &state, std::string_view cause);

/** Writes the line request_lost, with what may have been the reason. */
void logRequestLost(const GatewayContext &context, const LostRequest &request, absl::Time now);

} // namespace foxtailtally
