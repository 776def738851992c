#include "main/gateway/stream_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

/** Share of the rate that a cold server can sustain which all instances together use. */
constexpr double kColdRateShare = 0.7;

/** A stream is not worthwhile when its first event is predicted after this share of the time that
 * its caller waits. */
constexpr double kMaxFirstEventShare = 0.9;

/** Longest prompt that may wait at an engine for memory. An engine admits requests in order, so a
 * longer one would block all requests behind it. */
constexpr std::int64_t kMaxQueuedPromptTokens = 24000;

/** A call that is late already waits for a token as if this share of its objective were left. */
constexpr double kMinTokenWaitShare = 0.2;

/** A stream without a plan waits for this share of its objective before it is refused. */
constexpr double kMaxWaitShare = 0.5;

/** The first server of each failure domain, then the second of each, and so on. Each domain thus
 * has its share of the engines for short streams and of those for long prefills. */
std::vector<const ServerDirectory::Server *>
interleavedByDomain(std::vector<const ServerDirectory::Server *> servers)
{
    absl::flat_hash_map<FailureDomainId, std::size_t> counts;
    std::vector<std::pair<std::size_t, const ServerDirectory::Server *>> ranked;
    ranked.reserve(servers.size());
    for (const ServerDirectory::Server *server : servers)
        ranked.emplace_back(counts[server->entry.domain]++, server);
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return std::tie(a.first, a.second->entry.domain)
            < std::tie(b.first, b.second->entry.domain);
    });
    std::transform(ranked.begin(), ranked.end(), servers.begin(),
                   [](const auto &item) { return item.second; });
    return servers;
}

} // namespace

absl::Duration tokenPatience(absl::Duration left, absl::Duration objective)
{
    return std::max(left, objective * kMinTokenWaitShare) * kMaxTokenWaitShare;
}

StreamDecision StreamPlanner::decide(const Service &service, const StreamDemand &demand,
                                     std::span<const ServerKey> tried, absl::Time now) const
{
    const auto wasNotTried = [tried](ServerKey engine) {
        return std::find(tried.begin(), tried.end(), engine) == tried.end();
    };
    return this->decide(service, demand, wasNotTried, false, now);
}

StreamDecision StreamPlanner::decideAmong(const Service &service, const StreamDemand &demand,
                                          std::span<const ServerKey> engines, absl::Time now) const
{
    const auto isListed = [engines](ServerKey engine) {
        return std::find(engines.begin(), engines.end(), engine) != engines.end();
    };
    return this->decide(service, demand, isListed, true, now);
}

StreamDecision StreamPlanner::decide(const Service &service, const StreamDemand &demand,
                                     absl::FunctionRef<bool(ServerKey)> isCandidate, bool hasTokens,
                                     absl::Time now) const
{
    StreamDecision decision;
    const ServerLoads loads = this->context.ledger.loads(now);
    this->collect(service, isCandidate, loads, now, decision);
    if (!hasTokens)
        this->excludeWithoutToken(demand, now, decision);
    const bool isByObjective = this->context.settings.order == AdmissionOrder::Objective;
    std::optional<StreamPlan> plan = this->choose(service, demand, decision.candidates, loads, now);
    if (!plan) {
        // A suspicion may be wrong, and an engine queues requests beyond its slots and memory. By
        // objective, full queues are no reason to use a suspect engine, and a queue is planned
        // with its wait.
        const bool mayUseSuspects = !isByObjective
            || std::none_of(decision.candidates.begin(), decision.candidates.end(), isUsable);
        for (EngineCandidate &candidate : decision.candidates) {
            candidate.isSuspect = candidate.isSuspect && !mayUseSuspects;
            if (!isByObjective)
                candidate.slots *= 2;
            candidate.mayExceedMemory = demand.promptTokens <= kMaxQueuedPromptTokens;
        }
        plan = this->choose(service, demand, decision.candidates, loads, now);
    }
    const bool mayUseUnreachable = !isByObjective
        || std::none_of(decision.candidates.begin(), decision.candidates.end(), isUsable);
    if (!plan && mayUseUnreachable) {
        for (EngineCandidate &candidate : decision.candidates)
            candidate.isUnreachable = false;
        plan = this->choose(service, demand, decision.candidates, loads, now);
    }
    if (!plan) {
        const bool mayChange =
            std::any_of(decision.candidates.begin(), decision.candidates.end(),
                        [](const EngineCandidate &candidate) { return !candidate.lacksToken; });
        const bool mayWait =
            mayChange && demand.firstEventDue > demand.objective * (1.0 - kMaxWaitShare);
        // Longer prompts may lack memory rather than a place in a queue, and engines that are cold
        // or suspect may take the stream soon.
        const bool areQueuesFull = isByObjective && demand.promptTokens <= kMaxQueuedPromptTokens
            && std::any_of(decision.candidates.begin(), decision.candidates.end(), isUsable);
        decision.kind =
            mayWait && !areQueuesFull ? StreamDecision::Kind::Wait : StreamDecision::Kind::NoServer;
        if (areQueuesFull)
            decision.queuesEndAt = now + demand.callerTimeLeft;
        return decision;
    }
    decision.plan = *plan;
    decision.hasPlan = true;
    const auto load = loads.find(decision.candidates[plan->server].server);
    if (load != loads.end()) {
        decision.prefillLeftMs = load->second.prefillLeftMs;
        decision.decodingStreams = load->second.decodingStreams;
    }
    if (isByObjective)
        decision.admissionPriority = admissionPriority(demand, *plan);
    this->findAlternatives(loads, decision);
    const StreamPlacement placement(service.engine, demand, now);
    const double useful = absl::ToDoubleMilliseconds(demand.callerTimeLeft);
    const bool isTooLate = plan->predictedFirstEventMs > kMaxFirstEventShare * useful;
    if (isByObjective && isTooLate)
        decision.queuesEndAt = now + absl::Milliseconds(plan->predictedFirstEventMs);
    if (isTooLate)
        decision.kind = StreamDecision::Kind::NotWorthwhile;
    else if (placement.shouldWait(*plan))
        decision.kind = StreamDecision::Kind::Wait;
    else
        decision.kind = placement.isWorthwhile(*plan) ? StreamDecision::Kind::Place
                                                      : StreamDecision::Kind::NotWorthwhile;
    return decision;
}

std::optional<StreamPlan> StreamPlanner::choose(const Service &service, const StreamDemand &demand,
                                                std::span<const EngineCandidate> candidates,
                                                const ServerLoads &loads, absl::Time now) const
{
    if (this->context.settings.order == AdmissionOrder::Objective)
        return chooseByObjective(service.engine, demand, candidates, loads, now);
    return StreamPlacement(service.engine, demand, now).choose(candidates, loads);
}

bool StreamPlanner::isTimely(const StreamDecision &decision, const StreamDemand &demand)
{
    return decision.kind == StreamDecision::Kind::Place
        && absl::Milliseconds(decision.plan.predictedFirstEventMs)
        < demand.callerTimeLeft * kMigrationTimeoutShare;
}

void StreamPlanner::excludeWithoutToken(const StreamDemand &demand, absl::Time now,
                                        StreamDecision &decision) const
{
    const absl::Time latest = now + tokenPatience(demand.firstEventDue, demand.objective);
    for (EngineCandidate &candidate : decision.candidates)
        candidate.lacksToken =
            candidate.isLimited && this->context.limits.tokenExpectedAt(candidate.server) > latest;
}

void StreamPlanner::findAlternatives(const ServerLoads &loads, StreamDecision &decision) const
{
    const EngineCandidate &chosen = decision.candidates[decision.plan.server];
    if (!chosen.isLimited || !decision.plan.helpers.empty())
        return;
    std::vector<ServerKey> others;
    const std::string group = this->context.limits.issuerGroup(chosen.server);
    for (const EngineCandidate &candidate : decision.candidates) {
        const auto load = loads.find(candidate.server);
        const bool hasSlot = load == loads.end() || load->second.streams < candidate.slots;
        const bool isAlternative = candidate.isLimited && !candidate.lacksToken
            && !candidate.isSuspect && !candidate.isUnreachable && !candidate.exceedsColdRate
            && hasSlot && this->context.limits.issuerGroup(candidate.server) == group;
        if (isAlternative && candidate.server != chosen.server)
            others.push_back(candidate.server);
    }
    decision.limited = serversToClaim(chosen.server, std::move(others), this->context.random);
}

void StreamPlanner::collect(const Service &service, absl::FunctionRef<bool(ServerKey)> isCandidate,
                            const ServerLoads &loads, absl::Time now,
                            StreamDecision &decision) const
{
    for (const ServerDirectory::Server *server :
         interleavedByDomain(this->context.directory.usable(service.name, now))) {
        EngineCandidate candidate;
        candidate.server = server->key;
        if (!isCandidate(candidate.server))
            continue;
        candidate.slots = server->entry.slots;
        candidate.slowdown = this->context.health.slowdown(candidate.server);
        candidate.isSuspect = this->context.health.isSuspect(candidate.server, now);
        candidate.isSameDomain = server->entry.domain == this->context.settings.domain;
        candidate.isUnreachable =
            !this->context.reachability.isReachable(candidate.server, server->entry.domain);
        const auto load = loads.find(candidate.server);
        const std::int64_t arrivals = load == loads.end() ? 0 : load->second.arrivals;
        candidate.exceedsColdRate = exceedsColdRate(this->context, service, *server, arrivals, now);
        candidate.isLimited = this->context.limits.isLimited(candidate.server);
        candidate.jitterMs =
            this->context.random.uniform() * jitterBoundMs(this->context.exchange.instanceCount());
        decision.candidates.push_back(candidate);
        decision.servers.push_back(server);
    }
}

bool exceedsColdRate(const GatewayContext &context, const Service &service,
                     const ServerDirectory::Server &server, std::int64_t knownArrivals,
                     absl::Time now)
{
    if (service.coldRequestsPerSecond <= 0)
        return false;
    const double bound = server.coldUntil > now
        ? service.coldRequestsPerSecond
        : service.coldRequestsPerSecond * context.settings.coldFactor + context.settings.coldSlack;
    const auto found = context.activity.find(server.key);
    std::int64_t own = 0;
    if (found != context.activity.end() && now - found->second.secondStartedAt < absl::Seconds(1))
        own = found->second.sentInSecond;
    const double next = static_cast<double>(std::max(own, knownArrivals) + 1);
    return next > std::max(1.0, kColdRateShare * bound);
}

} // namespace foxtailtally
