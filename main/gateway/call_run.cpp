#include "main/gateway/call_run.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "main/gateway/call_log.h"
#include "main/gateway/server_evidence.h"
#include "main/gateway/service_planner.h"
#include "servers/placement/prefill_cost.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

/** A stream without events is checked this long after the planned time, and again at the interval.
 */
constexpr absl::Duration kStreamProgressSlack = absl::Milliseconds(600);
constexpr absl::Duration kStreamRecheckInterval = absl::Milliseconds(250);

/** A server from which no stream has received a byte for this long, and for this multiple of a
 * planned pass, counts as silent. Engines that have lost a helper stall for 1.5 s. */
constexpr absl::Duration kServerSilenceTimeout = absl::Milliseconds(1000);
constexpr double kSilentPassFactor = 2.0;

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

/** Largest response that is buffered until it is complete, and the total of all buffered ones; the
 * smallest instances have 160 MB of memory. */
constexpr std::size_t kMaxBufferedReplyBytes = std::size_t {8} << 20;
constexpr std::size_t kMaxBufferedReplyBytesTotal = std::size_t {48} << 20;

/** Time after which a caller may retry a service without a free server. The jitter keeps refused
 * callers from returning together. */
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(250);
constexpr absl::Duration kRetryAfterJitter = absl::Milliseconds(750);

/** Comments and blank lines before the first event of a stream that are forwarded with it. */
constexpr std::size_t kMaxPreambleBytes = std::size_t {4} << 10;

constexpr int kStatusOk = 200;

/** A request body with the memory that it takes. */
struct HeldBody
{
    std::string text;
    std::unique_ptr<BodyClaim> claim;
};

void countPromptList(GatewayContext &context, const platform::PromptParts &prompt)
{
    const auto count = [&context](std::string_view fault) {
        context.metrics.counter("foxtailtally_prompt_lists_total", {{"fault", fault}}).add();
    };
    if (prompt.isMalformed)
        count("malformed");
    if (prompt.isTruncated)
        count("truncated");
}

/** Whether the plan of @p decision has no engine that is known to be unreachable. */
bool areReachable(const Reachability &reachability, const StreamDecision &decision)
{
    const auto isReachable = [&](std::size_t engine) {
        return reachability.isReachable(decision.candidates[engine].server,
                                        decision.servers[engine]->entry.domain);
    };
    return isReachable(decision.plan.server)
        && std::all_of(decision.plan.helpers.begin(), decision.plan.helpers.end(), isReachable);
}

} // namespace

CallRun::CallRun(GatewayContext &context, InboundConnection &caller, AdmittedCall call)
    : context(context)
    , caller(&caller)
    , call(std::move(call))
    , deadlineTimer(context.base, [this] { this->onDeadline(); })
    , checkTimer(context.base, [this] { this->onCheckTimer(); })
    , relay(this->call.headers.lastEventId)
{
    this->deadlineTimer.start(this->call.answerBy - this->call.receivedAt);
}

CallRun::~CallRun()
{
    this->context.bufferedReplyBytes -= this->bufferedBytes;
}

void CallRun::start(std::unique_ptr<BodyClaim> claim, absl::Time now)
{
    this->hasStarted = true;
    const auto held =
        std::make_shared<HeldBody>(HeldBody {this->caller->takeBody(), std::move(claim)});
    this->body = std::shared_ptr<const std::string>(held, &held->text);
    // The body may have taken until late in a stop.
    if (!this->context.stop.mayTakeRequests(now)) {
        this->refuseForStop();
        return;
    }
    this->suspicion.emplace(this->context, this->call.headers.callId,
                            CallContent {this->call.customer, this->caller->head().path,
                                         *this->body, this->call.headers.prompt.sharedParts});
    this->service = std::string(targetService(*this->call.route, this->call.headers.callId));
    this->context.retries.onCall(this->service, now);
    countPromptList(this->context, this->call.headers.prompt);
    if (this->suspicion->isQuarantined(now)) {
        this->refuseQuarantined(now);
        return;
    }
    if (!this->dispatch(now))
        this->refuse("no_server", now);
}

void CallRun::refuseBody(int status, std::string_view cause)
{
    if (!this->done)
        this->sendLocalReply(status, cause, true);
}

void CallRun::advanceDeadline(absl::Time time, absl::Time now)
{
    if (this->done || time >= this->call.answerBy)
        return;
    this->call.answerBy = time;
    this->deadlineTimer.start(time - now);
}

void CallRun::onCallerGone()
{
    if (this->done)
        return;
    this->caller = nullptr;
    this->finish("caller_gone", 0);
}

void CallRun::onCallerWritable()
{
    if (!this->isReadingPaused)
        return;
    this->isReadingPaused = false;
    for (const auto &attempt : this->attempts)
        attempt.call->pauseReading(false);
}

bool CallRun::isStopTooNear(absl::Time now) const
{
    // A response that has begun is completed here if it can be: no other instance could.
    if (!this->context.stop.isStopping() || this->hasAnswerBegun)
        return false;
    CallDemand demand;
    demand.route = this->call.route;
    demand.service = this->call.config->findService(this->service);
    demand.promptTokens = this->call.headers.promptTokens;
    demand.answerTokens = this->call.headers.maxAnswerTokens;
    return !this->context.stop.maySend(expectedCallTime(demand), now);
}

bool CallRun::dispatch(absl::Time now)
{
    const Service *found = this->call.config->findService(this->service);
    if (!found || this->isStopTooNear(now))
        return false;
    const SuspectPlacement restrictions =
        this->suspicion->restrictions(this->service, this->tried, now);
    if (restrictions.mustWait) {
        this->isWaiting = true;
        this->checkTimer.start(kReplanInterval);
        return true;
    }
    if (restrictions.avoided.size() > restrictions.forbidden.size()
        && this->dispatchTo(*found, this->excludedServers(restrictions.avoided), now))
        return true;
    return this->dispatchTo(*found, this->excludedServers(restrictions.forbidden), now)
        || this->waitForPauseEnd(now);
}

bool CallRun::waitForPauseEnd(absl::Time now)
{
    const std::optional<absl::Time> reopensAt =
        this->context.directory.pausedUntil(this->service, now);
    const absl::Duration left = this->call.receivedAt + this->call.route->objective - now;
    if (!reopensAt || *reopensAt - now > left * kMaxTokenWaitShare)
        return false;
    this->isWaiting = true;
    this->checkTimer.start(*reopensAt - now);
    return true;
}

bool CallRun::waitForReturn(absl::Time now)
{
    if (this->demand(now).callerTimeLeft <= kReconnectInterval)
        return false;
    this->isWaiting = true;
    this->checkTimer.start(kReconnectInterval);
    return true;
}

void CallRun::refuse(std::string_view cause, absl::Time now)
{
    if (this->isStopTooNear(now)) {
        this->refuseForStop();
        return;
    }
    const std::optional<absl::Time> reopensAt =
        this->context.directory.pausedUntil(this->service, now);
    const double callsPerSecond = this->context.retries.callsPerSecond(this->service, now);
    if (reopensAt) {
        this->sendLocalReply(503, "servers_paused", true,
                             this->spacedRetryAfter(*reopensAt, callsPerSecond, now));
        return;
    }
    const std::optional<TokenForecast> tokens = this->context.limits.forecast(this->service, now);
    if (!tokens) {
        const bool isDraining = this->context.directory.areAllDraining(this->service);
        this->sendLocalReply(503, isDraining ? "servers_draining" : cause, true);
        return;
    }
    const double ownShare =
        tokens->perSecond / static_cast<double>(this->context.exchange.instanceCount());
    const absl::Duration retryAfter =
        this->spacedRetryAfter(tokens->firstAt, std::min(callsPerSecond, ownShare), now);
    logRateLimitRefusal(this->call.headers.callId, this->service, *tokens, retryAfter, now);
    this->sendLocalReply(503, "rate_limited", true, retryAfter);
}

absl::Duration CallRun::spacedRetryAfter(absl::Time reopensAt, double callsPerSecond,
                                         absl::Time now)
{
    RefusedCall refused;
    refused.service = this->service;
    refused.reopensAt = reopensAt;
    refused.usefulUntil = this->call.answerBy;
    refused.callsPerSecond = callsPerSecond;
    return this->context.retryAfterPolicy.retryAfter(refused, now);
}

std::vector<ServerKey> CallRun::excludedServers(std::span<const ServerKey> others) const
{
    std::vector<ServerKey> excluded = this->tried;
    excluded.insert(excluded.end(), this->deniedServers.begin(), this->deniedServers.end());
    excluded.insert(excluded.end(), others.begin(), others.end());
    return excluded;
}

bool CallRun::dispatchTo(const Service &service, std::span<const ServerKey> excluded,
                         absl::Time now)
{
    if (service.isEngine && this->isStream())
        return this->dispatchStream(service, excluded, now);
    return this->dispatchPlain(service, excluded, now);
}

StreamDemand CallRun::demand(absl::Time now)
{
    StreamDemand demand;
    demand.promptTokens = this->call.headers.promptTokens;
    demand.answerTokens = this->call.headers.maxAnswerTokens;
    demand.firstEventDue = this->call.receivedAt + this->call.route->objective - now;
    demand.objective = this->call.route->objective;
    demand.eventGapObjective = this->call.route->eventGapObjective;
    const absl::Time lastProgressAt = std::max(this->call.receivedAt, this->lastEventAt);
    // A crash also stalls the work of the engines that help.
    demand.usesFewestEngines = !this->suspicion->suspectParts(now).empty();
    demand.callerTimeLeft =
        std::min(this->call.answerBy, lastProgressAt + this->call.route->streamIdleTimeout()) - now;
    return demand;
}

bool CallRun::dispatchStream(const Service &service, std::span<const ServerKey> excluded,
                             absl::Time now)
{
    const StreamDecision decision =
        StreamPlanner(this->context).decide(service, this->demand(now), excluded, now);
    this->lastPlan = decision.plan;
    // Completing a response that has begun outweighs any harm to others, and its caller is waiting.
    const bool mustPlace = this->hasAnswerBegun && decision.hasPlan;
    if (!mustPlace && decision.kind == StreamDecision::Kind::Wait) {
        this->isWaiting = true;
        this->checkTimer.start(kReplanInterval);
        return true;
    }
    if (!mustPlace && decision.kind != StreamDecision::Kind::Place)
        return false;
    if (!this->claimTokens(decision, now))
        this->place(decision, now);
    return true;
}

void CallRun::place(const StreamDecision &decision, absl::Time now)
{
    this->dropPlacement();
    this->usesUnreachableEngine = !areReachable(this->context.reachability, decision);
    PlacedStreamEvents &events = *this;
    this->placement =
        std::make_unique<PlacedStream>(this->context, this->call.headers.callId, events);
    this->placement->place(decision, this->demand(now), this->hasAnswerBegun, now);
}

void CallRun::dropPlacement()
{
    this->retirePlacement(std::move(this->placement));
}

void CallRun::retirePlacement(std::unique_ptr<PlacedStream> dropped)
{
    if (!dropped)
        return;
    dropped->drop();
    this->context.retired.push_back(std::move(dropped));
}

float CallRun::worth() const
{
    const float value = this->isStream()
        ? static_cast<float>(streamValue(this->call.headers.promptTokens))
        : kPlainCallWorth;
    return this->hasAnswerBegun ? value + kBegunResponseWorth : value;
}

absl::Duration CallRun::tokenPatience(absl::Time now)
{
    if (this->hasAnswerBegun)
        return this->demand(now).callerTimeLeft * kMaxTokenWaitShare;
    const absl::Duration objective = this->call.route->objective;
    return foxtailtally::tokenPatience(this->call.receivedAt + objective - now, objective);
}

bool CallRun::claimTokens(const StreamDecision &decision, absl::Time now)
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

bool CallRun::claimTokens(const ServiceChoice &choice, absl::Time now)
{
    if (choice.limited.empty())
        return false;
    TokenWaitEvents &events = *this;
    this->tokens = std::make_unique<TokenWait>(this->context, std::span(&choice.limited, 1),
                                               this->worth(), this->tokenPatience(now), events);
    return true;
}

void CallRun::onTokensGranted(absl::Time now)
{
    if (this->done)
        return;
    if (!this->suspicion->isQuarantined(now) && this->dispatchWithTokens(now))
        return;
    this->onTokensDenied(now);
}

void CallRun::onTokensDenied(absl::Time now)
{
    if (this->done)
        return;
    const std::vector<ServerKey> claimed = this->tokens->claimed();
    this->deniedServers.insert(this->deniedServers.end(), claimed.begin(), claimed.end());
    this->dropTokens(now);
    if (!this->attempts.empty()) {
        ++this->migrationRejections;
        this->checkTimer.start(kStreamRecheckInterval);
        return;
    }
    if (++this->tokenDenials > kMaxTokenDenials || this->suspicion->isQuarantined(now)
        || !this->dispatch(now))
        this->finishWith(fallbackStep(AttemptEnd::NotPermitted, this->progress(now)), now);
}

bool CallRun::dispatchWithTokens(absl::Time now)
{
    const std::vector<ServerKey> granted = this->tokens->granted();
    const Service *found = this->call.config->findService(this->service);
    if (!found)
        return false;
    if (!found->isEngine || !this->isStream()) {
        const ServerDirectory::Server *server = this->context.directory.findByKey(granted.front());
        if (!server)
            return false;
        this->sendPlain(*server, now);
        return true;
    }
    std::vector<ServerKey> engines = this->unlimitedEngines;
    engines.insert(engines.end(), granted.begin(), granted.end());
    const StreamDecision decision =
        StreamPlanner(this->context).decideAmong(*found, this->demand(now), engines, now);
    this->lastPlan = decision.plan;
    const bool mustPlace = this->hasAnswerBegun && decision.hasPlan;
    if (!mustPlace && decision.kind != StreamDecision::Kind::Place)
        return false;
    this->place(decision, now);
    return true;
}

void CallRun::dropTokens(absl::Time now)
{
    if (!this->tokens)
        return;
    this->tokens->release(now);
    this->context.retired.push_back(std::move(this->tokens));
}

bool CallRun::mayWrite(ServerCall &call, absl::Time now)
{
    const AttemptTarget &target = call.target();
    if (!this->context.directory.isUsable(target.id, target.incarnation, now)
        || this->isStopTooNear(now))
        return false;
    std::vector<ServerKey> servers = {target.key};
    if (const Attempt *attempt = this->findAttempt(call); attempt && attempt->placement) {
        if (!attempt->placement->isValid(now))
            return false;
        const std::span<const ServerKey> helpers = attempt->placement->helperKeys();
        servers.insert(servers.end(), helpers.begin(), helpers.end());
    }
    return std::all_of(servers.begin(), servers.end(), [this, now](ServerKey server) {
        return !this->context.limits.isLimited(server)
            || (this->tokens && this->tokens->spend(server, now));
    });
}

void CallRun::onPlacementReady(absl::Time now)
{
    if (this->done)
        return;
    if (this->suspicion->isQuarantined(now) || !this->placement->isValid(now)) {
        this->retryPlacement(false, now);
        return;
    }
    for (const ServerKey helper : this->placement->helperKeys())
        this->context.activity[helper].sent.add(RequestKind::PrefillPart, now);
    const double predictedMs = this->placement->plan().predictedFirstEventMs;
    this->sendTo(this->placement->server(), this->placement->helpers(), now);
    const absl::Duration firstCheck = this->attempts.back().placement->holdsMemory()
        ? Reachability::kNeededProbeInterval
        : kServerSilenceTimeout;
    const absl::Duration progressCheck =
        std::min(firstCheck, absl::Milliseconds(predictedMs) + kStreamProgressSlack);
    this->checkTimer.start(this->attempts.size() > 1 ? kStreamRecheckInterval : progressCheck);
}

void CallRun::onPlacementFailed(std::span<const ServerKey> engines, absl::Time now)
{
    if (this->done)
        return;
    bool foundUnreachable = false;
    for (const ServerKey engine : engines) {
        // Plans avoid an unreachable engine until it accepts a connection, and may use it then.
        const bool isUnreachable = this->context.reachability.hasFailed(engine);
        foundUnreachable = foundUnreachable || (isUnreachable && !this->usesUnreachableEngine);
        if (!isUnreachable && !this->isPaused(engine, now))
            this->tried.push_back(engine);
    }
    this->retryPlacement(foundUnreachable, now);
}

bool CallRun::isPaused(ServerKey server, absl::Time now) const
{
    return this->context.directory.backpressure().pausedUntil(server) > now;
}

void CallRun::retryPlacement(bool foundUnreachable, absl::Time now)
{
    this->dropPlacement();
    this->dropTokens(now);
    if (!this->attempts.empty()) {
        ++this->migrationRejections;
        this->checkTimer.start(kStreamRecheckInterval);
        return;
    }
    if (!foundUnreachable)
        ++this->rejections;
    const bool isQuarantined = this->suspicion->isQuarantined(now);
    if (this->rejections <= kMaxRejections && !isQuarantined && this->dispatch(now))
        return;
    const bool isUnreachable = foundUnreachable || this->usesUnreachableEngine;
    if (this->hasAnswerBegun && isUnreachable && !isQuarantined && this->waitForReturn(now))
        return;
    this->finishWith(fallbackStep(AttemptEnd::NotSent, this->progress(now)), now);
}

bool CallRun::dispatchPlain(const Service &service, std::span<const ServerKey> excluded,
                            absl::Time now)
{
    const ServiceChoice choice =
        ServicePlanner(this->context).choose(service, excluded, this->tokenPatience(now), now);
    if (!choice.server)
        return false;
    if (!this->claimTokens(choice, now))
        this->sendPlain(*choice.server, now);
    return true;
}

void CallRun::sendPlain(const ServerDirectory::Server &server, absl::Time now)
{
    this->sendTo(server.entry, {}, now);
    if (this->call.route->kind == CallKind::Idempotent && this->attempts.size() == 1) {
        this->checkTimer.start(
            hedgeDelay(this->context.health.latency(server.key), this->call.route->objective));
    }
}

void CallRun::sendTo(const ServerEntry &server, std::vector<platform::PrefillHelper> helpers,
                     absl::Time now)
{
    AttemptTarget target;
    target.id = server.id;
    target.incarnation = server.incarnation;
    target.key = serverKey(server.id, server.incarnation);
    target.address = server.address;
    target.domain = server.domain;
    target.suspicion = this->suspicion->nextRun(now);
    target.suspectParts = this->suspicion->suspectParts(now);
    this->tried.push_back(target.key);
    ++this->attemptsSent;
    platform::ForwardedCall forwarded;
    forwarded.server = target.id;
    forwarded.deadline = this->call.answerBy - now;
    forwarded.customer = this->call.customer;
    forwarded.lastEventId = this->relay.lastEventId();
    forwarded.helpers = std::move(helpers);
    this->dispatchDelay = now - this->call.receivedAt;
    ServerCallEvents &events = *this;
    Attempt &attempt = this->attempts.emplace_back();
    attempt.placement = std::move(this->placement);
    attempt.run = this->relay.beginRun(this->attempts.size() > 1);
    attempt.usedRetryGrant = std::exchange(this->hasRetryGrant, false);
    attempt.wasUnreachable = !this->context.reachability.isReachable(target.key, target.domain);
    attempt.call = std::make_unique<ServerCall>(this->context, std::move(target), events);
    const RequestHead &head = this->caller->head();
    attempt.call->send(
        {platform::encodeForwardedCall(head, this->body->size(), forwarded), this->body},
        head.method == "HEAD", this->call.headers.callId, !this->call.route->isRepeatable(), now);
}

void CallRun::onReply(ServerCall &call, const ResponseHead &head,
                      const platform::ServerReply &reply)
{
    Attempt *attempt = this->findAttempt(call);
    attempt->isRelaying = head.status == kStatusOk && reply.isEventStream && this->isStream();
    attempt->reply = head;
}

void CallRun::onReplyBody(ServerCall &call, std::string_view data)
{
    Attempt *attempt = this->findAttempt(call);
    if (attempt->isRelaying) {
        this->relayEvents(*attempt, data, Clock::now());
        return;
    }
    const bool fits = attempt->body.size() + data.size() <= kMaxBufferedReplyBytes
        && this->context.bufferedReplyBytes + data.size() <= kMaxBufferedReplyBytesTotal;
    if (!fits) {
        // A truncated body must not be forwarded as a complete one.
        call.cancel();
        this->onAttemptEnded(call, AttemptEnd::Lost);
        return;
    }
    attempt->body.append(data);
    this->context.bufferedReplyBytes += data.size();
    this->bufferedBytes += data.size();
}

void CallRun::relayEvents(Attempt &attempt, std::string_view data, absl::Time now)
{
    ServerCall &call = *attempt.call;
    const Result<std::string> events = this->relay.feed(attempt.run, data);
    if (!events.ok()) {
        call.cancel();
        this->onAttemptEnded(call, AttemptEnd::Lost);
        return;
    }
    if (events->empty())
        return;
    if (this->relay.hasAdvanced()) {
        if (attempt.firstEventAt == absl::InfiniteFuture()) {
            attempt.firstEventAt = now;
            attempt.firstEventSince = this->context.inputSince(now);
        }
        if (!attempt.hasSurvived && now - attempt.firstEventAt > kCrashDelay) {
            attempt.hasSurvived = true;
            call.clearSuspicion();
            this->suspicion->onSurvived(attempt.firstEventSince, now);
        }
        this->onStreamEvent(attempt, now);
    }
    // Comments are no answer: the call may still be sent elsewhere or refused.
    if (!this->hasAnswerBegun && !this->relay.hasForwardedEvent()) {
        if (attempt.preamble.size() + events->size() <= kMaxPreambleBytes)
            attempt.preamble += *events;
        return;
    }
    if (!this->hasAnswerBegun)
        this->beginStream(attempt);
    this->caller->sendChunk(*events);
    if (this->caller->isCongested()) {
        this->isReadingPaused = true;
        call.pauseReading(true);
    }
    if (!this->relay.hasAdvanced())
        return;
    attempt.replacedFor.reset();
    attempt.wasRetryDenied = false;
    if (this->isPreparing()) {
        this->dropPlacement();
        this->dropTokens(now);
    }
    this->endOtherAttempts(call);
}

void CallRun::beginStream(const Attempt &attempt)
{
    this->hasAnswerBegun = true;
    this->caller->startStream(attempt.reply.status, platform::callerHeaders(attempt.reply.headers));
    this->caller->sendChunk(attempt.preamble);
}

void CallRun::endOtherAttempts(const ServerCall &winner)
{
    std::vector<ServerCall *> others;
    for (const Attempt &attempt : this->attempts) {
        if (attempt.call.get() != &winner)
            others.push_back(attempt.call.get());
    }
    for (ServerCall *other : others) {
        const AttemptEnd end =
            this->findAttempt(*other)->replacedFor.value_or(AttemptEnd::Superseded);
        other->cancel();
        this->onAttemptEnded(*other, end);
    }
}

void CallRun::onStreamEvent(Attempt &attempt, absl::Time now)
{
    const ServerCall &call = *attempt.call;
    this->context.health.onOutcome(call.target().key, ServerHealth::Outcome::Answered, now);
    if (this->firstEventAt == absl::InfinitePast()) {
        this->firstEventAt = now;
        if (attempt.placement && now > this->call.receivedAt + this->call.route->objective)
            attempt.placement->onLate();
    }
    const bool isFirstOfAttempt = this->lastEventAt < call.sentAt();
    if (isFirstOfAttempt && attempt.placement)
        attempt.placement->onFirstEvent();
    if (!isFirstOfAttempt) {
        const absl::Duration gap = now - this->lastEventAt;
        this->longestGap = std::max(this->longestGap, gap);
        if (attempt.placement && gap > this->call.route->eventGapObjective)
            attempt.placement->onLate();
        const Service *engine = this->call.config->findService(this->service);
        if (engine)
            recordEventGap(this->context, call.target().key, engine->engine,
                           this->call.headers.promptTokens, gap, now);
    }
    this->lastEventAt = now;
    const absl::Duration overdue = this->call.route->eventGapObjective * 2 + kStreamProgressSlack;
    const bool holdsMemory = attempt.placement && attempt.placement->holdsMemory();
    this->checkTimer.start(holdsMemory ? std::min(Reachability::kNeededProbeInterval, overdue)
                                       : overdue);
}

void CallRun::onReplyComplete(ServerCall &call)
{
    const absl::Time now = Clock::now();
    std::optional<Attempt> finished = this->takeAttempt(call);
    const ServerKey server = call.target().key;
    const absl::Duration latency = now - call.sentAt();
    // Destroyed later: this function runs in one of its callbacks.
    this->context.retired.push_back(std::move(finished->call));
    this->retirePlacement(std::move(finished->placement));
    ++this->runs;
    // While another attempt goes on, only an event shows that this one has continued the stream.
    const bool hasContinued =
        this->attempts.empty() || finished->firstEventAt != absl::InfiniteFuture();
    // The end of a response without a length may also be that of its server.
    const bool hasSurvived = finished->reply.isFramed || now - finished->firstEventAt > kCrashDelay;
    if (finished->isRelaying && hasContinued
        && this->relay.isComplete(finished->run, finished->reply.isFramed)) {
        if (hasSurvived) {
            this->suspicion->onServed(now);
            this->suspicion->onSurvived(
                std::min(finished->firstEventSince, this->context.inputSince(now)), now);
        }
        if (!this->hasAnswerBegun)
            this->beginStream(*finished);
        this->caller->finishStream();
        this->finish("served", finished->reply.status);
        return;
    }
    if (finished->isRelaying || this->hasAnswerBegun) {
        if (finished->isRelaying && !hasSurvived)
            this->suspicion->onLoss(call.target(), this->crashEvidence(call, *finished, true, now),
                                    now);
        this->afterAttempt(AttemptEnd::Lost, now);
        return;
    }
    this->reply = std::move(finished->reply);
    this->replyBody = std::move(finished->body);
    const bool isStreamElsewhere = this->isStream() && !this->attempts.empty();
    if (this->reply.status >= 500 || isStreamElsewhere) {
        this->context.health.onOutcome(server, ServerHealth::Outcome::Failed, now);
        this->afterAttempt(AttemptEnd::ServerFailed, now);
        return;
    }
    this->context.health.onOutcome(server, ServerHealth::Outcome::Answered, now);
    this->context.health.onLatency(server, latency, now);
    if (this->reply.status < 400) {
        this->suspicion->onServed(now);
        this->suspicion->onSurvived(this->context.inputSince(now), now);
    }
    this->forwardStoredReply();
}

void CallRun::forwardStoredReply()
{
    const int status = this->reply.status;
    // These statuses tell the caller that the call has not run, which the server has not confirmed.
    const bool promisesNotRun = status == 408 || status == 421 || status == 429 || status == 503;
    if (promisesNotRun) {
        this->sendLocalReply(502, "server_failed", false);
        return;
    }
    this->caller->answer(status, platform::callerHeaders(this->reply.headers), this->replyBody);
    this->finish(status < 400 ? "served" : "server_failure", status);
}

void CallRun::onAttemptEnded(ServerCall &call, AttemptEnd end)
{
    const absl::Time now = Clock::now();
    std::optional<Attempt> ended = this->takeAttempt(call);
    const bool isBroken = end == AttemptEnd::Lost && call.failure() == Error::ConnectionLost;
    const AttemptTarget &target = call.target();
    // An unreachable server is probed until it is heard.
    const bool isSilent = end == AttemptEnd::Silent
        && !this->context.reachability.isReachable(target.key, target.domain);
    if (isSilent || (isBroken && call.connectionEnd() == ConnectionEnd::TimedOut))
        this->suspicion->onLoss(target, this->silenceEvidence(call, *ended, now), now);
    else
        this->suspicion->onLoss(target, this->crashEvidence(call, *ended, isBroken, now), now);
    this->context.retired.push_back(std::move(ended->call));
    this->retirePlacement(std::move(ended->placement));
    const bool wasUnsent = end == AttemptEnd::NotSent || end == AttemptEnd::NotPermitted
        || (end == AttemptEnd::Superseded && !call.wasWritten());
    this->hasRetryGrant = this->hasRetryGrant || (wasUnsent && ended->usedRetryGrant);
    // The next choice avoids this server until it accepts a connection.
    const bool foundUnreachable = end == AttemptEnd::NotSent && !ended->wasUnreachable;
    if (!wasUnsent && end != AttemptEnd::Rejected)
        ++this->runs;
    else if (this->isStream() && !this->attempts.empty())
        ++this->migrationRejections;
    else if (!foundUnreachable)
        ++this->rejections;
    // Silence was recorded when the stream was also sent to another server.
    if (end != ended->replacedFor)
        recordAttemptEnd(this->context, call, end, now);
    const bool mayTakeItLater = end == AttemptEnd::NotSent
        || (end == AttemptEnd::Rejected && this->isPaused(target.key, now));
    if (mayTakeItLater)
        std::erase(this->tried, target.key);
    AttemptRecord record;
    record.callId = this->call.headers.callId;
    record.fingerprint = this->suspicion->fingerprint();
    record.sharedParts = this->call.headers.prompt.sharedParts;
    record.runs = this->runs;
    record.rejections = this->rejections;
    record.hadEvent = this->lastEventAt >= call.sentAt();
    logAttemptEnd(this->context, call, end, record, now);
    this->afterAttempt(end, now);
}

void CallRun::afterAttempt(AttemptEnd end, absl::Time now)
{
    if (!this->attempts.empty() || this->isPreparing()) {
        if (this->isStream())
            this->checkTimer.start(kStreamRecheckInterval);
        return;
    }
    this->dropTokens(now);
    const CallProgress state = this->progress(now);
    NextStep step = nextStep(end, state);
    const bool isUnreachable = end == AttemptEnd::NotSent && !state.isQuarantined;
    if (step == NextStep::BreakOff && isUnreachable && this->waitForReturn(now))
        return;
    if (step == NextStep::TryElsewhere) {
        const bool isRetry = end != AttemptEnd::NotSent && end != AttemptEnd::NotPermitted;
        const bool allowed = !isRetry || this->takeRetry(now);
        if (allowed && this->dispatch(now))
            return;
        logNotRetried(this->context, this->call.headers.callId, end,
                      allowed ? "no_server" : "retry_budget");
        step = fallbackStep(end, state);
    } else {
        logNotRetried(this->context, this->call.headers.callId, end,
                      state.isQuarantined ? "quarantined" : "attempts_used");
    }
    this->finishWith(step, now);
}

void CallRun::finishWith(NextStep step, absl::Time now)
{
    switch (step) {
    case NextStep::TryElsewhere:
    case NextStep::AnswerNotRun:
        if (this->suspicion->isQuarantined(now))
            this->refuseQuarantined(now);
        else
            this->refuse("rejected", now);
        return;
    case NextStep::PassServerFailure:
        this->forwardStoredReply();
        return;
    case NextStep::AnswerOutcomeUnknown:
        if (this->reply.status != 0)
            this->forwardStoredReply();
        else
            this->sendLocalReply(502, "server_lost", false);
        return;
    case NextStep::BreakOff:
        this->finish("broken_off", 0);
        this->caller->abort();
        return;
    }
}

void CallRun::refuseForStop()
{
    this->sendLocalReply(503, "stopping", true, StopPolicy::kRetryAfter);
}

void CallRun::refuseQuarantined(absl::Time now)
{
    this->suspicion->logQuarantine(now);
    this->sendLocalReply(503, "quarantined", true, this->suspicion->quarantineLeft(now));
}

CrashEvidence CallRun::crashEvidence(const ServerCall &call, const Attempt &attempt,
                                     bool isConnectionBroken, absl::Time now) const
{
    CrashEvidence evidence;
    evidence.isConnectionBroken = isConnectionBroken;
    evidence.hasAnswerBegun = !this->isStream() && attempt.reply.status != 0;
    evidence.streamingFor = std::max(absl::ZeroDuration(), now - attempt.firstEventAt);
    const AttemptTarget &target = call.target();
    // A server that loses power resets its connections only when it has returned, or they time out.
    if (!this->context.reachability.isReachable(target.key, target.domain))
        evidence.silentFor = now - this->lastSignAt(call);
    return evidence;
}

CrashEvidence CallRun::silenceEvidence(const ServerCall &call, const Attempt &attempt,
                                       absl::Time now) const
{
    CrashEvidence evidence = this->crashEvidence(call, attempt, true, now);
    evidence.isUnconfirmed = true;
    evidence.silentFor = now - this->lastSignAt(call);
    return evidence;
}

absl::Time CallRun::lastSignAt(const ServerCall &call) const
{
    return std::max(this->context.activity[call.target().key].lastByteAt, call.sentAt());
}

void CallRun::sendLocalReply(int status, std::string_view cause, bool notRun)
{
    std::optional<absl::Duration> retryAfter;
    if (notRun)
        retryAfter = kMinRetryAfter + kRetryAfterJitter * this->context.random.uniform();
    this->sendLocalReply(status, cause, notRun, retryAfter);
}

void CallRun::sendLocalReply(int status, std::string_view cause, bool notRun,
                             std::optional<absl::Duration> retryAfter)
{
    const nlohmann::json body = {{"error", cause}, {"not_run", notRun}};
    this->caller->answer(status, platform::localReplyHeaders(this->call.headers.callId, retryAfter),
                         body.dump());
    this->finish(cause, status);
}

void CallRun::finish(std::string_view outcome, int status)
{
    if (this->done)
        return;
    this->done = true;
    const absl::Time now = Clock::now();
    this->deadlineTimer.stop();
    this->checkTimer.stop();
    std::string server;
    if (!this->attempts.empty())
        server = this->attempts.back().call->target().id.str();
    this->cancelAttempts(now);
    this->dropPlacement();
    this->dropTokens(now);
    this->body.reset();
    const bool hadEvent = this->firstEventAt != absl::InfinitePast();
    this->context.metrics.counter("foxtailtally_calls_total", {{"outcome", outcome}}).add();
    this->context.metrics.distribution("foxtailtally_call_seconds", {{"outcome", outcome}})
        .observe(now - this->call.receivedAt);
    logEvent(
        LogLevel::Info, "call_done",
        {{"request", this->call.headers.callId},
         {"route", this->call.route->name},
         {"service", this->service},
         {"server", server},
         {"outcome", outcome},
         {"status", status},
         {"arrivals", this->attemptsSent},
         {"runs", this->runs},
         {"prompt", this->call.headers.promptTokens},
         {"helpers", this->lastPlan.helpers.size()},
         {"harm", static_cast<int>(this->lastPlan.harm * 100)},
         {"waited_ms", absl::ToInt64Milliseconds(this->dispatchDelay)},
         {"planned_ms", static_cast<int>(this->lastPlan.predictedFirstEventMs)},
         {"first_ms",
          hadEvent ? absl::ToInt64Milliseconds(this->firstEventAt - this->call.receivedAt) : -1},
         {"pause_ms", absl::ToInt64Milliseconds(this->longestGap)},
         {"total_ms", absl::ToInt64Milliseconds(now - this->call.receivedAt)},
         {"objective_ms", absl::ToInt64Milliseconds(this->call.route->objective)},
         {"timeout_ms", absl::ToInt64Milliseconds(this->call.route->timeout)},
         {"allowed_ms", absl::ToInt64Milliseconds(this->call.answerBy - this->call.receivedAt)},
         {"config", this->call.config->version()}});
}

void CallRun::onDeadline()
{
    if (this->done)
        return;
    if (this->hasAnswerBegun) {
        this->finish("timed_out_streaming", 0);
        this->caller->abort();
        return;
    }
    const bool notRun = this->runs == 0 && this->attempts.empty();
    const bool isStopped = this->call.answerBy >= this->context.stop.answersBy();
    if (isStopped && notRun)
        this->refuseForStop();
    else if (isStopped)
        this->sendLocalReply(504, "stopping", false);
    else if (!this->hasStarted)
        this->sendLocalReply(408, "body_timed_out", true);
    else
        this->sendLocalReply(notRun ? 503 : 504, "timed_out", notRun);
}

void CallRun::onCheckTimer()
{
    if (this->done)
        return;
    const absl::Time now = Clock::now();
    if (this->isWaiting) {
        this->isWaiting = false;
        if (this->suspicion->isQuarantined(now) || !this->dispatch(now))
            this->finishWith(fallbackStep(AttemptEnd::NotSent, this->progress(now)), now);
        return;
    }
    if (this->attempts.empty())
        return;
    if (this->isStream())
        this->checkStreamProgress(now);
    else
        this->hedge(now);
}

void CallRun::checkStreamProgress(absl::Time now)
{
    for (Attempt &attempt : this->attempts) {
        if (!shouldAbandon(this->migrationEvidence(attempt, now)))
            continue;
        ServerCall &call = *attempt.call;
        call.cancel();
        this->onAttemptEnded(call, AttemptEnd::Silent);
        return;
    }
    // The timer is started first: the placement of the second attempt may start it again.
    this->checkTimer.start(kStreamRecheckInterval);
    if (this->attempts.size() == 1 && !this->isPreparing()
        && this->migrationRejections < kMaxRejections)
        this->migrateStream(now);
}

bool CallRun::isPreparing() const
{
    return this->placement || (this->tokens && this->tokens->isPending());
}

bool CallRun::takeRetry(absl::Time now)
{
    const std::size_t instances = this->context.exchange.instanceCount();
    this->hasRetryGrant =
        this->hasRetryGrant || this->context.retries.tryRetry(this->service, instances, now);
    return this->hasRetryGrant;
}

MigrationEvidence CallRun::migrationEvidence(const Attempt &attempt, absl::Time now)
{
    const AttemptTarget &target = attempt.call->target();
    const absl::Time lastProgressAt = std::max(attempt.call->sentAt(), this->lastEventAt);
    MigrationEvidence evidence;
    const absl::Time lastByteAt =
        std::max(lastProgressAt, this->context.activity[target.key].lastByteAt);
    evidence.silentFor = now - lastByteAt;
    evidence.unprovenFor =
        now - std::max(lastByteAt, this->context.reachability.aliveAt(target.key));
    evidence.holdsMemory = attempt.placement && attempt.placement->holdsMemory();
    const bool isNeeded =
        evidence.holdsMemory && evidence.unprovenFor >= Reachability::kNeededProbeInterval;
    if (isNeeded || evidence.silentFor >= kServerSilenceTimeout)
        this->context.reachability.onSilent(target.key, target.domain, isNeeded, now);
    evidence.isRepeatable = this->call.route->isRepeatable() && !this->isReadingPaused;
    evidence.earlierRuns = this->runs;
    evidence.maxRuns = this->call.route->maxAttempts;
    evidence.isOverdue =
        now - lastProgressAt > this->call.route->streamIdleTimeout() * kMigrationTimeoutShare;
    const bool isGone = this->context.reachability.isUnresponsive(target.key)
        || !this->context.directory.findByKey(target.key);
    evidence.isUnresponsive = evidence.silentFor >= kServerSilenceTimeout && isGone;
    evidence.isSilent = (evidence.isOverdue && evidence.silentFor > kServerSilenceTimeout)
        || (evidence.silentFor > kServerSilenceTimeout * 2
            && evidence.silentFor > this->silenceTimeout(attempt, now));
    evidence.hasReplacement = this->attempts.size() > 1 && &attempt == &this->attempts.front();
    return evidence;
}

void CallRun::migrateStream(absl::Time now)
{
    Attempt &attempt = this->attempts.front();
    MigrationEvidence evidence = this->migrationEvidence(attempt, now);
    const Service *found = this->call.config->findService(this->service);
    const bool hasReason = evidence.isSilent || evidence.isUnresponsive || evidence.isOverdue;
    // A second copy of a call that may crash its server could crash another one.
    const bool mayCrashServers = this->suspicion->nextRun(now) != SuspectRun::None;
    if (!found || !hasReason || (mayCrashServers && !evidence.isUnresponsive))
        return;
    const SuspectPlacement restrictions =
        this->suspicion->restrictions(this->service, this->tried, now);
    if (restrictions.mustWait || this->suspicion->isQuarantined(now))
        return;
    const std::vector<ServerKey> excluded = this->excludedServers(restrictions.forbidden);
    const StreamDemand demand = this->demand(now);
    StreamDecision decision;
    ServiceChoice choice;
    if (found->isEngine) {
        decision = StreamPlanner(this->context).decide(*found, demand, excluded, now);
        evidence.hasBetterServer = StreamPlanner::isTimely(decision, demand);
    } else {
        choice =
            ServicePlanner(this->context).choose(*found, excluded, this->tokenPatience(now), now);
        evidence.hasBetterServer = choice.server != nullptr;
    }
    if (!shouldMigrate(evidence))
        return;
    const AttemptEnd reason =
        evidence.isSilent || evidence.isUnresponsive ? AttemptEnd::Silent : AttemptEnd::Overdue;
    if (!this->takeRetry(now)) {
        if (!attempt.wasRetryDenied)
            logNotRetried(this->context, this->call.headers.callId, reason, "retry_budget");
        attempt.wasRetryDenied = true;
        return;
    }
    attempt.replacedFor = reason;
    recordAttemptEnd(this->context, *attempt.call, reason, now);
    this->dropTokens(now);
    if (!found->isEngine) {
        if (!this->claimTokens(choice, now))
            this->sendPlain(*choice.server, now);
        return;
    }
    this->lastPlan = decision.plan;
    if (!this->claimTokens(decision, now))
        this->place(decision, now);
}

absl::Duration CallRun::silenceTimeout(const Attempt &attempt, absl::Time now) const
{
    double planned = attempt.placement ? attempt.placement->plan().predictedFirstEventMs : 0.0;
    if (const Service *engine = this->call.config->findService(this->service))
        planned = std::max(
            planned,
            maxExpectedSilenceMs(this->context, engine->engine, attempt.call->target().key, now));
    return kServerSilenceTimeout * 2 + absl::Milliseconds(planned * kSilentPassFactor);
}

void CallRun::hedge(absl::Time now)
{
    if (this->runs + 1 >= this->call.route->maxAttempts || this->attempts.size() > 1)
        return;
    // A second copy of a call that may crash its server could crash another one.
    if (this->suspicion->nextRun(now) != SuspectRun::None)
        return;
    if (!this->context.retries.tryRetry(this->service, this->context.exchange.instanceCount(), now))
        return;
    // The requests of servers with a rate limit are too scarce for second copies.
    std::vector<ServerKey> limited;
    for (const ServerDirectory::Server *server :
         this->context.directory.usable(this->service, now)) {
        if (this->context.limits.isLimited(server->key))
            limited.push_back(server->key);
    }
    if (const Service *found = this->call.config->findService(this->service))
        this->dispatchTo(*found, this->excludedServers(limited), now);
}

void CallRun::cancelAttempts(absl::Time now)
{
    for (Attempt &attempt : this->attempts) {
        // The caller may give a call up whose server has crashed without closing the connection.
        const ServerCall &ended = *attempt.call;
        const AttemptTarget &target = ended.target();
        if (ended.wasWritten()
            && !this->context.reachability.isReachable(target.key, target.domain))
            this->suspicion->onLoss(target, this->silenceEvidence(ended, attempt, now), now);
        attempt.call->cancel();
        this->context.retired.push_back(std::move(attempt.call));
        this->retirePlacement(std::move(attempt.placement));
    }
    this->attempts.clear();
}

CallRun::Attempt *CallRun::findAttempt(const ServerCall &call)
{
    const auto found =
        std::find_if(this->attempts.begin(), this->attempts.end(),
                     [&call](const Attempt &attempt) { return attempt.call.get() == &call; });
    return found == this->attempts.end() ? nullptr : &*found;
}

std::optional<CallRun::Attempt> CallRun::takeAttempt(const ServerCall &call)
{
    Attempt *found = this->findAttempt(call);
    if (!found)
        return std::nullopt;
    Attempt attempt = std::move(*found);
    this->attempts.erase(this->attempts.begin() + (found - this->attempts.data()));
    return attempt;
}

CallProgress CallRun::progress(absl::Time now)
{
    CallProgress state;
    state.isRepeatable = this->call.route->isRepeatable();
    state.runs = this->runs;
    state.maxRuns = this->call.route->maxAttempts;
    state.rejections = this->rejections;
    state.hasAnswerBegun = this->hasAnswerBegun;
    state.isQuarantined = this->suspicion->isQuarantined(now);
    return state;
}

} // namespace foxtailtally
