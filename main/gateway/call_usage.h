#pragma once

#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** There is evidence that the request runs since @p runsSince. It is counted once for its customer,
 * whatever attempt ran it. Does nothing in a deployment without a control API. */
void countUsage(GatewayContext &context, CallState &state, absl::Time runsSince);

/** Adds what the request demands of its service. Does nothing in a deployment without a control
 * API.
 */
void meterDemand(GatewayContext &context, const CallState &state);

} // namespace foxtailtally
