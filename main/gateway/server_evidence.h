#pragma once

#include "main/gateway/gateway_context.h"
#include "main/gateway/server_call.h"
#include "servers/catalog/serving_config.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** Records what the end of an attempt shows about the servers, and reports servers that become
 * suspect to the other instances. */
void recordAttemptEnd(GatewayContext &context, const ServerCall &call, AttemptEnd end,
                      absl::Time now);

/** The request that a response belongs to. */
struct AnsweredRequest
{
    /** Id of the call or of the reservation. */
    std::string id;
    absl::Time sentAt;
};

/** Records what a server requests in the head of a response: no further calls, none for some time,
 * or a limited rate of requests. */
void recordBackpressure(GatewayContext &context, ServerKey server,
                        const platform::ServerReply &reply, const AnsweredRequest &request,
                        absl::Time now);

/** Counts and logs a response to @p call that may as well belong to an earlier call. */
void recordUnattributedResponse(GatewayContext &context, const AnsweredRequest &call,
                                const AttemptTarget &target, int status);

/** Estimates the slowdown of an engine from the gaps between the events of its streams. */
void recordEventGap(GatewayContext &context, ServerKey server, const EngineTiming &engine,
                    std::int64_t promptTokens, absl::Duration gap, absl::Time now);

/** Longest time in milliseconds for which an engine with the known load is silent: one decode pass
 * and the prefills that are placed on it. */
double maxExpectedSilenceMs(const GatewayContext &context, const EngineTiming &engine,
                            ServerKey server, absl::Time now);

} // namespace foxtailtally
