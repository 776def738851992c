#include "main/gateway/call_state.h"

namespace foxtailtally {

bool CallState::isStopTooNear(const GatewayContext &context, absl::Time now) const
{
    // A response that has begun is completed here if it can be: no other instance could.
    if (!context.stop.isStopping() || this->hasAnswerBegun)
        return false;
    CallDemand demand;
    demand.route = this->call.route;
    demand.service = this->call.config->findService(this->service);
    demand.promptTokens = this->call.headers.promptTokens;
    demand.answerTokens = this->call.headers.maxAnswerTokens;
    return !context.stop.maySend(expectedCallTime(demand), now);
}

CallProgress CallState::progress(absl::Time now)
{
    CallProgress progress;
    progress.isRepeatable = this->call.route->isRepeatable();
    progress.runs = this->runs;
    progress.maxRuns = this->maxRuns();
    progress.rejections = this->rejections;
    progress.hasAnswerBegun = this->hasAnswerBegun;
    progress.isQuarantined = this->suspicion->isQuarantined(now);
    return progress;
}

} // namespace foxtailtally
