#include "servers/placement/admission_order.h"

#include "servers/placement/prefill_cost.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace foxtailtally {

namespace {

/** Numbers of priorities for timely streams, and for deferred ones. */
constexpr int kPrioritiesPerClass = 5;

/** Number of deferred streams that may be queued at an engine beyond the usual number. With the
 * time that a slot takes to become free, the last of them waits for nearly the two seconds after
 * which callers of short streams leave; engines reject requests beyond 24 queued ones. */
constexpr std::int64_t kDeferredQueue = 10;

/** Change of the number of timely streams that may be queued at an engine, which leaves one: the
 * second one would be late. */
constexpr std::int64_t kTimelyQueueChange = -2;

/** Predictions up to this share of the time to the objective count as timely; several instances
 * choose the same free slot before they hear of each other. */
constexpr double kTimelyShare = 0.85;

/** Share of the engines, from the end of their order, at which short deferred streams are queued.
 * An engine with such a queue never has a free slot; if all had one, each timely stream would wait
 * for a slot of the engine that it was sent to, while slots of others go to deferred streams. */
constexpr double kDeferredEngineShare = 0.15;

/** Share of the time that a caller waits within which the first event must be predicted. */
constexpr double kMaxFirstEventShare = 0.9;

bool hasFreeSlot(const EngineCandidate &candidate, const ServerLoads &loads)
{
    const auto load = loads.find(candidate.server);
    return load == loads.end() || load->second.streams < candidate.slots;
}

/** The last engine whose queue ends before the caller leaves, among those for deferred streams. */
std::optional<StreamPlan> queueDeferred(const StreamPlacement &placement,
                                        const StreamDemand &demand,
                                        std::span<const EngineCandidate> candidates,
                                        const ServerLoads &loads)
{
    const auto usable = std::count_if(candidates.begin(), candidates.end(), isUsable);
    auto left =
        static_cast<std::int64_t>(std::ceil(kDeferredEngineShare * static_cast<double>(usable)));
    const double latest = kMaxFirstEventShare * absl::ToDoubleMilliseconds(demand.callerTimeLeft);
    for (std::size_t i = candidates.size(); i-- > 0 && left > 0;) {
        if (!isUsable(candidates[i]))
            continue;
        --left;
        EngineCandidate engine = candidates[i];
        engine.extraQueue += kDeferredQueue;
        std::optional<StreamPlan> plan = placement.choose(std::span(&engine, 1), loads);
        if (!plan || plan->predictedFirstEventMs > latest)
            continue;
        plan->server = i;
        return plan;
    }
    return std::nullopt;
}

} // namespace

bool isUsable(const EngineCandidate &candidate)
{
    return !candidate.isSuspect && !candidate.isUnreachable && !candidate.exceedsColdRate
        && !candidate.lacksToken;
}

AdmissionOrder parseAdmissionOrder(std::string_view text)
{
    return text == "objective" ? AdmissionOrder::Objective : AdmissionOrder::Arrival;
}

int admissionPriority(const StreamDemand &demand, const StreamPlan &plan)
{
    if (demand.isResumed || !plan.holders.empty())
        return 0;
    const int urgency = std::clamp(demand.urgency, 0, kPrioritiesPerClass - 1);
    return plan.isDeferred ? kPrioritiesPerClass + urgency : urgency;
}

std::optional<StreamPlan> chooseByObjective(const EngineTiming &engine, StreamDemand demand,
                                            std::span<const EngineCandidate> candidates,
                                            const ServerLoads &loads, absl::Time now)
{
    const double due = kTimelyShare * absl::ToDoubleMilliseconds(demand.firstEventDue);
    std::vector<EngineCandidate> queues(candidates.begin(), candidates.end());
    for (EngineCandidate &candidate : queues)
        candidate.extraQueue += kTimelyQueueChange;
    demand.overtakesDeferred = true;
    std::optional<StreamPlan> plan = StreamPlacement(engine, demand, now).choose(queues, loads);
    if (plan && (demand.isResumed || plan->predictedFirstEventMs <= due))
        return plan;
    if (plan && hasFreeSlot(candidates[plan->server], loads)) {
        plan->isDeferred = plan->holders.empty();
        return plan;
    }
    if (!demand.isResumed && prefillMs(engine, demand.promptTokens) < kShortPrefillMs) {
        demand.overtakesDeferred = false;
        plan = queueDeferred(StreamPlacement(engine, demand, now), demand, candidates, loads);
        if (plan)
            plan->isDeferred = true;
        return plan;
    }
    for (EngineCandidate &candidate : queues)
        candidate.extraQueue += kDeferredQueue - kTimelyQueueChange;
    demand.overtakesDeferred = demand.isResumed;
    plan = StreamPlacement(engine, demand, now).choose(queues, loads);
    if (plan)
        plan->isDeferred =
            !demand.isResumed && plan->holders.empty() && plan->predictedFirstEventMs > due;
    return plan;
}

} // namespace foxtailtally
