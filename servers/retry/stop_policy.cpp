#include "servers/retry/stop_policy.h"

#include "servers/placement/prefill_cost.h"

#include <algorithm>

namespace foxtailtally {

absl::Duration expectedCallTime(const CallDemand &demand)
{
    const Route &route = *demand.route;
    if (route.kind != CallKind::Streaming || !demand.service || !demand.service->isEngine)
        return route.objective;
    const EngineTiming &engine = demand.service->engine;
    const std::int64_t stepsPerPass = std::max<std::int64_t>(1, engine.stepsPerPass);
    const std::int64_t passes = (demand.answerTokens + stepsPerPass - 1) / stepsPerPass;
    const double passMs = decodePassMs(engine, engine.slots, demand.promptTokens);
    return route.objective + static_cast<double>(passes) * absl::Milliseconds(passMs);
}

void StopPolicy::begin(absl::Time now)
{
    this->beganAt = std::min(this->beganAt, now);
}

bool StopPolicy::maySend(absl::Duration expected, absl::Time now) const
{
    return now + expected <= this->answersBy();
}

} // namespace foxtailtally
