#include "main/gateway/stream_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

/** Share of the rate that a cold server bears which the instances together plan for. */
constexpr double kColdShare = 0.7;

/** A stream whose first event is planned after this share of the time that its caller waits is
 * hopeless. */
constexpr double kHopelessShare = 0.9;

/** Longest prompt that may wait at an engine for memory, in tokens: an engine admits in order, so a
 * longer one that waits there stops all that come after it. */
constexpr std::int64_t kMostExcessTokens = 24000;

/** A stream without a plan is held for this share of its objective before it is refused. */
constexpr double kHeldShare = 0.5;

/** The first of each domain, then the second of each, and so on; so each domain has its part of
 * the engines for short streams and of those for long reads. */
std::vector<const ServerDirectory::Server *>
byDomainsInTurn(std::vector<const ServerDirectory::Server *> servers)
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

StreamDecision StreamPlanner::decide(const Service &service, const StreamDemand &demand,
                                     std::span<const ServerKey> tried, absl::Time now) const
{
    StreamDecision decision;
    const ServerLoads loads = this->context.ledger.loads(now);
    this->collect(service, tried, loads, now, decision);
    const StreamPlacement placement(service.engine, demand, now);
    std::optional<StreamPlan> plan = placement.choose(decision.candidates, loads);
    if (!plan) {
        // A suspicion may be wrong, and an engine queues what exceeds its slots and memory.
        for (EngineCandidate &candidate : decision.candidates) {
            candidate.isSuspect = false;
            candidate.slots *= 2;
            candidate.mayExceedMemory = demand.promptTokens <= kMostExcessTokens;
        }
        plan = placement.choose(decision.candidates, loads);
    }
    if (!plan) {
        for (EngineCandidate &candidate : decision.candidates)
            candidate.isUnreachable = false;
        plan = placement.choose(decision.candidates, loads);
    }
    if (!plan) {
        const bool mayWait = !decision.candidates.empty()
            && demand.firstEventDue > demand.objective * (1.0 - kHeldShare);
        decision.kind = mayWait ? StreamDecision::Kind::Wait : StreamDecision::Kind::NoServer;
        return decision;
    }
    decision.plan = *plan;
    decision.hasPlan = true;
    const auto load = loads.find(decision.candidates[plan->server].server);
    if (load != loads.end()) {
        decision.readLeftMs = load->second.readLeftMs;
        decision.writers = load->second.writers;
    }
    const double useful = absl::ToDoubleMilliseconds(demand.usefulLeft);
    if (plan->predictedFirstEventMs > kHopelessShare * useful)
        decision.kind = StreamDecision::Kind::Hopeless;
    else if (placement.shouldWait(*plan))
        decision.kind = StreamDecision::Kind::Wait;
    else
        decision.kind = placement.isWorthwhile(*plan) ? StreamDecision::Kind::Place
                                                      : StreamDecision::Kind::Hopeless;
    return decision;
}

bool StreamPlanner::hasGoodPlace(const Service &service, const StreamDemand &demand,
                                 std::span<const ServerKey> tried, absl::Time now) const
{
    const StreamDecision decision = this->decide(service, demand, tried, now);
    return decision.kind == StreamDecision::Kind::Place
        && absl::Milliseconds(decision.plan.predictedFirstEventMs)
        < demand.usefulLeft * kLatestMoveShare;
}

void StreamPlanner::collect(const Service &service, std::span<const ServerKey> tried,
                            const ServerLoads &loads, absl::Time now,
                            StreamDecision &decision) const
{
    for (const ServerDirectory::Server *server :
         byDomainsInTurn(this->context.directory.usable(service.name, now))) {
        EngineCandidate candidate;
        candidate.server = server->key;
        if (std::find(tried.begin(), tried.end(), candidate.server) != tried.end())
            continue;
        candidate.slots = server->entry.slots;
        candidate.slowness = this->context.health.slowness(candidate.server);
        candidate.isSuspect = this->context.health.isSuspect(candidate.server, now);
        candidate.isSameDomain = server->entry.domain == this->context.settings.domain;
        candidate.isUnreachable =
            !this->context.reachability.isReachable(candidate.server, server->entry.domain);
        const auto load = loads.find(candidate.server);
        const std::int64_t arrivals = load == loads.end() ? 0 : load->second.arrivals;
        candidate.isRateBound = isRateBound(this->context, service, *server, arrivals, now);
        candidate.jitterMs =
            this->context.random.uniform() * jitterBoundMs(this->context.exchange.instanceCount());
        decision.candidates.push_back(candidate);
        decision.servers.push_back(server);
    }
}

bool isRateBound(const GatewayContext &context, const Service &service,
                 const ServerDirectory::Server &server, std::int64_t knownArrivals, absl::Time now)
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
    return next > std::max(1.0, kColdShare * bound);
}

} // namespace foxtailtally
