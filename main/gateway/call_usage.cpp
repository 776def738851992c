#include "main/gateway/call_usage.h"

#include <utility>

namespace foxtailtally {

void countUsage(GatewayContext &context, CallState &state, absl::Time runsSince)
{
    if (!context.usage || std::exchange(state.isUsageCounted, true))
        return;
    context.usage->count(CustomerId(state.call.customer), runsSince);
}

void meterDemand(GatewayContext &context, const CallState &state)
{
    const Service *service = state.call.config->findService(state.service);
    if (context.demand && service && state.isStream())
        context.demand->addStream(*service, state.call.headers.promptTokens,
                                  state.call.headers.maxAnswerTokens);
}

} // namespace foxtailtally
