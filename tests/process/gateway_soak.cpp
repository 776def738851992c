#include "tests/process/gateway_soak.h"

#include "tests/process/http_caller.h"

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
constexpr int kEngines = 3;
constexpr int kServers = 5;
constexpr absl::Duration kStopLimit = absl::Seconds(20);
constexpr absl::Duration kRecoveryLimit = absl::Seconds(60);
/** Longest duration of one fault, and longest interval between two. */
constexpr absl::Duration kMaxFaultDuration = absl::Milliseconds(1500);
constexpr absl::Duration kMaxFaultInterval = absl::Milliseconds(400);

/** Rate limits that servers name, and how long they do. */
constexpr double kMinLimit = 0.2;
constexpr double kMaxLimit = 2.0;
constexpr absl::Duration kMinLimitTime = absl::Seconds(3);
constexpr absl::Duration kMaxLimitTime = absl::Seconds(12);

/** The users' rule: at most kLimitFactor times the limit and kLimitSlack requests in kLimitWindow,
 * once kLearnTime has passed for all gateways to know the limit. */
constexpr absl::Duration kLimitWindow = absl::Seconds(4);
constexpr absl::Duration kLearnTime = absl::Seconds(1);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;

} // namespace

GatewaySoak::GatewaySoak(std::uint64_t seed)
    : seed(seed)
    , deployment(kGateways)
{
    this->deployment.configure(1, {"key-1"});
    ServingStandin &platform = this->deployment.platform();
    for (int gateway = 0; gateway < kGateways; ++gateway) {
        this->proxies.push_back(std::make_unique<FaultProxy>(
            this->deployment.spareHost(gateway) + ":8200", platform.storeAddress()));
        this->deployment.setStoreAddress(gateway, this->proxies.back()->address());
    }
    for (int server = 0; server < kServers; ++server) {
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

void GatewaySoak::run(absl::Duration length)
{
    Random random(this->seed);
    std::vector<std::thread> threads;
    threads.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller)
        threads.emplace_back(&GatewaySoak::callLoop, this, random.next(), caller);
    std::thread faults(&GatewaySoak::faultLoop, this, random.next());
    std::thread limits(&GatewaySoak::limitLoop, this, random.next());
    absl::SleepFor(length);
    this->isStopping = true;
    for (std::thread &thread : threads)
        thread.join();
    faults.join();
    limits.join();
    this->waitForRecovery();
    this->checkExecutions();
    this->checkLimits();
}

void GatewaySoak::callLoop(std::uint64_t callerSeed, int caller)
{
    Random random(callerSeed);
    for (int number = 0; !this->isStopping; ++number)
        this->callOnce(random, absl::StrCat("soak-", caller, "-", number));
}

void GatewaySoak::callOnce(Random &random, const std::string &callId)
{
    constexpr std::array<const char *, 3> kPaths = {"/stream/a", "/act/b", "/look/c"};
    const std::size_t kind = random.below(kPaths.size());
    CallerRequest request;
    request.address = this->deployment.callerAddress(static_cast<int>(random.below(kGateways)));
    request.path = kPaths[kind];
    request.body = "b";
    request.headers = {"Attempt-Id: " + callId, "Key: key-1", "Deadline-Ms: 1500",
                       "Token-Usage: 1000,100"};
    // Some callers disconnect before they get a response.
    request.limit = absl::Milliseconds(random.below(8) == 0 ? 60 : 2500);
    const CallerAnswer answer = callGateway(request);
    if (answer.status == 401 || answer.status == 403 || answer.status == 404)
        this->report(
            absl::StrCat(callId, " got status ", answer.status, " although it is permitted"));
    if (kind == 0)
        this->checkStream(callId, answer.status, answer.isComplete, answer.body);
    else if (answer.status == 200 && answer.isComplete
             && answer.body != absl::StrCat("done:", callId, ":b"))
        this->report(absl::StrCat(callId, " got an unexpected body: ", answer.body));
    this->servedCalls += answer.status == 200 && answer.isComplete ? 1 : 0;
    const std::lock_guard lock(this->mutex);
    this->outcomes.push_back({callId, kind == 1, answer.status});
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
        switch (random.below(5)) {
        case 0:
            this->injectServerFault(random);
            break;
        case 1:
            this->injectStoreFault(random);
            break;
        case 2:
            this->injectLinkFault(random);
            break;
        default:
            this->injectGatewayFault(random);
        }
        absl::SleepFor(kMaxFaultInterval * random.uniform());
    }
}

void GatewaySoak::injectGatewayFault(Random &random)
{
    const int index = static_cast<int>(random.below(kGateways));
    ChildProcess &process = this->deployment.process(index);
    switch (random.below(3)) {
    case 0:
        process.signal(SIGSTOP);
        absl::SleepFor(kMaxFaultDuration * random.uniform());
        process.signal(SIGCONT);
        return;
    case 1:
        process.signal(SIGKILL);
        break;
    default:
        process.signal(SIGTERM);
    }
    if (!process.waitForEnd(kStopLimit))
        this->report("a gateway did not exit in time after SIGTERM or SIGKILL");
    // A process that is still loading does not handle SIGTERM yet, and has accepted no call.
    const bool wasLoading = process.exitCode() == -SIGTERM && !this->deployment.hasStarted(index);
    if (process.exitCode() != 0 && process.exitCode() != -SIGKILL && !wasLoading)
        this->report(absl::StrCat("a gateway exited with code ", process.exitCode()));
    this->deployment.start(index);
    const std::lock_guard lock(this->mutex);
    this->restarts.push_back(absl::Now());
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

void GatewaySoak::injectServerFault(Random &random)
{
    constexpr std::array<ServerBehavior, 6> kBehaviors = {
        ServerBehavior::Shed,       ServerBehavior::FailAfterRunning,
        ServerBehavior::Disconnect, ServerBehavior::DisconnectMidStream,
        ServerBehavior::NoResponse, ServerBehavior::TruncateBody};
    const int server = static_cast<int>(random.below(kServers));
    ServingStandin &platform = this->deployment.platform();
    platform.setServerBehavior(server, kBehaviors[random.below(kBehaviors.size())]);
    absl::SleepFor(kMaxFaultDuration * random.uniform());
    platform.setServerBehavior(server, ServerBehavior::Serve);
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

void GatewaySoak::checkExecutions()
{
    absl::flat_hash_map<std::string, int> runs;
    for (const ServerArrival &arrival : this->deployment.platform().arrivals())
        runs[arrival.callId] += arrival.hasRun ? 1 : 0;
    for (const Outcome &outcome : this->outcomes) {
        if (!outcome.isAction)
            continue;
        const int count = runs[outcome.callId];
        if (count > 1)
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
            const auto uninformed =
                std::count_if(this->restarts.begin(), this->restarts.end(), [&](absl::Time at) {
                    return at + kLearnTime > *first - kLearnTime && at < end;
                });
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
