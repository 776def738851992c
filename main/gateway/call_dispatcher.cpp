#include "main/gateway/call_dispatcher.h"

#include "core/clock.h"
#include "main/gateway/call_log.h"
#include "servers/placement/prefill_cost.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Denied claims for tokens after which a call is refused; each takes a round trip to the issuer.
 */
constexpr int kMaxTokenDenials = 4;

/** Value of a call to a plain service, and added value of completing a response that has begun,
 * where calls compete for tokens. */
constexpr float kPlainCallWorth = 1.0F;
constexpr float kBegunResponseWorth = 100.0F;

/** Interval between attempts to find a server, or a plan that harms no other stream. */
constexpr absl::Duration kReplanInterval = absl::Milliseconds(20);

/** Interval between attempts to resume a response at a server that cannot be reached. */
constexpr absl::Duration kReconnectInterval = absl::Milliseconds(100);

} // namespace

bool CallDispatcher::dispatch(absl::Time now)
{
    const Service *found = this->state.call.config->findService(this->state.service);
    if (!found || this->state.isStopTooNear(this->context, now))
        return false;
    const SuspectPlacement restrictions =
        this->state.suspicion->restrictions(this->state.service, this->state.tried, now);
    if (restrictions.mustWait) {
        this->wait(kReplanInterval);
        return true;
    }
    if (restrictions.avoided.size() > restrictions.forbidden.size()
        && this->dispatchTo(*found, this->excludedServers(restrictions.avoided), now))
        return true;
    return this->dispatchTo(*found, this->excludedServers(restrictions.forbidden), now)
        || this->waitForPauseEnd(now);
}

bool CallDispatcher::waitForPauseEnd(absl::Time now)
{
    const std::optional<absl::Time> reopensAt =
        this->context.directory.pausedUntil(this->state.service, now);
    const absl::Duration left =
        this->state.call.receivedAt + this->state.call.route->objective - now;
    if (!reopensAt || *reopensAt - now > left * kMaxTokenWaitShare)
        return false;
    this->wait(*reopensAt - now);
    return true;
}

bool CallDispatcher::waitForReturn(absl::Time now)
{
    if (this->demand(now).callerTimeLeft <= kReconnectInterval)
        return false;
    this->wait(kReconnectInterval);
    return true;
}

std::vector<ServerKey> CallDispatcher::excludedServers(std::span<const ServerKey> others) const
{
    std::vector<ServerKey> excluded = this->state.tried;
    excluded.insert(excluded.end(), this->deniedServers.begin(), this->deniedServers.end());
    excluded.insert(excluded.end(), others.begin(), others.end());
    return excluded;
}

bool CallDispatcher::dispatchTo(const Service &service, std::span<const ServerKey> excluded,
                                absl::Time now)
{
    if (service.isEngine && this->state.isStream())
        return this->dispatchStream(service, excluded, now);
    return this->dispatchPlain(service, excluded, now);
}

StreamDemand CallDispatcher::demand(absl::Time now)
{
    StreamDemand demand;
    demand.promptTokens = this->state.call.headers.promptTokens;
    demand.answerTokens = this->state.call.headers.maxAnswerTokens;
    demand.firstEventDue = this->state.call.receivedAt + this->state.call.route->objective - now;
    demand.objective = this->state.call.route->objective;
    demand.eventGapObjective = this->state.call.route->eventGapObjective;
    demand.isResumed = this->state.hasAnswerBegun;
    demand.urgency = this->state.call.urgency;
    const absl::Time lastProgressAt =
        std::max(this->state.call.receivedAt, this->state.lastEventAt);
    // A crash also stalls the work of the engines that help.
    demand.usesFewestEngines = !this->state.suspicion->suspectParts(now).empty();
    demand.callerTimeLeft = std::min(this->state.call.answerBy,
                                     lastProgressAt + this->state.call.route->streamIdleTimeout())
        - now;
    return demand;
}

bool CallDispatcher::dispatchStream(const Service &service, std::span<const ServerKey> excluded,
                                    absl::Time now)
{
    const StreamDecision decision =
        StreamPlanner(this->context).decide(service, this->demand(now), excluded, now);
    this->state.lastPlan = decision.plan;
    // Completing a response that has begun outweighs any harm to others, and its caller is waiting.
    const bool mustPlace = this->state.hasAnswerBegun && decision.hasPlan;
    if (!mustPlace && decision.kind == StreamDecision::Kind::Wait) {
        this->wait(kReplanInterval);
        return true;
    }
    this->state.queuesEndAt = decision.queuesEndAt;
    if (!mustPlace && decision.kind != StreamDecision::Kind::Place)
        return false;
    if (!this->claimTokens(decision, now))
        this->place(decision, now);
    return true;
}

void CallDispatcher::place(const StreamDecision &decision, absl::Time now)
{
    this->dropPlacement();
    this->usesUnreachableEngine = !this->isPlanReachable(decision);
    PlacedStreamEvents &events = *this;
    this->placement =
        std::make_unique<PlacedStream>(this->context, this->state.call.headers.callId, events);
    this->placement->place(decision, this->demand(now), this->state.hasAnswerBegun, now);
}

void CallDispatcher::dropPlacement()
{
    PlacedStream::retire(this->context, std::move(this->placement));
}

float CallDispatcher::worth() const
{
    const float value = this->state.isStream()
        ? static_cast<float>(streamValue(this->state.call.headers.promptTokens))
        : kPlainCallWorth;
    return this->state.hasAnswerBegun ? value + kBegunResponseWorth : value;
}

absl::Duration CallDispatcher::tokenPatience(absl::Time now)
{
    if (this->state.hasAnswerBegun)
        return this->demand(now).callerTimeLeft * kMaxTokenWaitShare;
    const absl::Duration objective = this->state.call.route->objective;
    return foxtailtally::tokenPatience(this->state.call.receivedAt + objective - now, objective);
}

bool CallDispatcher::claimTokens(const StreamDecision &decision, absl::Time now)
{
    std::vector<std::size_t> engines = {decision.plan.server};
    engines.insert(engines.end(), decision.plan.helpers.begin(), decision.plan.helpers.end());
    std::vector<TokenWait::Need> needs;
    this->unlimitedEngines.clear();
    for (const std::size_t index : engines) {
        const EngineCandidate &engine = decision.candidates[index];
        if (engine.isLimited)
            needs.push_back({engine.server});
        else
            this->unlimitedEngines.push_back(engine.server);
    }
    if (needs.empty())
        return false;
    if (!decision.limited.empty())
        needs = {decision.limited};
    TokenWaitEvents &events = *this;
    this->tokens = std::make_unique<TokenWait>(this->context, needs, this->worth(),
                                               this->tokenPatience(now), events);
    return true;
}

bool CallDispatcher::claimTokens(const ServiceChoice &choice, absl::Time now)
{
    if (choice.limited.empty())
        return false;
    TokenWaitEvents &events = *this;
    this->tokens = std::make_unique<TokenWait>(this->context, std::span(&choice.limited, 1),
                                               this->worth(), this->tokenPatience(now), events);
    return true;
}

void CallDispatcher::onTokensGranted(absl::Time now)
{
    if (this->state.isDone)
        return;
    if (!this->state.suspicion->isQuarantined(now) && this->dispatchWithTokens(now))
        return;
    this->onTokensDenied(now);
}

void CallDispatcher::onTokensDenied(absl::Time now)
{
    if (this->state.isDone)
        return;
    const std::vector<ServerKey> claimed = this->tokens->claimed();
    this->deniedServers.insert(this->deniedServers.end(), claimed.begin(), claimed.end());
    this->dropTokens(now);
    if (this->events.hasAttempts()) {
        this->events.onCopyFailed();
        return;
    }
    if (++this->tokenDenials > kMaxTokenDenials || this->state.suspicion->isQuarantined(now)
        || !this->dispatch(now))
        this->events.onDispatchFailed(AttemptEnd::NotPermitted, now);
}

bool CallDispatcher::dispatchWithTokens(absl::Time now)
{
    const std::vector<ServerKey> granted = this->tokens->granted();
    const Service *found = this->state.call.config->findService(this->state.service);
    if (!found)
        return false;
    if (!found->isEngine || !this->state.isStream()) {
        const ServerDirectory::Server *server = this->context.directory.findByKey(granted.front());
        if (!server)
            return false;
        this->events.onServerChosen(*server, now);
        return true;
    }
    std::vector<ServerKey> engines = this->unlimitedEngines;
    engines.insert(engines.end(), granted.begin(), granted.end());
    const StreamDecision decision =
        StreamPlanner(this->context).decideAmong(*found, this->demand(now), engines, now);
    this->state.lastPlan = decision.plan;
    const bool mustPlace = this->state.hasAnswerBegun && decision.hasPlan;
    if (!mustPlace && decision.kind != StreamDecision::Kind::Place)
        return false;
    this->place(decision, now);
    return true;
}

void CallDispatcher::dropTokens(absl::Time now)
{
    if (!this->tokens)
        return;
    this->tokens->release(now);
    this->context.retired.push_back(std::move(this->tokens));
}

void CallDispatcher::onPlacementReady(absl::Time now)
{
    if (this->state.isDone)
        return;
    if (this->state.suspicion->isQuarantined(now) || !this->placement->isValid(now)) {
        this->retryPlacement(false, now);
        return;
    }
    this->events.onEngineReady(std::move(this->placement), now);
}

void CallDispatcher::onPlacementFailed(std::span<const ServerKey> engines, absl::Time now)
{
    if (this->state.isDone)
        return;
    bool foundUnreachable = false;
    for (const ServerKey engine : engines) {
        // Plans avoid an unreachable engine until it accepts a connection, and may use it then.
        const bool isUnreachable = this->context.reachability.hasFailed(engine);
        foundUnreachable = foundUnreachable || (isUnreachable && !this->usesUnreachableEngine);
        if (!isUnreachable && !this->isPaused(engine, now))
            this->state.tried.push_back(engine);
    }
    this->retryPlacement(foundUnreachable, now);
}

bool CallDispatcher::isPaused(ServerKey server, absl::Time now) const
{
    return this->context.directory.backpressure().pausedUntil(server) > now;
}

void CallDispatcher::retryPlacement(bool foundUnreachable, absl::Time now)
{
    this->dropPlacement();
    this->dropTokens(now);
    if (this->events.hasAttempts()) {
        this->events.onCopyFailed();
        return;
    }
    if (!foundUnreachable)
        ++this->state.rejections;
    const bool isQuarantined = this->state.suspicion->isQuarantined(now);
    if (this->state.rejections <= kMaxRejections && !isQuarantined && this->dispatch(now))
        return;
    const bool isUnreachable = foundUnreachable || this->usesUnreachableEngine;
    if (this->state.hasAnswerBegun && isUnreachable && !isQuarantined && this->waitForReturn(now))
        return;
    this->events.onDispatchFailed(AttemptEnd::NotSent, now);
}

bool CallDispatcher::dispatchPlain(const Service &service, std::span<const ServerKey> excluded,
                                   absl::Time now)
{
    const ServiceChoice choice =
        ServicePlanner(this->context).choose(service, excluded, this->tokenPatience(now), now);
    if (!choice.server)
        return false;
    if (!this->claimTokens(choice, now))
        this->events.onServerChosen(*choice.server, now);
    return true;
}

std::optional<CopyPlan> CallDispatcher::planCopy(absl::Time now)
{
    const Service *found = this->state.call.config->findService(this->state.service);
    if (!found || this->state.suspicion->isTrial() || this->state.suspicion->isQuarantined(now))
        return std::nullopt;
    const SuspectPlacement restrictions =
        this->state.suspicion->restrictions(this->state.service, this->state.tried, now);
    if (restrictions.mustWait)
        return std::nullopt;
    const std::vector<ServerKey> excluded = this->excludedServers(restrictions.forbidden);
    CopyPlan plan;
    plan.isForEngine = found->isEngine;
    if (plan.isForEngine) {
        const StreamDemand demand = this->demand(now);
        plan.decision = StreamPlanner(this->context).decide(*found, demand, excluded, now);
        plan.isTimely = StreamPlanner::isTimely(plan.decision, demand);
    } else {
        plan.choice =
            ServicePlanner(this->context).choose(*found, excluded, this->tokenPatience(now), now);
        plan.isTimely = plan.choice.server != nullptr;
    }
    return plan;
}

void CallDispatcher::dispatchCopy(const CopyPlan &plan, absl::Time now)
{
    this->dropTokens(now);
    if (!plan.isForEngine) {
        if (!this->claimTokens(plan.choice, now))
            this->events.onServerChosen(*plan.choice.server, now);
        return;
    }
    this->state.lastPlan = plan.decision.plan;
    if (!this->claimTokens(plan.decision, now))
        this->place(plan.decision, now);
}

void CallDispatcher::dispatchUnlimited(absl::Time now)
{
    std::vector<ServerKey> limited;
    for (const ServerDirectory::Server *server :
         this->context.directory.usable(this->state.service, now)) {
        if (this->context.limits.isLimited(server->key))
            limited.push_back(server->key);
    }
    if (const Service *found = this->state.call.config->findService(this->state.service))
        this->dispatchTo(*found, this->excludedServers(limited), now);
}

void CallDispatcher::wait(absl::Duration delay)
{
    this->waiting = true;
    this->events.onWaiting(delay);
}

void CallDispatcher::resume(absl::Time now)
{
    this->waiting = false;
    if (this->state.suspicion->isQuarantined(now) || !this->dispatch(now))
        this->events.onDispatchFailed(AttemptEnd::NotSent, now);
}

bool CallDispatcher::isPreparing() const
{
    return this->placement || (this->tokens && this->tokens->isPending());
}

bool CallDispatcher::isPlanReachable(const StreamDecision &decision) const
{
    const auto isReachable = [&](std::size_t engine) {
        return this->context.reachability.isReachable(decision.candidates[engine].server,
                                                      decision.servers[engine]->entry.domain);
    };
    return isReachable(decision.plan.server)
        && std::all_of(decision.plan.helpers.begin(), decision.plan.helpers.end(), isReachable);
}

bool CallDispatcher::spendTokens(ServerKey server, const PlacedStream *placement, absl::Time now)
{
    std::vector<ServerKey> servers = {server};
    if (placement) {
        if (!placement->isValid(now))
            return false;
        const std::span<const ServerKey> helpers = placement->helperKeys();
        servers.insert(servers.end(), helpers.begin(), helpers.end());
    }
    return std::all_of(servers.begin(), servers.end(), [this, now](ServerKey needed) {
        return !this->context.limits.isLimited(needed)
            || (this->tokens && this->tokens->spend(needed, now));
    });
}

} // namespace foxtailtally
