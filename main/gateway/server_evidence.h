#pragma once

#include "main/gateway/gateway_context.h"
#include "main/gateway/server_call.h"
#include "servers/catalog/serving_config.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** Keeps what the end of an attempt says of the servers, and tells other instances of suspects. */
void recordAttemptEnd(GatewayContext &context, const ServerCall &call, AttemptEnd end,
                      absl::Time now);

/** Keeps what a server asks for in the head of an answer; no work from now on, or for a time.
 * @p callId: the call or reservation that it answers. */
void recordBackpressure(GatewayContext &context, ServerKey server,
                        const platform::ServerReply &reply, const std::string &callId,
                        absl::Time now);

/** Judges the pace of an engine by the pauses between the events of its streams. */
void recordEventGap(GatewayContext &context, ServerKey server, const EngineTiming &engine,
                    std::int64_t promptTokens, absl::Duration gap);

/** Longest time in milliseconds for which an engine with the known load is silent: a pass of its
 * writers and the reads that are placed. */
double maxExpectedSilenceMs(const GatewayContext &context, const EngineTiming &engine,
                            ServerKey server, absl::Time now);

} // namespace foxtailtally
