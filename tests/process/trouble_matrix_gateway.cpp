#include "tests/process/trouble_matrix_gateway.h"

#include "platform/store_objects.h"
#include "tests/process/trouble_matrix_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace foxtailtally {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration kAdoptionLimit = absl::Seconds(20);
/** Longest time for which a caller waits before the rest of its request, however long the change
 * takes. */
constexpr absl::Duration kChangeWait = absl::Seconds(1);
/** Longest time until a request must have ended; routes have a timeout of 4 s. */
constexpr absl::Duration kAnswerLimit = absl::Seconds(10);
constexpr absl::Duration kRouteTimeout = absl::Seconds(4);
constexpr absl::Duration kPrefillTime = absl::Milliseconds(500);
/** From the start of the callers to the change; covers the longest lead of a step. */
constexpr absl::Duration kPreparation = absl::Milliseconds(850);
constexpr absl::Duration kStormInterval = absl::Milliseconds(200);
constexpr int kStormVersions = 8;
/** Long enough for a gateway to learn of an entry in the store. */
constexpr absl::Duration kNoticeTime = absl::Milliseconds(300);
constexpr absl::Duration kStopLimit = absl::Seconds(8);
constexpr int kAddedRoutes = 1400;
/** Beside some 60 requests of the cells in a second. */
constexpr double kServerLimit = 8.0;
constexpr std::size_t kBodyBytes = 20;
/** Runs of plain calls that are at a server when the change comes, in ms. */
constexpr int kRunMs = 600;
constexpr const char *kCrashingPart = "ab";
constexpr int kEndlessCalls = 4;
constexpr int kWarmUpCalls = 15;
/** Host numbers of GatewayDeployment::spareHost(). */
constexpr int kStoreLinkHost = 0;
constexpr int kEndlessHost = 1;
constexpr int kServerLinkHost = 2;
/** Event before which the first server of a stream that resumes closes its connection. */
constexpr int kBreakAt = 5;

constexpr std::array kEngines = {0, 1, 2, 3, 4, 5};
constexpr std::array kSpareEngines = {6, 7};
constexpr std::array kDesks = {10, 11, 12, 13};
constexpr std::array kSpareDesks = {14, 15};
constexpr std::array kSecondDesks = {16, 17};
/** Time until engines respond to commands to reserve memory at MatrixStep::Reserving. */
constexpr absl::Duration kOrderDelay = absl::Milliseconds(300);
/** Time until the rejection at MatrixStep::BetweenAttempts; longer than the lead of that step. */
constexpr int kRejectionMs = 70;
/** Requests sent later than this time before the change may be read after it. */
constexpr absl::Duration kReadingTime = absl::Milliseconds(20);

/** Numbers of the servers that take part from the start. */
std::vector<int> usualServers()
{
    std::vector<int> result(kEngines.begin(), kEngines.end());
    result.insert(result.end(), kDesks.begin(), kDesks.end());
    result.insert(result.end(), kSecondDesks.begin(), kSecondDesks.end());
    return result;
}

std::vector<int> spareServers()
{
    std::vector<int> result(kSpareEngines.begin(), kSpareEngines.end());
    result.insert(result.end(), kSpareDesks.begin(), kSpareDesks.end());
    return result;
}

/** Every second one of the usual servers. */
std::vector<int> halfOfServers()
{
    std::vector<int> result = usualServers();
    std::erase_if(result, [](int index) { return index % 2 == 1; });
    return result;
}

std::string pathOf(MatrixKind kind)
{
    switch (kind) {
    case MatrixKind::Read:
        return "/look/a";
    case MatrixKind::PublicAction:
        return "/open/a";
    case MatrixKind::Action:
        return "/act/a";
    case MatrixKind::ResumableStream:
        return "/stream/a";
    case MatrixKind::PlainStream:
        return "/stream-once/a";
    case MatrixKind::LongPrompt:
        return "/long/a";
    }
    return "";
}

Json route(const std::string &prefix, const std::string &kind, const std::string &service)
{
    return {{"Name", prefix},          {"Host", "desk.example"},
            {"PathPrefix", prefix},    {"Kind", kind},
            {"Service", service},      {"TimeoutMs", absl::ToInt64Milliseconds(kRouteTimeout)},
            {"TargetLatencyMs", 2000}, {"GapAimMs", 1000},
            {"MaxAttempts", 3}};
}

Json baseConfig(int version)
{
    const Json engine = {{"Slots", 16},     {"KvCapacity", 405000},  {"Stride", 34},
                         {"step_ms", 1.31}, {"read_per_s", 1000000}, {"chunk", 2048}};
    Json look = route("/look/", "idempotent", "desk");
    look["TrafficSplit"] = {{{"Service", "desk"}, {"Weight", 9}},
                            {{"Service", "second-desk"}, {"Weight", 1}}};
    const Json endless = route("/endless/", "idempotent", "endless");
    Json open = route("/open/", "non_idempotent", "desk");
    open["Public"] = true;
    Json stream = route("/stream/", "streaming", "engine");
    stream["Resumable"] = true;
    Json longPrompt = route("/long/", "streaming", "engine");
    longPrompt["Resumable"] = true;
    return {{"Version", version},
            {"Routes",
             {look, open, endless, stream, longPrompt, route("/act/", "non_idempotent", "desk"),
              route("/stream-once/", "streaming", "engine")}},
            {"Services",
             {{{"Name", "engine"}, {"Engine", engine}},
              {{"Name", "desk"}},
              {{"Name", "second-desk"}},
              {{"Name", "endless"}},
              {{"Name", "other-engine"}, {"Engine", engine}},
              {{"Name", "other-desk"}}}},
            {"Limits",
             {{"MaxBodyBytes", 65536},
              {"MaxHeaderBytes", 8192},
              {"HeaderTimeoutMs", 30000},
              {"IdleTimeoutMs", 15000}}},
            {"Tenants", {{{"Name", "customer-1"}, {"ApiKeys", {"key-1"}}}}}};
}

void setRoutes(Json &config, const std::string &name, const Json &value)
{
    for (Json &item : config["Routes"])
        item[name] = value;
}

void moveRoute(Json &config, const std::string &prefix, const std::string &service)
{
    for (Json &item : config["Routes"]) {
        if (item["PathPrefix"] == prefix)
            item["Service"] = service;
    }
}

void shiftWeights(Json &config)
{
    for (Json &item : config["Routes"]) {
        if (item.contains("TrafficSplit")) {
            item["TrafficSplit"][0]["Weight"] = 1;
            item["TrafficSplit"][1]["Weight"] = 9;
        }
    }
}

/** The version of the configuration that @p change writes. */
void applyChange(MatrixChange change, Json &config)
{
    Json &limits = config["Limits"];
    switch (change) {
    case MatrixChange::HeaderLimitShrinks:
        limits["MaxHeaderBytes"] = 100;
        return;
    case MatrixChange::HeaderLimitGrows:
        limits["MaxHeaderBytes"] = 100000;
        return;
    case MatrixChange::BodyLimitShrinks:
        limits["MaxBodyBytes"] = 10;
        return;
    case MatrixChange::BodyLimitGrows:
        limits["MaxBodyBytes"] = 1000000;
        return;
    case MatrixChange::HeaderTimeoutShrinks:
        limits["HeaderTimeoutMs"] = 20;
        return;
    case MatrixChange::HeaderTimeoutGrows:
        limits["HeaderTimeoutMs"] = 60000;
        return;
    case MatrixChange::IdleTimeoutShrinks:
        limits["IdleTimeoutMs"] = 50;
        return;
    case MatrixChange::IdleTimeoutGrows:
        limits["IdleTimeoutMs"] = 60000;
        return;
    case MatrixChange::TimeoutShrinks:
        setRoutes(config, "TimeoutMs", 30);
        return;
    case MatrixChange::TimeoutGrows:
        setRoutes(config, "TimeoutMs", 60000);
        return;
    case MatrixChange::AttemptsShrink:
        setRoutes(config, "MaxAttempts", 1);
        return;
    case MatrixChange::RoutesDropped:
        config["Routes"] = Json::array();
        return;
    case MatrixChange::RoutesMoved:
        moveRoute(config, "/act/", "other-desk");
        moveRoute(config, "/stream/", "other-engine");
        return;
    case MatrixChange::ServicesRemoved:
        config["Services"] = Json::array();
        config["Routes"] = Json::array();
        return;
    case MatrixChange::KeyRevoked:
        config["Tenants"][0]["ApiKeys"] = {"key-2"};
        return;
    case MatrixChange::CustomersRemoved:
        config["Tenants"] = Json::array();
        return;
    case MatrixChange::WeightsShift:
        shiftWeights(config);
        return;
    case MatrixChange::RoutesAdded:
        for (int number = 0; number < kAddedRoutes; ++number)
            config["Routes"].push_back(
                route(absl::StrCat("/added-", number, "/"), "idempotent", "desk"));
        return;
    case MatrixChange::None:
    case MatrixChange::Storm:
    case MatrixChange::Reload:
    case MatrixChange::PlannedStop:
    case MatrixChange::EvacuationTakenBack:
    case MatrixChange::ServersReplaced:
        return;
    }
}

bool isConfiguration(MatrixChange change)
{
    return change > MatrixChange::None && change <= MatrixChange::RoutesAdded;
}

/** Time for which the trouble lasts once it has begun. */
absl::Duration lengthOf(MatrixTrouble trouble)
{
    switch (trouble) {
    case MatrixTrouble::CutOff300:
    case MatrixTrouble::Silent300:
    case MatrixTrouble::LostAnswers300:
        return absl::Milliseconds(300);
    case MatrixTrouble::CutOff1000:
    case MatrixTrouble::Silent1000:
    case MatrixTrouble::LostAnswers1000:
        return absl::Seconds(1);
    case MatrixTrouble::CutOff1900:
    case MatrixTrouble::Silent1900:
    case MatrixTrouble::LostAnswers1900:
        return absl::Milliseconds(1900);
    default:
        return absl::ZeroDuration();
    }
}

/** Time of idleness after which servers drop connections. */
absl::Duration idleDropOf(MatrixTrouble trouble)
{
    switch (trouble) {
    case MatrixTrouble::IdleDrop50:
        return absl::Milliseconds(50);
    case MatrixTrouble::IdleDrop300:
        return absl::Milliseconds(300);
    case MatrixTrouble::IdleDrop2000:
        return absl::Seconds(2);
    default:
        return absl::InfiniteDuration();
    }
}

/** How long before the change a request at @p step begins. */
absl::Duration leadOf(MatrixStep step)
{
    switch (step) {
    case MatrixStep::StreamRunning:
        return kPrefillTime + absl::Milliseconds(120);
    case MatrixStep::StreamEnding:
        return kPrefillTime + (ServingStandin::kEvents - 1) * ServingStandin::kEventInterval;
    case MatrixStep::Resuming:
        return kPrefillTime + (kBreakAt - 1) * ServingStandin::kEventInterval;
    case MatrixStep::SecondAttempt:
        return absl::Milliseconds(450);
    case MatrixStep::Reserving:
        return absl::Milliseconds(30);
    case MatrixStep::AtServer:
    case MatrixStep::PipelinedBehindAStream:
        return absl::Milliseconds(250);
    default:
        return absl::Milliseconds(60);
    }
}

} // namespace

MatrixGateway::MatrixGateway(bool hasProxies)
    : hasProxies(hasProxies)
    , deployment(1)
    , storeLink(this->deployment.spareHost(kStoreLinkHost) + ":8200",
                this->deployment.platform().storeAddress())
    , endlessServer(this->deployment.spareHost(kEndlessHost) + ":8300",
                    EndlessBytes::BodyWithoutLength)
{
    this->deployment.setStoreAddress(0, this->storeLink.address());
}

std::string MatrixGateway::listedAddress(int index)
{
    std::string own = this->deployment.platform().serverAddress(index);
    if (!this->hasProxies)
        return own;
    this->serverLinks.push_back(std::make_unique<FaultProxy>(
        absl::StrCat(this->deployment.spareHost(kServerLinkHost), ":", 8300 + index), own));
    return this->serverLinks.back()->address();
}

void MatrixGateway::setServerLinks(LinkFault fault)
{
    for (const std::unique_ptr<FaultProxy> &link : this->serverLinks)
        link->setFault(fault);
}

bool MatrixGateway::start()
{
    ServingStandin &platform = this->deployment.platform();
    this->configure([](Json &) {});
    const auto add = [&](const auto &indices, const std::string &service) {
        for (const int index : indices)
            platform.addServer(index, service, index % 2 == 0 ? "d0" : "d1",
                               this->listedAddress(index));
    };
    add(kEngines, "engine");
    add(kSpareEngines, "engine");
    add(kDesks, "desk");
    add(kSpareDesks, "desk");
    add(kSecondDesks, "second-desk");
    const Json endless = {
        {"Service", "endless"}, {"Address", this->deployment.spareHost(kEndlessHost) + ":8300"},
        {"Zone", "d0"},         {"Slots", 16},
        {"State", "ready"},     {"born", 1}};
    platform.putObject(std::string(platform::kServerKind), "endless-server", endless.dump());
    for (const int index : spareServers())
        platform.startDraining(index);
    platform.setPrefillTime(kPrefillTime);
    this->deployment.start(0);
    return this->deployment.waitUntilReady(0) && this->isApplied();
}

void MatrixGateway::configure(const ConfigChange &change)
{
    Json config = baseConfig(++this->version);
    change(config);
    this->deployment.platform().putObject(std::string(platform::kConfigKind),
                                          std::string(platform::kConfigName), config.dump());
}

bool MatrixGateway::isApplied()
{
    static const std::string kEvent = "\"limits_applied\"";
    static const std::string kField = "\"version\":";
    const absl::Time end = absl::Now() + kAdoptionLimit;
    while (absl::Now() < end) {
        std::ifstream log(this->deployment.logFile(0));
        log.seekg(static_cast<std::streamoff>(this->logRead));
        std::string text((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
        // The last line may be incomplete.
        text.resize(text.rfind('\n') + 1);
        this->logRead += text.size();
        for (std::size_t at = text.find(kEvent); at != std::string::npos;
             at = text.find(kEvent, at + 1)) {
            const std::string line = text.substr(at, text.find('\n', at) - at);
            const std::size_t field = line.find(kField);
            if (field == std::string::npos)
                continue;
            const std::size_t begin = field + kField.size();
            int applied = 0;
            if (absl::SimpleAtoi(
                    line.substr(begin, line.find_first_not_of("0123456789", begin) - begin),
                    &applied))
                this->appliedVersion = applied;
        }
        if (this->appliedVersion == this->version)
            return true;
        absl::SleepFor(absl::Milliseconds(10));
    }
    return false;
}

std::string MatrixGateway::nextId()
{
    return absl::StrCat("call-", ++this->calls);
}

std::string MatrixGateway::request(const MatrixCell &cell, MatrixKind kind, const std::string &id,
                                   bool isChunked) const
{
    std::string head =
        absl::StrCat("POST ", pathOf(kind), " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: ", id,
                     "\r\nDeadline-Ms: 8000\r\nToken-Usage: ",
                     kind == MatrixKind::LongPrompt ? "500000,100" : "1000,100");
    if (kind != MatrixKind::PublicAction)
        head += "\r\nKey: key-1";
    if (cell.step == MatrixStep::AtServer || cell.step == MatrixStep::SecondAttempt)
        absl::StrAppend(&head, "\r\n", ServingStandin::kRunHeader, ": ", kRunMs);
    if (cell.step == MatrixStep::Resuming)
        absl::StrAppend(&head, "\r\n", ServingStandin::kBreakHeader, ": ", kBreakAt);
    if (cell.step == MatrixStep::BetweenAttempts)
        absl::StrAppend(&head, "\r\n", ServingStandin::kRejectHeader, ": ", kRejectionMs);
    const std::string body(kBodyBytes, 'b');
    if (!isChunked)
        return absl::StrCat(head, "\r\nContent-Length: ", kBodyBytes, "\r\n\r\n", body);
    return absl::StrCat(head, "\r\nTransfer-Encoding: chunked\r\n\r\n", absl::Hex(kBodyBytes),
                        "\r\n", body, "\r\n0\r\n\r\n");
}

void MatrixGateway::addOutcome(MatrixOutcome outcome)
{
    outcome.time = kRouteTimeout;
    outcome.expectedBody = isStream(outcome.kind)
        ? ServingStandin::streamBody(outcome.callId)
        : absl::StrCat("done:", outcome.callId, ":", std::string(kBodyBytes, 'b'));
    const std::lock_guard lock(this->mutex);
    this->outcomes.push_back(std::move(outcome));
}

void MatrixGateway::warmUp()
{
    if (this->isWarm)
        return;
    const std::vector<MatrixKind> kinds = {MatrixKind::Read, MatrixKind::Action,
                                           MatrixKind::ResumableStream};
    std::vector<std::thread> callers;
    callers.reserve(kWarmUpCalls);
    for (int number = 0; number < kWarmUpCalls; ++number) {
        callers.emplace_back([this, kind = kinds.at(static_cast<std::size_t>(number) % 3)] {
            MatrixCaller caller(this->deployment.callerAddress(0));
            caller.send(this->request({}, kind, this->nextId(), false));
            static_cast<void>(caller.read(absl::Now() + kAnswerLimit));
        });
    }
    for (std::thread &caller : callers)
        caller.join();
}

void MatrixGateway::callerLoop(const MatrixCell &cell, absl::Time changeAt)
{
    MatrixCaller caller(this->deployment.callerAddress(0));
    const MatrixCell sound {};
    int earlier = cell.isTenth ? 9 : 0;
    if (cell.step == MatrixStep::ConnectionIdle)
        earlier = std::max(earlier, 1);
    for (int number = 0; number < earlier; ++number) {
        caller.send(this->request(sound, MatrixKind::Read, this->nextId(), false));
        static_cast<void>(caller.read(absl::Now() + kAnswerLimit));
    }
    MatrixOutcome own;
    own.cell = cell;
    own.kind = cell.kind;
    own.callId = this->nextId();
    std::string text =
        this->request(cell, cell.kind, own.callId, cell.step == MatrixStep::ChunkedBodyHalfSent);
    // Bytes of the request that are sent only after the change.
    std::size_t late = 0;
    if (cell.step == MatrixStep::HeadHalfSent)
        late = text.size() - 60;
    else if (cell.step == MatrixStep::BodyHalfSent)
        late = kBodyBytes / 2;
    else if (cell.step == MatrixStep::ChunkedBodyHalfSent)
        late = kBodyBytes / 2 + 7;
    else if (cell.step == MatrixStep::ConnectionIdle)
        late = text.size();
    MatrixOutcome next = own;
    next.isNext = true;
    next.kind = MatrixKind::Action;
    next.callId = this->nextId();
    const std::size_t early = text.size() - late;
    if (cell.hasNext)
        text += this->request(sound, next.kind, next.callId, false);
    MatrixOutcome before = own;
    before.cell.step = MatrixStep::AtServer;
    before.kind = MatrixKind::ResumableStream;
    before.callId = this->nextId();
    const bool hasBefore = cell.step == MatrixStep::PipelinedBehindAStream;

    absl::SleepFor(changeAt - leadOf(cell.step) - absl::Now());
    own.isLate = absl::Now() > changeAt - kReadingTime;
    before.isLate = own.isLate;
    if (hasBefore)
        caller.send(this->request(sound, before.kind, before.callId, false));
    caller.send(late == 0 ? text : text.substr(0, early));
    while (late > 0 && !this->mayGoOn)
        absl::SleepFor(absl::Milliseconds(2));
    if (late > 0)
        caller.send(text.substr(early));
    bool isBehindLastAnswer = false;
    const auto read = [&](MatrixOutcome &outcome) {
        outcome.isBehindLastAnswer = isBehindLastAnswer;
        outcome.answer = caller.read(absl::Now() + kAnswerLimit);
        isBehindLastAnswer = isBehindLastAnswer || outcome.answer.announcesClose;
        this->addOutcome(outcome);
    };
    if (hasBefore)
        read(before);
    read(own);
    if (cell.hasNext)
        read(next);
}

void MatrixGateway::beginStandingTrouble(MatrixTrouble trouble)
{
    ServingStandin &platform = this->deployment.platform();
    const ServerBehavior behavior = trouble == MatrixTrouble::ServerLeaving
        ? ServerBehavior::AnnounceDraining
        : ServerBehavior::ShedWithRetryAfter;
    if (trouble == MatrixTrouble::ServerLeaving || trouble == MatrixTrouble::RetryAfter) {
        for (const int index : halfOfServers())
            platform.setServerBehavior(index, behavior);
    }
    if (trouble == MatrixTrouble::ServerLimit) {
        for (const int index : usualServers())
            platform.setRateLimit(index, kServerLimit);
    }
    if (trouble == MatrixTrouble::OmittedLength) {
        for (const int index : usualServers())
            platform.setServerBehavior(index, ServerBehavior::OmitLength);
    }
    if (trouble == MatrixTrouble::StoreSlow)
        this->storeLink.setFault(LinkFault::Delay);
    if (const absl::Duration drop = idleDropOf(trouble); drop != absl::InfiniteDuration()) {
        platform.setIdleDrop(drop);
        // The requests of the steps with the longest lead come after this time too.
        absl::SleepFor(drop);
    }
    if (trouble == MatrixTrouble::StoreRestored)
        platform.withStore([](RestorableStore &store) { store.takeCopy(); });
}

void MatrixGateway::beginTrouble(MatrixTrouble trouble)
{
    ServingStandin &platform = this->deployment.platform();
    const absl::Duration length = lengthOf(trouble);
    const bool isCut = trouble >= MatrixTrouble::CutOff300 && trouble <= MatrixTrouble::CutOff1900;
    const bool isAnswerLost =
        trouble >= MatrixTrouble::LostAnswers300 && trouble <= MatrixTrouble::LostAnswers1900;
    if (isAnswerLost) {
        this->setServerLinks(LinkFault::StallResponses);
        absl::SleepFor(length);
        this->setServerLinks(LinkFault::None);
    } else if (length > absl::ZeroDuration()) {
        for (const int index : usualServers()) {
            if (isCut)
                platform.cutOff(index, length);
            else
                platform.fallSilent(index, length);
        }
    }
    if (trouble == MatrixTrouble::StoreSilent)
        this->storeLink.setFault(LinkFault::StallBoth);
    this->sendHarmfulCalls(trouble);
}

void MatrixGateway::sendHarmfulCalls(MatrixTrouble trouble)
{
    std::vector<std::unique_ptr<MatrixCaller>> callers;
    const auto send = [&](const std::string &path, const std::string &header) {
        callers.push_back(std::make_unique<MatrixCaller>(this->deployment.callerAddress(0)));
        callers.back()->send(absl::StrCat(
            "POST ", path, " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: ", this->nextId(),
            "\r\nKey: key-1\r\nDeadline-Ms: 3000\r\n", header, "\r\nContent-Length: 1\r\n\r\nb"));
    };
    if (trouble == MatrixTrouble::CrashingCall) {
        this->deployment.platform().setCrashingPart(kCrashingPart, absl::Milliseconds(500));
        send(
            "/stream/a",
            absl::StrCat("Token-Usage: 1000,100\r\nPrompt-Prefix: ", kCrashingPart, ":500,cd:500"));
    }
    for (int number = 0; trouble == MatrixTrouble::EndlessBytes && number < kEndlessCalls; ++number)
        send("/endless/a", "Token-Usage: 1,1");
    for (const std::unique_ptr<MatrixCaller> &caller : callers)
        static_cast<void>(caller->read(absl::Now() + kChangeWait));
}

void MatrixGateway::makeChange(MatrixChange change)
{
    ServingStandin &platform = this->deployment.platform();
    if (isConfiguration(change))
        this->configure([change](Json &config) { applyChange(change, config); });
    switch (change) {
    case MatrixChange::Storm:
        for (int number = 0; number < kStormVersions; ++number) {
            this->configure([number](Json &config) {
                if (number % 2 == 0)
                    shiftWeights(config);
            });
            absl::SleepFor(kStormInterval);
            this->letCallersGoOn();
        }
        return;
    case MatrixChange::Reload:
        this->deployment.process(0).signal(SIGHUP);
        return;
    case MatrixChange::PlannedStop:
        this->deployment.process(0).signal(SIGTERM);
        return;
    case MatrixChange::EvacuationTakenBack:
        platform.putObject(std::string(platform::kEvacuationKind), "d0", "{}");
        absl::SleepFor(kNoticeTime);
        this->letCallersGoOn();
        platform.removeObject(std::string(platform::kEvacuationKind), "d0");
        return;
    case MatrixChange::ServersReplaced:
        for (const int index : spareServers())
            platform.restart(index);
        for (const int index : halfOfServers())
            platform.startDraining(index);
        return;
    default:
        return;
    }
}

void MatrixGateway::endTrouble(MatrixTrouble trouble)
{
    ServingStandin &platform = this->deployment.platform();
    for (const int index : usualServers()) {
        platform.setServerBehavior(index, ServerBehavior::Serve);
        platform.setRateLimit(index, std::nullopt);
    }
    platform.setIdleDrop(absl::InfiniteDuration());
    platform.setCrashingPart("", absl::Milliseconds(500));
    this->storeLink.setFault(LinkFault::None);
    // The gateway forgets that servers leave when they start again.
    if (trouble == MatrixTrouble::ServerLeaving) {
        for (const int index : halfOfServers())
            platform.restart(index);
    }
    if (trouble == MatrixTrouble::RetryAfter)
        absl::SleepFor(ServingStandin::kRetryAfter);
    // A caller's last call at its server must name no limit.
    if (trouble == MatrixTrouble::ServerLimit)
        absl::SleepFor(absl::Seconds(1));
}

bool MatrixGateway::revert(MatrixChange change)
{
    ServingStandin &platform = this->deployment.platform();
    if (change == MatrixChange::ServersReplaced) {
        for (const int index : halfOfServers())
            platform.restart(index);
        for (const int index : spareServers())
            platform.startDraining(index);
    }
    if (change == MatrixChange::PlannedStop) {
        if (!this->deployment.process(0).waitForEnd(kStopLimit))
            return false;
        this->deployment.start(0);
        if (!this->deployment.waitUntilReady(0))
            return false;
    }
    this->configure([](Json &) {});
    return this->isApplied();
}

void MatrixGateway::completeFromServers(MatrixOutcome &outcome,
                                        const std::vector<ServerArrival> &arrivals)
{
    for (const ServerArrival &arrival : arrivals) {
        if (arrival.callId != outcome.callId)
            continue;
        outcome.runs += arrival.hasRun ? 1 : 0;
        int index = 0;
        const std::string prefix = "server-";
        if (absl::SimpleAtoi(arrival.server.substr(prefix.size()), &index)
            && this->deployment.platform().startedMs(index) != arrival.startedMs)
            outcome.hasMetCrash = true;
    }
}

std::vector<MatrixCellResult> MatrixGateway::play(const std::vector<MatrixCell> &cells)
{
    const MatrixTrouble trouble = cells.front().trouble;
    const MatrixChange change = cells.front().change;
    this->outcomes.clear();
    this->mayGoOn = false;
    this->warmUp();
    this->beginStandingTrouble(trouble);
    const absl::Time changeAt = absl::Now() + kPreparation;
    std::vector<std::thread> callers;
    callers.reserve(cells.size());
    for (const MatrixCell &cell : cells)
        callers.emplace_back([this, &cell, changeAt] { this->callerLoop(cell, changeAt); });
    const auto hasStep = [&](MatrixStep step) {
        return std::any_of(cells.begin(), cells.end(),
                           [step](const MatrixCell &cell) { return cell.step == step; });
    };
    absl::SleepFor(changeAt - 2 * leadOf(MatrixStep::Reserving) - absl::Now());
    if (hasStep(MatrixStep::Reserving))
        this->deployment.platform().setOrderDelay(kOrderDelay);
    absl::SleepFor(changeAt - absl::Now());
    std::thread troubleMaker([this, trouble] { this->beginTrouble(trouble); });
    absl::SleepFor(absl::Milliseconds(10));
    std::string setUpProblem;
    this->makeChange(change);
    const absl::Time goOnAt = changeAt + kChangeWait;
    if (trouble == MatrixTrouble::StoreRestored) {
        this->deployment.platform().withStore(
            [](RestorableStore &store) { store.restore({}, absl::Now()); });
    } else if (isConfiguration(change) && trouble != MatrixTrouble::StoreSilent) {
        if (!this->isApplied())
            setUpProblem = "the change was not applied";
    } else {
        absl::SleepFor(std::min(goOnAt - absl::Now(), kNoticeTime));
    }
    this->letCallersGoOn();
    this->deployment.platform().setOrderDelay(absl::ZeroDuration());
    if (trouble == MatrixTrouble::StoreSilent) {
        absl::SleepFor(goOnAt - absl::Now());
        this->storeLink.setFault(LinkFault::None);
    }
    for (std::thread &caller : callers)
        caller.join();
    troubleMaker.join();
    // Requests that silent servers hold may still begin to run.
    absl::SleepFor(changeAt + lengthOf(trouble) + absl::Milliseconds(100) - absl::Now());
    const std::vector<ServerArrival> arrivals = this->deployment.platform().arrivals();
    std::vector<MatrixCellResult> results;
    results.reserve(cells.size());
    for (const MatrixCell &cell : cells)
        results.push_back({cell, {}, changeAt, {}});
    for (MatrixOutcome &outcome : this->outcomes) {
        this->completeFromServers(outcome, arrivals);
        std::size_t number = 0;
        while (number < cells.size() && !(outcome.cell == cells[number]))
            ++number;
        // The stream before a pipelined request counts for the cell of that request.
        if (number == cells.size()) {
            MatrixCell own = outcome.cell;
            own.step = MatrixStep::PipelinedBehindAStream;
            number = static_cast<std::size_t>(std::find(cells.begin(), cells.end(), own)
                                              - cells.begin());
        }
        if (!outcome.isNext && outcome.cell == cells.at(number)) {
            for (const ServerArrival &arrival : arrivals) {
                if (arrival.callId == outcome.callId)
                    results.at(number).arrivals.push_back(arrival.at);
            }
        }
        for (const std::string &problem : judge(outcome))
            results.at(number).problems.push_back(
                absl::StrCat(outcome.isNext ? "next request: " : "", nameOf(outcome.kind), " ",
                             outcome.callId, " ", problem));
    }
    this->isWarm = trouble != MatrixTrouble::CrashingCall && trouble != MatrixTrouble::ServerLeaving
        && change != MatrixChange::PlannedStop && change != MatrixChange::ServersReplaced;
    this->endTrouble(trouble);
    if (!this->revert(change))
        setUpProblem = "the gateway did not return to its first configuration";
    if (!setUpProblem.empty()) {
        for (MatrixCellResult &result : results)
            result.problems.push_back(setUpProblem);
    }
    return results;
}

} // namespace foxtailtally
