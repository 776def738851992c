#include "main/gateway/call_hedge.h"

#include "servers/retry/attempt_policy.h"

#include <algorithm>
#include <optional>

namespace foxtailtally {

namespace {

/** Shortest time before a copy: timers and the path to the server take some milliseconds. */
constexpr absl::Duration kMinDelay = absl::Milliseconds(10);

/** Longest prompt of a stream that is hedged: a second prefill of it takes some 100 ms. */
constexpr std::int64_t kMaxPromptTokens = 16000;

/** Age after which the load that a server has reported no longer counts. */
constexpr absl::Duration kMaxLoadAge = absl::Seconds(1);

constexpr std::string_view kHedges = "foxtailtally_hedges_total";

absl::Duration predictedFirstEvent(const CallAttempt &attempt)
{
    if (!attempt.placement)
        return absl::ZeroDuration();
    return absl::Milliseconds(attempt.placement->plan().predictedFirstEventMs);
}

ServiceRoom serviceRoom(const GatewayContext &context, const std::string &service, absl::Time now)
{
    ServiceRoom room;
    const ServerLoads loads = context.ledger.loads(now);
    for (const ServerDirectory::Server *server : context.directory.usable(service, now)) {
        room.slots += server->entry.slots;
        std::int64_t used = 0;
        if (const auto load = loads.find(server->key); load != loads.end())
            used = load->second.streams;
        if (const auto found = context.activity.find(server->key);
            found != context.activity.end()) {
            const ServerActivity &activity = found->second;
            used = std::max(used, activity.outstanding);
            if (now - activity.reportedAt < kMaxLoadAge)
                used = std::max(used, activity.reportedCalls);
        }
        room.usedSlots += std::min(used, server->entry.slots);
    }
    return room;
}

} // namespace

absl::Duration CallHedge::delayAt(ServerKey server) const
{
    const absl::Duration usual =
        hedgeDelay(this->context.health.latency(server), this->state.call.route->objective);
    if (!this->context.hedges.isLimited())
        return usual;
    return std::max(kMinDelay, this->context.hedges.delay(this->state.service).value_or(usual));
}

absl::Duration CallHedge::delayAt(const PlacedStream &placement) const
{
    const StreamPlan &plan = placement.plan();
    const bool isLittleWork =
        plan.helpers.empty() && this->state.call.headers.promptTokens <= kMaxPromptTokens;
    if (!this->context.hedges.isLimited() || !isLittleWork || this->state.hasAnswerBegun)
        return absl::InfiniteDuration();
    const std::optional<absl::Duration> excess = this->context.hedges.delay(this->state.service);
    if (!excess)
        return absl::InfiniteDuration();
    return std::max(kMinDelay, absl::Milliseconds(plan.predictedFirstEventMs) + *excess);
}

bool CallHedge::mayCopy(absl::Time now) const
{
    return !this->context.hedges.isLimited()
        || this->context.hedges.mayCopy(this->state.service,
                                        serviceRoom(this->context, this->state.service, now), now);
}

bool CallHedge::isDue(const CallAttempt &attempt, absl::Time now) const
{
    if (!this->context.hedges.isLimited() || !attempt.placement || this->state.hasAnswerBegun
        || !this->state.call.route->canResume
        || this->state.runs + 1 >= this->state.call.route->maxAttempts)
        return false;
    // A second copy of a call that may crash its server could crash another one.
    return now - attempt.call->sentAt() >= this->delayAt(*attempt.placement)
        && this->state.suspicion->nextRun(now) == SuspectRun::None && this->mayCopy(now);
}

void CallHedge::countCopy(absl::Time now)
{
    this->context.hedges.onCopy(this->state.service, now);
    this->context.metrics.counter(kHedges, {{"service", this->state.service}}).add();
}

void CallHedge::recordResponse(absl::Duration time)
{
    if (this->state.call.route->kind == CallKind::Idempotent)
        this->context.hedges.onResponse(this->state.service, time);
}

void CallHedge::recordFirstEvent(const CallAttempt &attempt, absl::Time now)
{
    if (attempt.placement && !this->state.hasAnswerBegun)
        this->context.hedges.onResponse(
            this->state.service, now - attempt.call->sentAt() - predictedFirstEvent(attempt));
}

void CallHedge::recordNoResponse(const CallAttempt &attempt, absl::Time now)
{
    const bool hasResponse =
        attempt.reply.status != 0 || attempt.firstEventAt != absl::InfiniteFuture();
    if (!hasResponse && attempt.call->wasWritten())
        this->context.hedges.onNoResponse(
            this->state.service, now - attempt.call->sentAt() - predictedFirstEvent(attempt));
}

} // namespace foxtailtally
