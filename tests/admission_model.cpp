#include "tests/admission_model.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace foxtailtally {

namespace {

constexpr int kMessageDelay = 200;
constexpr int kConnectDelay = 400;

InstanceId instanceName(int instance)
{
    return InstanceId(absl::StrCat("entry", instance));
}

} // namespace

AdmissionModel::AdmissionModel(const PolicyFactory &factory, const AdmissionModelOptions &options,
                               std::uint64_t seed)
    : options(options)
    , random(seed)
{
    if (options.earlierRequests > 0)
        this->readyAt = this->clock + absl::Seconds(3);
    this->policy = factory(AdmissionOptionsBuilder()
                               .setGroup(GroupId("g"), FailureDomainId("d"), ModelId("m"))
                               .setOwner(InstanceId("owner"), 7)
                               .setReadyAt(this->readyAt)
                               .build()
                               .value());
    for (int i = 0; i < options.servers; ++i) {
        BackendServer server;
        server.id = BackendServerId(absl::StrCat("s", i));
        server.model = ModelId("m");
        server.memoryTokens = options.memoryTokens;
        server.coldLimit = options.coldLimit;
        server.warmLimit = options.warmLimit;
        this->engines.push_back({server});
        this->after(absl::Milliseconds(100 + 10 * i), [this, i] { this->report(i); });
    }
    for (int i = 0; i < options.earlierRequests; ++i) {
        Run run;
        run.servers = {i % options.servers};
        run.part = 1000 + static_cast<std::int64_t>(this->random.below(60000));
        run.instance = i % 3;
        run.incarnation = 1;
        run.deadline = this->clock + absl::Minutes(1);
        run.isStarted = run.isForeign = true;
        const PermitId permit = 1 + static_cast<PermitId>(i);
        this->runs[permit] = run;
        this->after(absl::Milliseconds(this->random.below(20000)),
                    [this, permit] { this->endRun(permit, PermitOutcome::Finished); });
    }
    for (int i = 0; i < 3; ++i)
        this->after(this->delay(5000), [this, i] { this->reportPermits(i); });
    this->sendServers();
    this->setLimits(100);
}

absl::Duration AdmissionModel::delay(int milliseconds)
{
    return absl::Milliseconds(this->random.below(static_cast<std::uint64_t>(milliseconds)));
}

void AdmissionModel::after(absl::Duration duration, std::function<void()> action)
{
    this->events.emplace(this->clock + duration, std::move(action));
}

void AdmissionModel::send(int instance, std::function<void()> action)
{
    absl::Time &last = this->lastArrival[static_cast<std::size_t>(instance)];
    last = std::max(last, this->clock + this->delay(kMessageDelay));
    this->events.emplace(last, std::move(action));
}

void AdmissionModel::fail(const std::string &text)
{
    if (this->firstViolation.empty())
        this->firstViolation = absl::StrCat(
            text, " at ", absl::FormatDuration(this->clock - absl::FromUnixSeconds(1000)));
}

void AdmissionModel::advance(absl::Duration duration)
{
    const absl::Time end = this->clock + duration;
    while (true) {
        const absl::Duration interval = this->options.tickInterval;
        const absl::Time tick = interval > absl::ZeroDuration()
            ? absl::UnixEpoch() + absl::Floor(this->clock - absl::UnixEpoch(), interval) + interval
            : std::max(this->policy->nextTick(), this->clock + absl::Milliseconds(1));
        const absl::Time event =
            this->events.empty() ? absl::InfiniteFuture() : this->events.begin()->first;
        if (std::min(tick, event) > end)
            break;
        if (event <= tick) {
            this->clock = std::max(this->clock, event);
            const std::function<void()> action = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            action();
        } else {
            this->clock = tick;
            this->handle(this->policy->onTick(tick));
        }
    }
    this->clock = end;
}

void AdmissionModel::sendServers()
{
    std::vector<BackendServer> list;
    for (const Engine &engine : this->engines)
        list.push_back(engine.listed);
    this->handle(this->policy->setServers(list, this->clock));
}

void AdmissionModel::setLimits(int percent)
{
    this->limit = this->options.memoryTokens * percent / 100;
    std::vector<UsableUnits> units;
    for (const Engine &engine : this->engines)
        units.push_back({engine.listed.id, this->options.coldLimit, this->limit});
    this->handle(this->policy->setLimits(units, this->clock));
}

void AdmissionModel::setDraining(int server, bool isLeaving)
{
    this->engines[static_cast<std::size_t>(server)].listed.leaving = isLeaving;
    this->sendServers();
}

void AdmissionModel::stopForOneSecond()
{
    if (std::exchange(this->isStopped, true))
        return;
    this->handle(this->policy->stop(RefusalReason::Leaving, this->clock));
    this->after(absl::Seconds(1), [this] {
        this->policy->resume();
        this->isStopped = false;
    });
}

std::size_t AdmissionModel::reserve(RequestClass requestClass, std::int64_t promptTokens,
                                    std::int64_t newTokens, absl::Duration deadline, bool isSuspect)
{
    const std::size_t index = this->requests.size();
    const int instance = static_cast<int>(index % 3);
    RequestRecord record;
    RequestProfile &profile = record.request.profile;
    profile.id = RequestId(absl::StrCat("r", index));
    profile.model = ModelId("m");
    profile.requestClass = requestClass;
    profile.promptTokens = promptTokens;
    profile.maxNewTokens = newTokens;
    profile.deadline = this->clock + deadline;
    profile.deathsSeen = isSuspect ? 1 : 0;
    profile.fingerprint = fingerprintOf(profile.id.str());
    record.request.from = instanceName(instance);
    record.request.fromIncarnation = this->instances[static_cast<std::size_t>(instance)];
    record.sentAt = this->clock;
    this->indexOf[profile.id.str()] = index;
    this->requests.push_back(record);
    this->send(instance, [this, index] {
        const RequestRecord &sent = this->requests[index];
        if (!sent.isForgotten)
            this->handle(this->policy->reserve(sent.request, this->clock));
    });
    return index;
}

void AdmissionModel::withdraw(std::size_t index)
{
    this->send(static_cast<int>(index % 3), [this, index] {
        RequestRecord &record = this->requests[index];
        if (record.isGranted || record.refused != RefusalReason::None)
            return;
        record.isForgotten = true;
        this->handle(this->policy->withdraw(record.request.profile.id, this->clock));
    });
}

void AdmissionModel::handle(const AdmissionActions &actions)
{
    for (const AdmissionAction &action : actions) {
        const auto *grant = std::get_if<GrantAction>(&action);
        const auto *refuse = std::get_if<RefuseAction>(&action);
        const RequestId &id = grant != nullptr ? grant->grant.request : refuse->request;
        RequestRecord &record = this->requests[this->indexOf.at(id.str())];
        if (record.isGranted || record.refused != RefusalReason::None)
            this->fail(absl::StrCat("second answer for ", id.str()));
        if (record.isForgotten)
            this->fail(absl::StrCat("answer for the withdrawn ", id.str()));
        if (this->clock > record.request.profile.deadline)
            this->fail(absl::StrCat("answer after the deadline of ", id.str()));
        record.answeredAt = this->clock;
        if (refuse != nullptr) {
            record.refused = refuse->refusal.reason;
            record.retryAfter = refuse->refusal.retryAfter;
            if (!refuse->refusal.notRun)
                this->fail("refusal without notRun");
            continue;
        }
        record.isGranted = true;
        record.servers = grant->grant.servers;
        this->onGrant(grant->grant);
    }
}

void AdmissionModel::onGrant(const Grant &grant)
{
    const std::size_t index = this->indexOf.at(grant.request.str());
    const RequestProfile &profile = this->requests[index].request.profile;
    if (this->clock < this->readyAt)
        this->fail("grant before the takeover");
    if (this->isStopped)
        this->fail("grant while leaving");
    Run run;
    for (const BackendServerId &server : grant.servers)
        run.servers.push_back(std::stoi(server.str().substr(1)));
    const auto count = static_cast<std::int64_t>(run.servers.size());
    run.part = (profile.memoryTokens() + count - 1) / count;
    run.instance = static_cast<int>(index % 3);
    run.incarnation = this->requests[index].request.fromIncarnation;
    run.newTokens = profile.maxNewTokens;
    run.deadline = profile.deadline;
    run.isSuspect = profile.deathsSeen > 0;
    run.isLong = profile.promptTokens > kLongPromptTokens;
    run.firstToken = absl::Seconds(static_cast<double>(profile.promptTokens) / 20000);
    this->runs[grant.permit] = run;
    for (const int server : run.servers)
        this->checkServer(server);
    if (this->options.checksLongPrompts && run.isLong && run.servers.size() == 1)
        this->checkLongPrompts();
    if (std::exchange(this->isGrantLost, false)) {
        // The owner must assume that the permit is in use until its start-by time of 1 s.
        this->after(absl::Seconds(1), [this, permit = grant.permit] { this->runs.erase(permit); });
        return;
    }
    const absl::Time startBy = this->requests[index].sentAt + grant.startBy;
    const PermitId permit = grant.permit;
    this->after(this->delay(kMessageDelay), [this, permit, startBy] {
        if (!this->runs.contains(permit))
            return;
        if (this->clock <= startBy)
            this->after(this->delay(kConnectDelay), [this, permit] { this->startRun(permit); });
        else
            this->endRun(permit, PermitOutcome::NotStarted);
    });
}

void AdmissionModel::startRun(PermitId permit)
{
    const auto found = this->runs.find(permit);
    if (found == this->runs.end())
        return;
    Run &run = found->second;
    run.isStarted = true;
    const absl::Duration service =
        run.firstToken + absl::Milliseconds(20) * static_cast<double>(run.newTokens);
    this->after(std::min(service, std::max(run.deadline - this->clock, absl::ZeroDuration())),
                [this, permit] { this->endRun(permit, PermitOutcome::Finished); });
}

void AdmissionModel::endRun(PermitId permit, PermitOutcome outcome)
{
    const auto found = this->runs.find(permit);
    if (found == this->runs.end())
        return;
    const Run run = found->second;
    this->runs.erase(found);
    if (outcome == PermitOutcome::Finished)
        ++this->engines[static_cast<std::size_t>(run.servers.front())].completions;
    if (run.incarnation != this->instances[static_cast<std::size_t>(run.instance)])
        return;
    PermitRelease release {permit, outcome, run.firstToken, run.newTokens};
    this->send(run.instance,
               [this, release] { this->handle(this->policy->release(release, this->clock)); });
}

void AdmissionModel::cancelOne()
{
    for (const auto &[permit, run] : this->runs) {
        if (!run.isStarted || this->random.below(2) == 0)
            continue;
        this->endRun(permit, PermitOutcome::Cancelled);
        return;
    }
}

/** Checks the rules for all requests that run or may start on one server, at each grant. */
void AdmissionModel::checkServer(int server)
{
    std::int64_t tokens = 0;
    std::int64_t count = 0;
    int suspects = 0;
    for (const auto &[permit, run] : this->runs) {
        if (std::find(run.servers.begin(), run.servers.end(), server) == run.servers.end())
            continue;
        tokens += run.part;
        count += run.servers.front() == server ? 1 : 0;
        suspects += run.isSuspect ? 1 : 0;
    }
    const Engine &engine = this->engines[static_cast<std::size_t>(server)];
    const std::int64_t units =
        engine.isReportedWarm ? this->options.warmLimit : this->options.coldLimit;
    if (tokens > this->limit)
        this->fail(absl::StrCat("memory of s", server, ": ", tokens, " of ", this->limit));
    if (count > units)
        this->fail(absl::StrCat("requests on s", server, ": ", count, " of ", units));
    if (suspects > 1)
        this->fail(absl::StrCat("two suspects on s", server));
    if (engine.listed.leaving)
        this->fail(absl::StrCat("grant on the leaving s", server));
}

/** At most a third of the servers may run long prompts; contexts on several are not counted. */
void AdmissionModel::checkLongPrompts()
{
    std::set<int> used;
    for (const auto &[permit, run] : this->runs) {
        if (run.isLong && run.servers.size() == 1)
            used.insert(run.servers.front());
    }
    if (static_cast<int>(used.size()) > std::max(this->options.servers / 3, 1))
        this->fail(absl::StrCat("long prompts on ", used.size(), " servers"));
}

void AdmissionModel::report(int server)
{
    Engine &engine = this->engines[static_cast<std::size_t>(server)];
    LoadReport report;
    report.server = engine.listed.id;
    report.incarnation = engine.incarnation;
    report.sequence = ++engine.sequence;
    report.warm = this->isWarm(engine);
    for (const auto &[permit, run] : this->runs) {
        if (!run.isStarted
            || std::find(run.servers.begin(), run.servers.end(), server) == run.servers.end())
            continue;
        report.heldTokens += run.part;
        report.running += run.servers.front() == server ? 1 : 0;
    }
    const absl::Duration lag = this->delay(1500);
    report.age = lag + this->delay(500);
    this->after(lag, [this, report, server] {
        Engine &target = this->engines[static_cast<std::size_t>(server)];
        const std::pair<Incarnation, std::uint64_t> number {report.incarnation, report.sequence};
        // The owner ignores a report that arrives after a newer one.
        if (number > target.lastReport) {
            target.lastReport = number;
            target.isReportedWarm = report.warm;
        }
        this->handle(this->policy->onLoadReport(report, this->clock));
    });
    this->after(this->options.reportInterval + this->delay(100),
                [this, server] { this->report(server); });
}

void AdmissionModel::reportPermits(int instance)
{
    PermitReport report;
    report.from = instanceName(instance);
    report.fromIncarnation = this->instances[static_cast<std::size_t>(instance)];
    for (const auto &[permit, run] : this->runs) {
        if (run.instance != instance || run.incarnation != report.fromIncarnation)
            continue;
        HeldPermit held;
        held.permit = permit;
        for (const int server : run.servers)
            held.servers.push_back(this->engines[static_cast<std::size_t>(server)].listed.id);
        held.tokens = run.part * static_cast<std::int64_t>(run.servers.size());
        held.isSuspect = run.isSuspect;
        held.deadline = run.deadline;
        report.held.push_back(held);
    }
    this->send(instance,
               [this, report] { this->handle(this->policy->onPermitReport(report, this->clock)); });
    this->after(absl::Seconds(5), [this, instance] { this->reportPermits(instance); });
}

void AdmissionModel::restartServer(int server, bool isNoticed)
{
    Engine &engine = this->engines[static_cast<std::size_t>(server)];
    ++engine.incarnation;
    engine.sequence = 0;
    engine.completions = 0;
    std::vector<PermitId> ended;
    for (const auto &[permit, run] : this->runs) {
        if (run.isStarted
            && std::find(run.servers.begin(), run.servers.end(), server) != run.servers.end())
            ended.push_back(permit);
    }
    for (const PermitId permit : ended)
        this->endRun(permit, PermitOutcome::ServerLost);
    if (isNoticed) {
        this->after(this->delay(kMessageDelay), [this, id = engine.listed.id] {
            this->handle(this->policy->onServerLost(id, this->clock));
        });
    }
}

void AdmissionModel::killInstance(int instance)
{
    const Incarnation dead = this->instances[static_cast<std::size_t>(instance)]++;
    for (auto run = this->runs.begin(); run != this->runs.end();) {
        const bool isHeld = run->second.instance == instance && run->second.incarnation == dead;
        if (isHeld && run->second.isStarted) {
            // The engine notices the closed connection after a delay.
            this->after(this->options.cancelDelay * this->random.uniform(),
                        [this, permit = run->first] { this->runs.erase(permit); });
        }
        run = isHeld && !run->second.isStarted ? this->runs.erase(run) : std::next(run);
    }
    this->after(absl::Seconds(2) + this->delay(1000), [this, instance, dead] {
        for (RequestRecord &record : this->requests) {
            if (record.request.from == instanceName(instance)
                && record.request.fromIncarnation <= dead)
                record.isForgotten = true;
        }
        this->handle(this->policy->onInstanceDead(instanceName(instance), dead, this->clock));
    });
}

void AdmissionModel::apply(std::uint32_t word)
{
    const std::uint32_t kind = word % 20;
    const std::uint32_t detail = word / 20;
    const int server = static_cast<int>(detail % static_cast<std::uint32_t>(this->options.servers));
    if (kind < 10) {
        constexpr std::int64_t kPrompts[] = {500, 2000, 8000, 30000, 60000, 150000, 350000};
        this->reserve(static_cast<RequestClass>(detail % 3), kPrompts[detail / 3 % 7],
                      20 + detail / 21 % 400, absl::Milliseconds(500 + detail / 8400 % 30000),
                      detail / 21 % 7 == 0);
    } else if (kind < 13) {
        this->advance(absl::Milliseconds(detail % 3000));
    } else if (kind == 13) {
        this->cancelOne();
    } else if (kind == 14) {
        this->restartServer(server, detail % 2 == 0);
    } else if (kind == 15) {
        this->killInstance(static_cast<int>(detail % 3));
    } else if (kind == 16) {
        this->setLimits(static_cast<int>(detail % 101));
    } else if (kind == 17) {
        this->loseNextGrant();
    } else if (kind == 18 && !this->requests.empty()) {
        this->withdraw(detail % this->requests.size());
    } else if (kind == 19 && detail % 5 == 4) {
        this->stopForOneSecond();
    } else if (kind == 19) {
        this->setDraining(server, detail % 3 == 0);
    }
    this->advance(absl::Milliseconds(detail % 97));
}

void AdmissionModel::drain()
{
    this->setLimits(100);
    for (int i = 0; i < this->options.servers; ++i)
        this->setDraining(i, false);
    this->advance(absl::Minutes(8));
    for (const RequestRecord &record : this->requests) {
        if (!record.isForgotten && !record.isGranted && record.refused == RefusalReason::None)
            this->fail(absl::StrCat("no answer for ", record.request.profile.id.str()));
    }
    const GroupSummary summary = this->policy->summary(this->clock);
    const std::int64_t held = this->limit * this->options.servers - summary.freeTokens;
    if (summary.running != 0 || summary.queued != 0 || held != 0)
        this->fail(absl::StrCat("left over: ", summary.running, " permits, ", summary.queued,
                                " waiting, ", held, " tokens"));
}

} // namespace foxtailtally
