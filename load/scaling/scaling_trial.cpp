#include "load/scaling/scaling_trial.h"

#include "servers/scaling/demand_history.h"
#include "servers/scaling/demand_meter.h"
#include "servers/scaling/replica_planner.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

namespace foxtailtally {

namespace {

constexpr char kService[] = "engines";
constexpr std::size_t kDomains = 3;
constexpr std::size_t kInstances = 12;
/** Engines that exist or may be started; more than the limits allow, since some drain. */
constexpr std::size_t kPool = 120;
constexpr std::int64_t kMinimum = 31;
constexpr std::int64_t kMaximum = 76;
constexpr double kStartupMs = 8000;
/** Time for which a new server is cold, and requests a second that it takes then. The plan gives
 * no numbers for them. */
constexpr double kColdMs = 4000;
constexpr double kColdPerSecond = 2;
/** Interval at which the totals are sent, and delay until the holder has them. */
constexpr double kRowMs = 250;
constexpr double kPlanMs = 1000;
/** Margin around a need that is known in advance, for the noise of single requests. */
constexpr double kKnowledgeMarginMs = 2000;

/** Requests that arrive in a day, for the policy that knows them in advance. */
struct KnownRequest
{
    double atMs = 0;
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
};

/** Records the requests of a day; all engines up to a number are present. */
class RecordingServers : public TrialServers
{
public:
    void onArrival(std::int64_t promptTokens, std::int64_t answerTokens, double nowMs) override
    {
        this->requests.push_back({nowMs, promptTokens, answerTokens});
    }
    bool isListed(std::size_t engine, double /*nowMs*/) override
    {
        return engine < static_cast<std::size_t>(kMaximum);
    }
    bool exceedsColdRate(std::size_t /*engine*/, double /*nowMs*/) override { return false; }
    void onPlaced(std::size_t /*engine*/, double /*nowMs*/) override { }
    void onIdle(std::size_t /*engine*/, double /*nowMs*/) override { }

    std::vector<KnownRequest> requests;
};

Service scalableService(const EngineTiming &engine)
{
    Service service;
    service.name = kService;
    service.isEngine = true;
    service.engine = engine;
    service.scaling = ScalingLimits {kMinimum, kMaximum, absl::Milliseconds(kStartupMs)};
    return service;
}

absl::Time timeAt(double ms)
{
    return absl::UnixEpoch() + absl::Milliseconds(ms);
}

/** The platform: servers that start, serve, drain and leave as a policy orders. */
class ScaledServers : public TrialServers
{
public:
    ScaledServers(const ScalingTrialSetup &setup, const EngineTiming &engine,
                  std::vector<KnownRequest> known)
        : setup(setup)
        , service(scalableService(engine))
        , config(ServingConfig::Builder().addService(this->service).build())
        , options {.targetUtilisation = setup.targetUtilisation, .limitScope = LimitScope::Total}
        , planner(this->options)
        , history(timeAt(0))
        , known(std::move(known))
        , engines(kPool)
    {
        for (std::size_t i = 0; i < static_cast<std::size_t>(setup.servers); ++i)
            this->engines[i].state = State::Serving;
        this->history.setListed({{this->fleet, domainOf(0)}}, timeAt(0));
    }

    void onArrival(std::int64_t promptTokens, std::int64_t answerTokens, double nowMs) override
    {
        this->advance(nowMs);
        this->meter.addStream(this->service, promptTokens, answerTokens);
    }

    bool isListed(std::size_t engine, double nowMs) override
    {
        this->advance(nowMs);
        return this->engines[engine].state == State::Serving;
    }

    bool exceedsColdRate(std::size_t engine, double nowMs) override
    {
        const Engine &each = this->engines[engine];
        return nowMs < each.coldUntilMs && nowMs < each.nextColdMs;
    }

    void onPlaced(std::size_t engine, double nowMs) override
    {
        Engine &each = this->engines[engine];
        each.isBusy = true;
        each.nextColdMs = nowMs + 1000.0 / kColdPerSecond;
    }

    void onIdle(std::size_t engine, double nowMs) override
    {
        this->advance(nowMs);
        Engine &each = this->engines[engine];
        each.isBusy = false;
        if (each.state == State::Draining)
            each.state = State::Absent;
    }

    void finish() { this->advance(this->endMs()); }
    double serverSeconds() const { return this->paidMs / 1000.0; }
    int orders() const { return this->orderCount; }
    const std::vector<double> &paidServers() const { return this->paidBySecond; }

private:
    enum class State { Absent, Starting, Serving, Draining };
    struct Engine
    {
        State state = State::Absent;
        double servesAtMs = 0;
        double coldUntilMs = 0;
        double nextColdMs = 0;
        bool isBusy = false;
    };

    double endMs() const { return this->setup.seconds * 1000.0; }
    static FailureDomainId domainOf(std::size_t engine)
    {
        return FailureDomainId(absl::StrCat("d", engine % kDomains));
    }

    /** Runs what is due up to @p nowMs, in steps of kRowMs. */
    void advance(double nowMs)
    {
        while (this->stepMs <= std::min(nowMs, this->endMs())) {
            this->step(this->stepMs);
            this->stepMs += kRowMs;
        }
    }

    void step(double nowMs)
    {
        double paid = 0;
        for (Engine &each : this->engines) {
            if (each.state == State::Starting && nowMs >= each.servesAtMs) {
                each.state = State::Serving;
                each.coldUntilMs = nowMs + kColdMs;
            }
            paid += each.state == State::Absent ? 0 : 1;
        }
        this->paidMs += nowMs < this->endMs() ? paid * kRowMs : 0.0;
        // A row shows what was measured at the last step.
        this->history.onTotals(this->fleet, domainOf(0), 1, this->sent, timeAt(nowMs));
        this->sent = this->meter.totals();
        if (std::fmod(nowMs, kPlanMs) != 0)
            return;
        this->paidBySecond.push_back(paid);
        if (this->setup.policy == ScalingPolicy::Planner)
            this->followPlanner(nowMs);
        else if (this->setup.policy == ScalingPolicy::PerfectKnowledge)
            this->followKnowledge(nowMs);
    }

    void followPlanner(double nowMs)
    {
        std::vector<ScalableServer> servers;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const Engine &each = this->engines[i];
            if (each.state != State::Serving && each.state != State::Draining)
                continue;
            ScalableServer server;
            server.service = kService;
            server.domain = domainOf(i);
            server.isDraining = each.state == State::Draining;
            server.coldLeft = absl::Milliseconds(std::max(0.0, each.coldUntilMs - nowMs));
            servers.push_back(server);
        }
        const absl::btree_set<FailureDomainId> evacuated;
        const ScalingInput input = {this->config.get(), servers, evacuated, this->accepted,
                                    this->history};
        for (const ScalingOrder &order : this->planner.plan(input, timeAt(nowMs))) {
            this->accepted[{order.service, order.domain}] = {order.replicas, timeAt(nowMs),
                                                             order.need.servers()};
            ++this->orderCount;
            for (std::size_t domain = 0; domain < kDomains; ++domain) {
                if (domainOf(domain) == order.domain)
                    this->setNumber(domain, order.replicas, nowMs);
            }
        }
    }

    void followKnowledge(double nowMs)
    {
        const double warmAt = nowMs + kStartupMs + kColdMs;
        const std::int64_t later = this->knownNeed(nowMs - kKnowledgeMarginMs, warmAt + kPlanMs);
        for (std::size_t domain = 0; domain < kDomains; ++domain) {
            const auto share = static_cast<std::int64_t>(kDomains);
            const std::int64_t number =
                (later + share - 1 - static_cast<std::int64_t>(domain)) / share;
            if (number != this->numberOf(domain)) {
                ++this->orderCount;
                this->setNumber(domain, number, nowMs);
            }
        }
    }

    /** Servers that the requests between two times need in their busiest two seconds. */
    std::int64_t knownNeed(double fromMs, double untilMs) const
    {
        DemandHistory day(timeAt(0));
        DemandMeter knownMeter;
        double atMs = fromMs;
        ScalingNeed most;
        day.onTotals(this->fleet, domainOf(0), 1, {{kService, {}}}, timeAt(atMs));
        auto next = std::lower_bound(
            this->known.begin(), this->known.end(), fromMs,
            [](const KnownRequest &request, double ms) { return request.atMs < ms; });
        while (atMs < untilMs + kKnowledgeMarginMs) {
            for (; next != this->known.end() && next->atMs < atMs; ++next)
                knownMeter.addStream(this->service, next->promptTokens, next->answerTokens);
            day.onTotals(this->fleet, domainOf(0), 1, knownMeter.totals(), timeAt(atMs));
            const ScalingNeed need = this->planner.need(this->service, day, timeAt(atMs));
            if (need.servers() > most.servers())
                most = need;
            atMs += kRowMs;
        }
        return std::clamp(static_cast<std::int64_t>(std::ceil(most.servers())), kMinimum, kMaximum);
    }

    std::int64_t numberOf(std::size_t domain) const
    {
        std::int64_t number = 0;
        for (std::size_t i = domain; i < this->engines.size(); i += kDomains) {
            const State state = this->engines[i].state;
            number += state == State::Starting || state == State::Serving ? 1 : 0;
        }
        return number;
    }

    void setNumber(std::size_t domain, std::int64_t wanted, double nowMs)
    {
        std::int64_t number = this->numberOf(domain);
        for (std::size_t i = domain; i < this->engines.size() && number < wanted; i += kDomains) {
            Engine &each = this->engines[i];
            if (each.state != State::Absent)
                continue;
            each = {};
            each.state = State::Starting;
            each.servesAtMs = nowMs + kStartupMs;
            ++number;
        }
        // Servers that are starting leave first, then those that came last.
        for (const State state : {State::Starting, State::Serving}) {
            for (std::size_t i = this->engines.size(); i-- > 0 && number > wanted;) {
                Engine &each = this->engines[i];
                if (i % kDomains != domain || each.state != state)
                    continue;
                each.state = each.isBusy ? State::Draining : State::Absent;
                --number;
            }
        }
    }

    const InstanceId fleet {"fleet"};
    ScalingTrialSetup setup;
    Service service;
    std::shared_ptr<const ServingConfig> config;
    ScalingOptions options;
    ReplicaPlanner planner;
    DemandHistory history;
    DemandMeter meter;
    DemandTotals sent;
    AcceptedOrders accepted;
    std::vector<KnownRequest> known;
    std::vector<Engine> engines;
    std::vector<double> paidBySecond;
    double stepMs = 0;
    double paidMs = 0;
    int orderCount = 0;
};

/** The requests of the day with @p seed, in the order of arrival. */
std::vector<KnownRequest> knownRequests(TrialSetup day, std::uint64_t seed)
{
    RecordingServers recorder;
    day.servers = &recorder;
    runPlacementTrial(day, seed);
    return recorder.requests;
}

void addTo(ScalingTrialResult &sum, const ScalingTrialResult &result, double share)
{
    const auto addAll = [share](std::vector<double> &values, const std::vector<double> &added) {
        values.resize(std::max(values.size(), added.size()), 0.0);
        for (std::size_t i = 0; i < added.size(); ++i)
            values[i] += added[i] * share;
    };
    sum.onTimeShare += result.onTimeShare * share;
    sum.earnedShare += result.earnedShare * share;
    sum.serverSeconds += result.serverSeconds * share;
    sum.orders += result.orders * share;
    addAll(sum.onTimeShares, result.onTimeShares);
    addAll(sum.servers, result.servers);
}

} // namespace

TrialSetup scalingDay(double seconds)
{
    TrialSetup day;
    day.engine.stepMs = 1.02;
    day.engine.stepMsPerDecodingStream = 0.00226;
    day.engine.stepMsPerThousandContext = 0.00431;
    day.engine.prefillTokensPerMs = 206;
    day.engine.prefillMsPerMillionPairs = 0.138;
    day.engine.chunkTokens = 2048;
    day.engine.stepsPerPass = 48;
    day.engine.slots = 12;
    day.engine.memoryTokens = 232000;
    day.engines = kPool;
    day.domains = kDomains;
    day.instances = kInstances;
    // The answers of medium and long streams are those of the deployment "himrekha-grown", 960 and
    // 816 tokens.
    day.kinds = {
        {"short", 75, 4960, 0.9, 23800, 30.6, 0.7, 300, 250, 10000, 1.3, 0.34},
        {"medium", 8.8, 45000, 0.5, 110000, 20, 0.6, 1500, 600, 10000, 3.3, 0.82},
        {"long", 2.4, 190000, 0.55, 700000, 17, 0.5, 4000, 1000, 15000, 25, 6.3},
    };
    constexpr double kHalfSwingS = 5.5;
    constexpr double kBurstS = 3;
    const double burstAt = std::floor(seconds * 0.4);
    const auto add = [&day](double end, double factor) {
        if (day.phases.empty() || end > day.phases.back().endS)
            day.phases.push_back({end, {factor, factor, factor}});
    };
    bool isHigh = true;
    for (double at = 0; at < seconds; at += kHalfSwingS, isHigh = !isHigh) {
        const double end = std::min(seconds, at + kHalfSwingS);
        const double factor = isHigh ? 1.2 : 0.8;
        if (at < burstAt + kBurstS && end > burstAt) {
            add(std::max(at, burstAt), factor);
            add(std::min(end, burstAt + kBurstS), 1.7);
        }
        add(end, factor);
    }
    return day;
}

ScalingTrialResult runScalingTrial(const ScalingTrialSetup &setup, std::uint64_t seed)
{
    TrialSetup day = scalingDay(setup.seconds);
    std::vector<KnownRequest> known;
    if (setup.policy == ScalingPolicy::PerfectKnowledge)
        known = knownRequests(day, seed);
    ScaledServers servers(setup, day.engine, std::move(known));
    day.servers = &servers;
    const TrialResult trial = runPlacementTrial(day, seed);
    servers.finish();
    ScalingTrialResult result;
    int requests = 0;
    int onTime = 0;
    for (const TrialKindResult &kind : trial.kinds) {
        requests += kind.requests;
        onTime += kind.onTime;
        result.onTimeShares.push_back(
            kind.requests > 0 ? static_cast<double>(kind.onTime) / kind.requests : 1.0);
    }
    result.onTimeShare = requests > 0 ? static_cast<double>(onTime) / requests : 1.0;
    result.earnedShare = trial.earnedShare();
    result.serverSeconds = servers.serverSeconds();
    result.orders = servers.orders();
    result.servers = servers.paidServers();
    return result;
}

ScalingTrialResult meanScalingTrial(const ScalingTrialSetup &setup, int seeds)
{
    ScalingTrialResult mean;
    for (int seed = 1; seed <= seeds; ++seed)
        addTo(mean, runScalingTrial(setup, static_cast<std::uint64_t>(seed)), 1.0 / seeds);
    return mean;
}

} // namespace foxtailtally
