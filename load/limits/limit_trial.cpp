#include "load/limits/limit_trial.h"

#include <absl/container/btree_set.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailtally {

namespace {

/** Time in which the instances find each other before the first call. */
constexpr absl::Duration kStartTime = absl::Seconds(4);

/** Denied claims after which a call is refused, as in the gateway. */
constexpr int kMaxDenials = 4;

/** The users' rule counts the requests in windows of this length, from kSettleTime after a server
 * first named its limit. A change of the limit is known kKnownAfter later. */
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr absl::Duration kSettleTime = absl::Seconds(3);
constexpr absl::Duration kKnownAfter = absl::Milliseconds(500);
constexpr double kRuleFactor = 1.5;
constexpr double kRuleSlack = 5;
constexpr double kAimFactor = 1.1;
constexpr double kAimSlack = 2;

/** Step in which limits are integrated. */
constexpr absl::Duration kStep = absl::Milliseconds(20);

struct Server
{
    /** Limits by the time from which they hold; nullopt for none. */
    std::vector<std::pair<absl::Time, std::optional<double>>> limits;
    absl::Time namedAt = absl::InfiniteFuture();
    std::vector<absl::Time> arrivals;

    std::optional<double> limitAt(absl::Time moment) const
    {
        std::optional<double> limit;
        for (const auto &[from, value] : this->limits) {
            if (from <= moment)
                limit = value;
        }
        return limit;
    }
    /** The limit that instances can be expected to know. */
    std::optional<double> knownLimitAt(absl::Time moment) const
    {
        const std::optional<double> before = this->limitAt(moment - kKnownAfter);
        const std::optional<double> after = this->limitAt(moment);
        if (!before || !after)
            return std::nullopt;
        return std::max(*before, *after);
    }
};

struct Call
{
    absl::Time at;
    std::size_t node = 0;
    std::size_t kind = 0;
    absl::Time expiresAt;
    absl::Time sentAt;
    std::uint64_t incarnation = 0;
    ServerKey server = 0;
    int denials = 0;
    bool isOver = false;
};

struct Task
{
    enum class Kind { Ask, Arrive, Respond, BeginEvent, EndEvent };
    Kind kind = Kind::Ask;
    std::size_t index = 0;
};

class Trial final : private LimitFleetEvents
{
public:
    Trial(const LimitTrialSetup &setup, std::uint64_t seed)
        : setup(withSeed(setup, seed))
        , random(seed * 7919 + 1)
        , fleet(this->setup.fleet, serverDomains(this->setup), events())
        , servers(setup.limitedServers)
        , affected(setup.events.size())
    { }

    LimitTrialResult run()
    {
        this->fleet.runUntil(this->fleet.now() + kStartTime);
        this->startedAt = this->fleet.now();
        this->endsAt = this->startedAt + this->setup.length;
        this->fleet.setLinks(
            [this](std::size_t from, std::size_t to) { return this->passes(from, to); });
        for (Server &server : this->servers)
            server.limits.emplace_back(this->startedAt, this->setup.limit);
        this->drawCalls();
        for (std::size_t i = 0; i < this->setup.events.size(); ++i)
            this->schedule(this->startedAt + this->setup.events[i].at, Task::Kind::BeginEvent, i);
        this->fleet.runUntil(this->endsAt + absl::Seconds(1));
        this->evaluate();
        return this->result;
    }

private:
    static LimitTrialSetup withSeed(LimitTrialSetup setup, std::uint64_t seed)
    {
        setup.fleet.seed = seed;
        return setup;
    }
    static std::vector<std::size_t> serverDomains(const LimitTrialSetup &setup)
    {
        std::vector<std::size_t> domains;
        for (std::size_t i = 0; i < setup.limitedServers; ++i)
            domains.push_back(i % setup.fleet.domains);
        return domains;
    }
    LimitFleetEvents &events() { return *this; }

    void schedule(absl::Time at, Task::Kind kind, std::size_t index)
    {
        this->tasks.push_back({kind, index});
        this->fleet.schedule(at, static_cast<std::int64_t>(this->tasks.size()) - 1);
    }

    void drawCalls()
    {
        absl::Time at = this->startedAt;
        while (true) {
            const double gap = -std::log(std::max(1e-12, this->random.uniform()));
            at += absl::Seconds(gap / this->setup.callsPerSecond);
            if (at >= this->endsAt)
                break;
            Call call;
            call.at = at;
            // An instance that is not in the domain of the first server, and not its aggregator.
            call.node = this->setup.isDemandAtOneInstance ? this->fleet.size() - 1
                                                          : this->random.below(this->fleet.size());
            double draw = this->random.uniform();
            while (call.kind + 1 < this->setup.kinds.size()
                   && draw >= this->setup.kinds[call.kind].share) {
                draw -= this->setup.kinds[call.kind].share;
                ++call.kind;
            }
            call.expiresAt = at + this->kindOf(call).patience;
            this->calls.push_back(call);
            this->schedule(at, Task::Kind::Ask, this->calls.size() - 1);
        }
        this->result.callsByKind.resize(this->setup.kinds.size());
        this->result.servedByKind.resize(this->setup.kinds.size());
        for (const Call &call : this->calls) {
            ++this->result.callsByKind[call.kind];
            this->result.totalWorth += this->kindOf(call).worth;
        }
        this->result.calls = static_cast<std::int64_t>(this->calls.size());
    }

    const LimitTrialKind &kindOf(const Call &call) const { return this->setup.kinds[call.kind]; }

    void onTask(std::int64_t task) override
    {
        const Task entry = this->tasks[static_cast<std::size_t>(task)];
        switch (entry.kind) {
        case Task::Kind::Ask:
            this->ask(entry.index);
            return;
        case Task::Kind::Arrive:
            this->arrive(entry.index);
            return;
        case Task::Kind::Respond:
            this->respond(entry.index);
            return;
        case Task::Kind::BeginEvent:
            this->beginEvent(entry.index);
            return;
        case Task::Kind::EndEvent:
            this->endEvent(entry.index);
            return;
        }
    }

    /** Sends the call to a server that is not known to have a limit, or claims a token. */
    void ask(std::size_t index)
    {
        if (this->setup.isCold)
            this->setColdLimits();
        Call &call = this->calls[index];
        if (!this->fleet.isActive(call.node)) {
            this->refuse(call);
            return;
        }
        RateLimiter &limiter = this->fleet.limiter(call.node);
        const absl::Time now = this->fleet.now();
        std::vector<ServerKey> unlimited;
        std::vector<ServerKey> near;
        std::vector<ServerKey> far;
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            const auto server = static_cast<ServerKey>(i);
            if (!limiter.isLimited(server))
                unlimited.push_back(server);
            else if (limiter.tokenExpectedAt(server) > call.expiresAt)
                continue;
            else if (this->fleet.domainOfServer(server) == this->fleet.domainOf(call.node))
                near.push_back(server);
            else
                far.push_back(server);
        }
        if (!unlimited.empty()) {
            call.server = unlimited[this->random.below(unlimited.size())];
            this->send(index);
            return;
        }
        if (near.empty() && !far.empty()) {
            const std::size_t domain =
                this->fleet.domainOfServer(far[this->random.below(far.size())]);
            std::erase_if(far, [&](ServerKey server) {
                return this->fleet.domainOfServer(server) != domain;
            });
            near = std::move(far);
        }
        if (near.empty() || now >= call.expiresAt) {
            this->refuse(call);
            return;
        }
        const ServerKey preferred = near[this->random.below(near.size())];
        std::erase(near, preferred);
        TokenDemand demand;
        demand.servers = serversToClaim(preferred, std::move(near), this->random);
        demand.worth = this->kindOf(call).worth;
        demand.patience = call.expiresAt - now;
        const ClaimId id = limiter.claim(std::move(demand), now);
        this->claimOf[id] = index;
        this->fleet.flush(call.node);
    }

    /** Tells all instances of the cold servers, as the store does. */
    void setColdLimits()
    {
        std::vector<ServerLimit> limits;
        for (std::size_t i = 0; i < this->servers.size(); ++i)
            limits.push_back({static_cast<ServerKey>(i), this->setup.limit});
        for (std::size_t node = 0; node < this->fleet.size(); ++node) {
            if (this->fleet.isActive(node))
                this->fleet.limiter(node).setColdLimits(limits, this->fleet.now());
        }
    }

    void onClaimEnded(std::size_t node, const ClaimOutcome &outcome) override
    {
        const auto found = this->claimOf.find(outcome.id);
        if (found == this->claimOf.end())
            return;
        const std::size_t index = found->second;
        this->claimOf.erase(found);
        Call &call = this->calls[index];
        if (outcome.isGranted && this->fleet.limiter(node).spend(outcome.id, this->fleet.now())) {
            call.server = outcome.server;
            this->send(index);
            return;
        }
        if (++call.denials > kMaxDenials)
            this->refuse(call);
        else
            this->ask(index);
    }

    absl::Duration delayTo(const Call &call) const
    {
        return this->fleet.domainOfServer(call.server) == this->fleet.domainOf(call.node)
            ? this->setup.fleet.delayWithinDomain
            : this->setup.fleet.delayBetweenDomains;
    }

    void send(std::size_t index)
    {
        Call &call = this->calls[index];
        call.isOver = true;
        call.sentAt = this->fleet.now();
        this->schedule(call.sentAt + this->delayTo(call), Task::Kind::Arrive, index);
        this->waits.push_back(absl::ToDoubleMilliseconds(call.sentAt - call.at));
        ++this->result.served;
        ++this->result.servedByKind[call.kind];
        this->result.servedWorth += this->kindOf(call).worth;
    }

    void refuse(Call &call)
    {
        call.isOver = true;
        ++this->result.refused;
    }

    void arrive(std::size_t index)
    {
        const Call &call = this->calls[index];
        this->servers[static_cast<std::size_t>(call.server)].arrivals.push_back(this->fleet.now());
        this->schedule(this->fleet.now() + this->setup.serviceTime + this->delayTo(call),
                       Task::Kind::Respond, index);
    }

    void respond(std::size_t index)
    {
        const Call &call = this->calls[index];
        if (!this->fleet.isActive(call.node) || this->setup.isCold)
            return;
        const absl::Time now = this->fleet.now();
        Server &server = this->servers[static_cast<std::size_t>(call.server)];
        RateLimiter &limiter = this->fleet.limiter(call.node);
        const std::optional<double> limit = server.limitAt(now - this->delayTo(call));
        if (limit) {
            server.namedAt = std::min(server.namedAt, now);
            limiter.onNamed(call.server, *limit, now);
        } else {
            limiter.onNotNamed(call.server, call.sentAt, now);
        }
        this->fleet.flush(call.node);
    }

    std::size_t nodeOf(const LimitTrialEvent &event)
    {
        using Kind = LimitTrialEvent::Kind;
        const bool isIssuer = event.kind == Kind::KillIssuer || event.kind == Kind::PauseIssuer
            || event.kind == Kind::CutIssuer;
        const std::size_t drawn = this->random.below(this->fleet.size());
        return isIssuer ? this->fleet.aggregatorOf(0).value_or(drawn) : drawn;
    }

    void beginEvent(std::size_t index)
    {
        using Kind = LimitTrialEvent::Kind;
        const LimitTrialEvent &event = this->setup.events[index];
        const std::size_t node = this->nodeOf(event);
        this->affected[index] = {node, this->random.below(this->fleet.size())};
        switch (event.kind) {
        case Kind::ChangeLimit:
        case Kind::EndLimit:
            for (Server &server : this->servers)
                server.limits.emplace_back(
                    this->fleet.now(),
                    event.kind == Kind::EndLimit ? std::nullopt : std::optional(event.limit));
            return;
        case Kind::KillIssuer:
        case Kind::KillAny:
            this->fleet.kill(node);
            break;
        case Kind::PauseIssuer:
        case Kind::PauseAny:
            this->fleet.setPaused(node, true);
            break;
        case Kind::CutIssuer:
        case Kind::CutAny:
            this->cutNodes.insert(node);
            break;
        case Kind::CutDomains:
            this->areDomainsCut = true;
            break;
        case Kind::CutOneWay:
            this->cutWays.insert(this->affected[index]);
            break;
        }
        this->schedule(this->fleet.now() + event.duration, Task::Kind::EndEvent, index);
    }

    void endEvent(std::size_t index)
    {
        using Kind = LimitTrialEvent::Kind;
        const LimitTrialEvent &event = this->setup.events[index];
        const std::size_t node = this->affected[index].first;
        switch (event.kind) {
        case Kind::ChangeLimit:
        case Kind::EndLimit:
            return;
        case Kind::KillIssuer:
        case Kind::KillAny:
            this->fleet.restart(node);
            return;
        case Kind::PauseIssuer:
        case Kind::PauseAny:
            if (!this->fleet.isActive(node))
                this->fleet.setPaused(node, false);
            return;
        case Kind::CutIssuer:
        case Kind::CutAny:
            this->cutNodes.erase(node);
            return;
        case Kind::CutDomains:
            this->areDomainsCut = false;
            return;
        case Kind::CutOneWay:
            this->cutWays.erase(this->affected[index]);
            return;
        }
    }

    bool passes(std::size_t from, std::size_t to) const
    {
        if (this->cutNodes.contains(from) || this->cutNodes.contains(to)
            || this->cutWays.contains({from, to}))
            return false;
        return !this->areDomainsCut || this->fleet.domainOf(from) + this->fleet.domainOf(to) != 1;
    }

    void evaluate()
    {
        double used = 0;
        double allowed = 0;
        for (const Server &server : this->servers) {
            this->evaluateWindows(server);
            if (this->setup.isCold)
                this->evaluateSeconds(server);
            const absl::Time from = server.namedAt + kSettleTime;
            for (absl::Time at = from; at < this->endsAt; at += kStep) {
                if (const std::optional<double> limit = server.limitAt(at))
                    allowed += *limit * absl::ToDoubleSeconds(kStep);
            }
            used += static_cast<double>(
                std::count_if(server.arrivals.begin(), server.arrivals.end(), [&](absl::Time at) {
                    return at >= from && at < this->endsAt && server.limitAt(at);
                }));
        }
        this->result.usedShare = allowed > 0 ? used / allowed : 0;
        this->evaluateWaits();
        this->evaluateTraffic();
        this->evaluateCentralBucket();
    }

    void evaluateWindows(const Server &server)
    {
        // Sums of the limit up to each step, and of the steps without one.
        std::vector<double> sums = {0};
        std::vector<int> unlimited = {0};
        for (absl::Time at = this->startedAt; at < this->endsAt + kWindow; at += kStep) {
            const std::optional<double> limit = server.knownLimitAt(at);
            sums.push_back(sums.back() + limit.value_or(0.0) * absl::ToDoubleSeconds(kStep));
            unlimited.push_back(unlimited.back() + (limit ? 0 : 1));
        }
        const auto stepOf = [&](absl::Time at) {
            const auto steps =
                static_cast<std::size_t>(std::max<std::int64_t>(0, (at - this->startedAt) / kStep));
            return std::min(steps, sums.size() - 1);
        };
        const std::vector<absl::Time> &times = server.arrivals;
        for (auto first =
                 std::lower_bound(times.begin(), times.end(), server.namedAt + kSettleTime);
             first != times.end(); ++first) {
            const auto last = std::upper_bound(first, times.end(), *first + kWindow);
            const std::size_t begin = stepOf(*first);
            const std::size_t end = stepOf(*first + kWindow);
            if (unlimited[begin] != unlimited[end])
                continue;
            const double limit = sums[end] - sums[begin];
            const auto count = static_cast<double>(last - first);
            this->result.worstOfRule =
                std::max(this->result.worstOfRule, count / (kRuleFactor * limit + kRuleSlack));
            const double ofAim = count / (kAimFactor * limit + kAimSlack);
            if (ofAim > this->result.worstOfAim) {
                this->result.worstOfAim = ofAim;
                this->result.fullestWindow = count;
                this->result.limitInFullestWindow = limit;
            }
        }
    }

    void evaluateSeconds(const Server &server)
    {
        const std::vector<absl::Time> &times = server.arrivals;
        const double bound = kRuleFactor * this->setup.limit + kRuleSlack;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto last = std::upper_bound(first, times.end(), *first + absl::Seconds(1));
            this->result.worstOfColdRule =
                std::max(this->result.worstOfColdRule, static_cast<double>(last - first) / bound);
        }
    }

    void evaluateWaits()
    {
        if (this->waits.empty())
            return;
        std::sort(this->waits.begin(), this->waits.end());
        for (const double wait : this->waits)
            this->result.meanWaitMs += wait / static_cast<double>(this->waits.size());
        this->result.p95WaitMs = this->waits[this->waits.size() * 95 / 100];
    }

    void evaluateTraffic()
    {
        const double seconds = absl::ToDoubleSeconds(this->setup.length);
        for (std::size_t node = 0; node < this->fleet.size(); ++node) {
            const LimitTraffic &traffic = this->fleet.traffic(node);
            const double bytes = static_cast<double>(traffic.bytes) / seconds;
            this->result.bytesPerSecond += bytes / static_cast<double>(this->fleet.size());
            this->result.maxBytesPerSecond = std::max(this->result.maxBytesPerSecond, bytes);
            this->result.messagesPerSecond += static_cast<double>(traffic.messages) / seconds
                / static_cast<double>(this->fleet.size());
        }
    }

    /** One bucket for all servers that knows all claims, with the burst of the issuers' buckets. */
    void evaluateCentralBucket()
    {
        const double perServer = this->setup.limit;
        const double rate = perServer * static_cast<double>(this->servers.size());
        const double capacity = static_cast<double>(this->servers.size())
            * (TokenIssuer::kBurstTokens
               + perServer * absl::ToDoubleSeconds(TokenIssuer::kBurstTime));
        double level = 0;
        absl::Time filledAt = this->startedAt;
        std::vector<const Call *> waiting;
        const auto advance = [&](absl::Time to) {
            while (true) {
                std::erase_if(waiting,
                              [&](const Call *call) { return call->expiresAt < filledAt; });
                const double missing = std::max(0.0, 1.0 - level);
                const absl::Time next = filledAt + absl::Seconds(missing / rate);
                if (waiting.empty() || next > to)
                    break;
                level = std::min(capacity, level + rate * absl::ToDoubleSeconds(next - filledAt));
                filledAt = next;
                std::erase_if(waiting,
                              [&](const Call *call) { return call->expiresAt < filledAt; });
                if (waiting.empty())
                    continue;
                const auto best = std::max_element(
                    waiting.begin(), waiting.end(), [this](const Call *a, const Call *b) {
                        return this->kindOf(*a).worth < this->kindOf(*b).worth;
                    });
                this->result.centralWorth += this->kindOf(**best).worth;
                waiting.erase(best);
                level -= 1;
            }
            level = std::min(capacity, level + rate * absl::ToDoubleSeconds(to - filledAt));
            filledAt = to;
        };
        for (const Call &call : this->calls) {
            advance(call.at);
            waiting.push_back(&call);
        }
        advance(this->endsAt);
    }

    LimitTrialSetup setup;
    Random random;
    LimitFleet fleet;
    std::vector<Server> servers;
    std::vector<Call> calls;
    std::vector<Task> tasks;
    absl::flat_hash_map<ClaimId, std::size_t> claimOf;
    std::vector<double> waits;
    /** Instances that each event affects. */
    std::vector<std::pair<std::size_t, std::size_t>> affected;
    absl::btree_set<std::size_t> cutNodes;
    absl::btree_set<std::pair<std::size_t, std::size_t>> cutWays;
    bool areDomainsCut = false;
    absl::Time startedAt;
    absl::Time endsAt;
    LimitTrialResult result;
};

} // namespace

LimitTrialResult runLimitTrial(const LimitTrialSetup &setup, std::uint64_t seed)
{
    return Trial(setup, seed).run();
}

} // namespace foxtailtally
