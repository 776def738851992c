#include "tests/process/gateway_soak.h"

#include "tests/process/account_metrics.h"
#include "tests/process/http_caller.h"
#include "tests/process/kept_connection.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

namespace foxtailtally {

namespace {

constexpr int kGateways = 3;
constexpr int kCallers = 6;
/** Faults that are injected at the same time. */
constexpr int kFaultThreads = 2;
constexpr int kEngines = 3;
constexpr int kServers = 5;
constexpr absl::Duration kStopLimit = absl::Seconds(20);
constexpr absl::Duration kRecoveryLimit = absl::Seconds(60);
/** Time for the last requests to end: longer than the longest deadline of the callers. */
constexpr absl::Duration kLastRequestsTime = absl::Seconds(5);
/** Longest duration of one fault, and longest interval between two. */
constexpr absl::Duration kMaxFaultDuration = absl::Milliseconds(1500);
constexpr absl::Duration kMaxFaultInterval = absl::Milliseconds(400);
/** Interval between the signals of a series. */
constexpr absl::Duration kSignalInterval = absl::Milliseconds(100);

/** Rate limits that servers name, and how long they do. */
constexpr double kMinLimit = 0.2;
constexpr double kMaxLimit = 2.0;
constexpr absl::Duration kMinLimitTime = absl::Seconds(3);
constexpr absl::Duration kMaxLimitTime = absl::Seconds(12);

/** Time after which a replaced server starts again: the users' bound on calls to a draining server,
 * and some time for what runs there. */
constexpr absl::Duration kDrainBound = absl::Seconds(2);
constexpr absl::Duration kReplaceTime = absl::Seconds(3);
/** The users' rule on pauses: this long after the response, at most kLateCalls more arrive. */
constexpr absl::Duration kPauseReactionTime = absl::Milliseconds(500);
constexpr int kLateCalls = 2;

/** The users' rule: at most kLimitFactor times the limit and kLimitSlack requests in kLimitWindow,
 * once kLearnTime has passed for all gateways to know the limit. */
constexpr absl::Duration kLimitWindow = absl::Seconds(4);
constexpr absl::Duration kLearnTime = absl::Seconds(1);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;

} // namespace

GatewaySoak::GatewaySoak(std::uint64_t seed, SoakFaults faults)
    : seed(seed)
    , faults(faults)
    , deployment(kGateways)
{
    this->deployment.configure(this->configurationVersion, {"key-1"});
    ServingStandin &platform = this->deployment.platform();
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        this->gatewayLocks.push_back(std::make_unique<std::mutex>());
        this->proxies.push_back(std::make_unique<FaultProxy>(
            this->deployment.spareHost(gateway) + ":8200", platform.storeAddress()));
        this->deployment.setStoreAddress(gateway, this->proxies.back()->address());
    }
    for (int server = 0; server < kServers; ++server) {
        this->serverLocks.push_back(std::make_unique<std::mutex>());
        this->proxies.push_back(
            std::make_unique<FaultProxy>(this->deployment.spareHost(kGateways + server) + ":8300",
                                         platform.serverAddress(server)));
        platform.addServer(server, server < kEngines ? "engine" : "desk",
                           absl::StrCat("d", server % 3), this->proxies.back()->address());
    }
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        this->deployment.start(gateway);
        if (!this->deployment.waitUntilReady(gateway))
            this->report("a gateway did not become ready at startup");
    }
}

GatewaySoak::~GatewaySoak() = default;

void GatewaySoak::run(absl::Duration length)
{
    Random random(this->seed);
    std::vector<std::thread> threads;
    threads.reserve(kCallers + kFaultThreads + 1);
    for (int caller = 0; caller < kCallers; ++caller)
        threads.emplace_back(&GatewaySoak::callLoop, this, random.next(), caller);
    for (int i = 0; i < kFaultThreads; ++i)
        threads.emplace_back(&GatewaySoak::faultLoop, this, random.next());
    threads.emplace_back(&GatewaySoak::limitLoop, this, random.next());
    absl::SleepFor(length);
    this->isStopping = true;
    for (std::thread &thread : threads)
        thread.join();
    this->waitForRecovery();
    this->checkAccounts();
    this->checkExecutions();
    this->checkLimits();
    if (this->faults == SoakFaults::PlannedWork) {
        this->checkNothingCut();
        this->checkBackpressure();
    }
}

void GatewaySoak::callLoop(std::uint64_t callerSeed, int caller)
{
    Random random(callerSeed);
    std::vector<std::unique_ptr<KeptConnection>> connections;
    connections.reserve(kGateways);
    for (int gateway = 0; gateway < kGateways; ++gateway)
        connections.push_back(
            std::make_unique<KeptConnection>(this->deployment.callerAddress(gateway)));
    for (int number = 0; !this->isStopping; ++number)
        this->callOnce(random, absl::StrCat("soak-", caller, "-", number), connections);
}

void GatewaySoak::callOnce(Random &random, const std::string &callId,
                           std::vector<std::unique_ptr<KeptConnection>> &connections)
{
    constexpr std::array<const char *, 3> kPaths = {"/stream/a", "/act/b", "/look/c"};
    const std::size_t kind = random.below(kPaths.size());
    const std::size_t gateway = random.below(kGateways);
    CallerRequest request;
    request.address = this->deployment.callerAddress(static_cast<int>(gateway));
    request.path = kPaths[kind];
    request.body = "b";
    request.headers = {"Attempt-Id: " + callId, "Key: key-1", "Deadline-Ms: 1500",
                       "Token-Usage: 1000,100", absl::StrCat("X-Gateway: ", gateway)};
    // Some callers disconnect before they get a response.
    request.limit = absl::Milliseconds(random.below(8) == 0 ? 60 : 2500);
    const bool isKept = random.below(4) != 0;
    const CallerAnswer answer = isKept ? connections[gateway]->call(request) : callGateway(request);
    if (answer.status == 401 || answer.status == 403 || answer.status == 404)
        this->report(
            absl::StrCat(callId, " got status ", answer.status, " although it is permitted"));
    if (answer.body == ServingStandin::kEarlierBody)
        this->report(absl::StrCat(callId, " got the response to an earlier call"));
    if (kind == 0)
        this->checkStream(callId, answer.status, answer.isComplete, answer.body);
    else if (answer.status == 200 && answer.isComplete
             && answer.body != absl::StrCat("done:", callId, ":b"))
        this->report(absl::StrCat(callId, " got an unexpected body: ", answer.body));
    this->servedCalls += answer.status == 200 && answer.isComplete ? 1 : 0;
    const std::lock_guard lock(this->mutex);
    this->outcomes.push_back({callId, kind == 1, answer.status, answer.wasClosedByPeer});
}

void GatewaySoak::checkStream(const std::string &callId, int status, bool isComplete,
                              const std::string &body)
{
    if (status != 200)
        return;
    const std::string expected = ServingStandin::streamBody(callId);
    if (!absl::StartsWith(expected, body))
        this->report(absl::StrCat(callId, " got stream events out of order: ", body));
    if (isComplete && body != expected)
        this->report(absl::StrCat(callId, " ended as a complete stream before its last event"));
}

void GatewaySoak::faultLoop(std::uint64_t faultSeed)
{
    Random random(faultSeed);
    while (!this->isStopping) {
        if (this->faults == SoakFaults::Any)
            this->injectAnyFault(random);
        else
            this->injectPlannedWork(random);
        absl::SleepFor(kMaxFaultInterval * random.uniform());
    }
}

void GatewaySoak::injectAnyFault(Random &random)
{
    const int gateway = static_cast<int>(random.below(kGateways));
    switch (random.below(10)) {
    case 0:
    case 1:
        this->injectServerFault(random);
        return;
    case 2:
        this->injectStoreFault(random);
        return;
    case 3:
    case 4:
        this->injectLinkFault(random);
        return;
    case 5:
        this->changeConfiguration();
        return;
    case 6:
        this->pauseGateway(gateway, random);
        return;
    case 7:
        this->restartGateway(gateway, {SIGKILL});
        return;
    case 8:
        // A stop that is interrupted.
        this->restartGateway(gateway, {SIGTERM, SIGKILL});
        return;
    default:
        this->restartGateway(gateway, {SIGHUP, SIGTERM, SIGTERM});
    }
}

void GatewaySoak::injectPlannedWork(Random &random)
{
    switch (random.below(4)) {
    case 0:
        this->restartGateway(static_cast<int>(random.below(kGateways)), {SIGHUP, SIGTERM});
        return;
    case 1:
        this->changeConfiguration();
        return;
    case 2:
        this->replaceServer(random);
        return;
    default: {
        const std::size_t server = random.below(kServers);
        const std::unique_lock lock(*this->serverLocks[server], std::try_to_lock);
        if (!lock)
            return;
        ServingStandin &platform = this->deployment.platform();
        platform.setServerBehavior(static_cast<int>(server), ServerBehavior::ShedWithRetryAfter);
        absl::SleepFor(kMaxFaultDuration * random.uniform());
        platform.setServerBehavior(static_cast<int>(server), ServerBehavior::Serve);
    }
    }
}

void GatewaySoak::pauseGateway(int index, Random &random)
{
    const std::unique_lock lock(*this->gatewayLocks[static_cast<std::size_t>(index)],
                                std::try_to_lock);
    if (!lock)
        return;
    ChildProcess &process = this->deployment.process(index);
    process.signal(SIGSTOP);
    absl::SleepFor(kMaxFaultDuration * random.uniform());
    process.signal(SIGCONT);
}

void GatewaySoak::restartGateway(int index, const std::vector<int> &signals)
{
    const std::unique_lock lock(*this->gatewayLocks[static_cast<std::size_t>(index)],
                                std::try_to_lock);
    if (!lock)
        return;
    ChildProcess &process = this->deployment.process(index);
    for (const int number : signals) {
        process.signal(number);
        absl::SleepFor(kSignalInterval);
    }
    if (!process.waitForEnd(kStopLimit))
        this->report("a gateway did not exit in time after SIGTERM or SIGKILL");
    // A process that is still loading does not handle signals yet, and has accepted no call.
    const bool wasLoading = !this->deployment.hasStarted(index)
        && (process.exitCode() == -SIGTERM || process.exitCode() == -SIGHUP);
    if (process.exitCode() != 0 && process.exitCode() != -SIGKILL && !wasLoading)
        this->report(absl::StrCat("a gateway exited with code ", process.exitCode()));
    this->deployment.start(index);
    const std::lock_guard restartLock(this->mutex);
    this->restarts[std::to_string(index)].push_back(absl::Now());
}

void GatewaySoak::injectServerFault(Random &random)
{
    constexpr std::array<ServerBehavior, 10> kBehaviors = {ServerBehavior::Shed,
                                                           ServerBehavior::FailAfterRunning,
                                                           ServerBehavior::Disconnect,
                                                           ServerBehavior::DisconnectMidStream,
                                                           ServerBehavior::DisconnectInsideEvent,
                                                           ServerBehavior::FailResumedStream,
                                                           ServerBehavior::NoResponse,
                                                           ServerBehavior::TruncateBody,
                                                           ServerBehavior::RepeatEarlierResponse,
                                                           ServerBehavior::ShedWithRetryAfter};
    const std::size_t server = random.below(kServers);
    const std::unique_lock lock(*this->serverLocks[server], std::try_to_lock);
    if (!lock)
        return;
    ServingStandin &platform = this->deployment.platform();
    platform.setServerBehavior(static_cast<int>(server),
                               kBehaviors[random.below(kBehaviors.size())]);
    absl::SleepFor(kMaxFaultDuration * random.uniform());
    platform.setServerBehavior(static_cast<int>(server), ServerBehavior::Serve);
}

void GatewaySoak::replaceServer(Random &random)
{
    const std::size_t server = random.below(kServers);
    const std::unique_lock lock(*this->serverLocks[server], std::try_to_lock);
    if (!lock)
        return;
    ServingStandin &platform = this->deployment.platform();
    platform.setServerBehavior(static_cast<int>(server), ServerBehavior::AnnounceDraining);
    absl::SleepFor(kMaxFaultDuration * random.uniform());
    // What it has said holds although it says so no longer.
    platform.setServerBehavior(static_cast<int>(server), ServerBehavior::Serve);
    absl::SleepFor(kReplaceTime);
    platform.restart(static_cast<int>(server));
}

void GatewaySoak::changeConfiguration()
{
    const std::lock_guard lock(this->mutex);
    ++this->configurationVersion;
    this->deployment.configure(this->configurationVersion,
                               {"key-1", absl::StrCat("key-", this->configurationVersion)});
}

void GatewaySoak::injectStoreFault(Random &random)
{
    ServingStandin &platform = this->deployment.platform();
    platform.setStoreBehavior(random.below(2) == 0 ? StoreBehavior::Refuse
                                                   : StoreBehavior::NoResponse);
    absl::SleepFor(kMaxFaultDuration * random.uniform());
    platform.setStoreBehavior(StoreBehavior::Serve);
}

void GatewaySoak::injectLinkFault(Random &random)
{
    constexpr std::array<LinkFault, 3> kFaults = {LinkFault::Delay, LinkFault::StallBoth,
                                                  LinkFault::StallResponses};
    FaultProxy &proxy = *this->proxies[random.below(this->proxies.size())];
    const std::size_t kind = random.below(kFaults.size() + 1);
    if (kind == kFaults.size()) {
        proxy.resetAll();
        return;
    }
    proxy.setFault(kFaults[kind]);
    absl::SleepFor(kMaxFaultDuration * random.uniform());
    proxy.setFault(LinkFault::None);
}

void GatewaySoak::limitLoop(std::uint64_t limitSeed)
{
    Random random(limitSeed);
    ServingStandin &platform = this->deployment.platform();
    while (!this->isStopping) {
        LimitPeriod period;
        period.server = static_cast<int>(random.below(kServers));
        period.requestsPerSecond = kMinLimit + (kMaxLimit - kMinLimit) * random.uniform();
        platform.setRateLimit(period.server, period.requestsPerSecond);
        period.begin = absl::Now();
        const absl::Time end =
            period.begin + kMinLimitTime + (kMaxLimitTime - kMinLimitTime) * random.uniform();
        while (!this->isStopping && absl::Now() < end)
            absl::SleepFor(absl::Milliseconds(20));
        period.end = absl::Now();
        platform.setRateLimit(period.server, std::nullopt);
        this->limitPeriods.push_back(period);
    }
}

void GatewaySoak::waitForRecovery()
{
    const absl::Time end = absl::Now() + kRecoveryLimit;
    Random random(this->seed);
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        bool isServing = false;
        for (int number = 0; !isServing && absl::Now() < end; ++number) {
            CallerRequest request;
            request.address = this->deployment.callerAddress(gateway);
            request.path = "/act/b";
            request.body = "b";
            request.headers = {absl::StrCat("Attempt-Id: recovery-", gateway, "-", number),
                               "Key: key-1", "Deadline-Ms: 1500"};
            isServing = this->deployment.isReady(gateway) && callGateway(request).status == 200;
        }
        if (!isServing)
            this->report(absl::StrCat("gateway ", gateway,
                                      " did not serve calls after the faults had ended"));
    }
}

void GatewaySoak::checkAccounts()
{
    const absl::Time end = absl::Now() + kLastRequestsTime;
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        AccountMetrics account(this->deployment.metrics(gateway));
        while (account.inProgress() != 0 && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(100));
            account = AccountMetrics(this->deployment.metrics(gateway));
        }
        const bool isBalanced = account.inProgress() == 0 && account.begun() == account.ended()
            && account.mismatches() == 0;
        // The call that showed its recovery has begun and ended.
        if (!isBalanced || account.begun() == 0)
            this->report(absl::StrCat("gateway ", gateway, " has begun ", account.begun(),
                                      " requests, ended ", account.ended(), ", in progress ",
                                      account.inProgress(), ", mismatches ", account.mismatches()));
    }
}

void GatewaySoak::checkExecutions()
{
    absl::flat_hash_map<std::string, int> runs;
    for (const ServerArrival &arrival : this->deployment.platform().arrivals())
        runs[arrival.callId] += arrival.hasRun ? 1 : 0;
    for (const Outcome &outcome : this->outcomes) {
        const int count = runs[outcome.callId];
        if (outcome.isAction && count > 1)
            this->report(absl::StrCat(outcome.callId, " was run ", count, " times"));
        const bool saysNotRun = outcome.status == 503 || outcome.status == 429
            || outcome.status == 408 || outcome.status == 421;
        if (saysNotRun && count > 0)
            this->report(absl::StrCat(outcome.callId, " was run, but got status ", outcome.status,
                                      " as if it was not"));
    }
}

void GatewaySoak::checkLimits()
{
    for (const LimitPeriod &period : this->limitPeriods) {
        const std::vector<absl::Time> times =
            this->deployment.platform().requestTimes(period.server);
        auto first = std::lower_bound(times.begin(), times.end(), period.begin + kLearnTime);
        for (; first != times.end() && *first + kLimitWindow <= period.end; ++first) {
            const absl::Time end = *first + kLimitWindow;
            const auto requests = std::upper_bound(first, times.end(), end) - first;
            // A gateway that has just started is told by the responses to its first calls.
            std::int64_t uninformed = 0;
            for (int gateway = 0; gateway < kGateways; ++gateway)
                uninformed +=
                    this->wasRestarted(std::to_string(gateway), *first - 2 * kLearnTime, end) ? 1
                                                                                              : 0;
            // Calls that a slow connection held back arrive together with later ones.
            const double seconds = absl::ToDoubleSeconds(kLimitWindow + kMaxFaultDuration);
            const double allowed = kLimitFactor * period.requestsPerSecond * seconds + kLimitSlack
                + static_cast<double>(uninformed * kCallers);
            if (static_cast<double>(requests) <= allowed)
                continue;
            this->report(absl::StrCat("server ", period.server, " with a limit of ",
                                      period.requestsPerSecond, " got ", requests,
                                      " requests in 4 s, allowed ", allowed));
            break;
        }
    }
}

bool GatewaySoak::wasRestarted(const std::string &name, absl::Time from, absl::Time to) const
{
    const auto found = this->restarts.find(name);
    return found != this->restarts.end()
        && std::any_of(found->second.begin(), found->second.end(),
                       [from, to](absl::Time at) { return at > from && at < to; });
}

void GatewaySoak::checkNothingCut()
{
    absl::flat_hash_map<std::string, ServerArrival> reached;
    for (const ServerArrival &arrival : this->deployment.platform().arrivals())
        reached[arrival.callId] = arrival;
    for (const Outcome &outcome : this->outcomes) {
        const auto found = reached.find(outcome.callId);
        if (outcome.wasCut && found != reached.end())
            this->report(absl::StrCat(outcome.callId, " was cut off by gateway ",
                                      found->second.gateway, " after it had reached ",
                                      found->second.server));
    }
}

void GatewaySoak::checkBackpressure()
{
    const std::vector<ServerArrival> arrivals = this->deployment.platform().arrivals();
    for (auto told = arrivals.begin(); told != arrivals.end(); ++told) {
        if (!told->saysDraining && !told->requestsPause)
            continue;
        const absl::Duration reaction = told->saysDraining ? kDrainBound : kPauseReactionTime;
        const absl::Time end =
            told->saysDraining ? absl::InfiniteFuture() : told->at + ServingStandin::kRetryAfter;
        const auto late = std::count_if(told, arrivals.end(), [&](const ServerArrival &other) {
            return other.server == told->server && other.startedMs == told->startedMs
                && other.gateway == told->gateway && other.at > told->at + reaction
                && other.at < end && !this->wasRestarted(told->gateway, told->at, other.at);
        });
        if (late > (told->saysDraining ? 0 : kLateCalls))
            this->report(absl::StrCat(told->server, " got ", late, " calls from gateway ",
                                      told->gateway, " after it had told it to send none"));
    }
}

void GatewaySoak::report(const std::string &problem)
{
    const std::lock_guard lock(this->mutex);
    this->reportedProblems.push_back(problem);
}

std::vector<std::string> GatewaySoak::problems()
{
    const std::lock_guard lock(this->mutex);
    return this->reportedProblems;
}

} // namespace foxtailtally
