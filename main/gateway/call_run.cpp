#include "main/gateway/call_run.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "main/gateway/call_log.h"
#include "main/gateway/server_evidence.h"
#include "main/gateway/service_planner.h"
#include "servers/placement/read_cost.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** A stream without news is looked at after this much more than planned, and then as often. */
constexpr absl::Duration kStreamSlack = absl::Milliseconds(600);
constexpr absl::Duration kStreamRecheck = absl::Milliseconds(250);

/** A server from which no stream has got a byte for this long, and for this multiple of a planned
 * pass, is taken for silent. Engines that lost a helper stall for a second and a half. */
constexpr absl::Duration kServerSilence = absl::Milliseconds(1000);
constexpr double kSilentPasses = 2.0;

/** Part of the time to its objective for which a call waits for servers that have asked for a
 * pause; what is left has to do for the work. */
constexpr double kPauseWaitShare = 0.5;

/** Pause between two looks for a plan that harms no other stream. */
constexpr absl::Duration kWaitStep = absl::Milliseconds(20);

/** Largest answer that is held until it is complete, and all that are held at a time, in bytes; the
 * smallest instances have 160 MB. */
constexpr std::size_t kMaxHeldReply = std::size_t {8} << 20;
constexpr std::size_t kMaxHeldReplies = std::size_t {48} << 20;

/** When a caller may come back to a service without a free server; spread so that refused callers
 * do not return together. */
constexpr absl::Duration kShortestReturn = absl::Milliseconds(250);
constexpr absl::Duration kReturnSpread = absl::Milliseconds(750);

} // namespace

CallRun::CallRun(GatewayContext &context, InboundConnection &caller, AdmittedCall call)
    : context(context)
    , caller(&caller)
    , call(std::move(call))
    , deadlineTimer(context.base, [this] { this->onDeadline(); })
    , watchTimer(context.base, [this] { this->onWatch(); })
    , relay(this->call.headers.lastEventId)
    , place(context, this->call.headers.callId, *this)
{
    this->deadlineTimer.start(this->call.answerBy - this->call.receivedAt);
}

CallRun::~CallRun()
{
    this->context.heldReplyBytes -= this->heldBytes;
    this->place.drop();
}

void CallRun::start(absl::Time now)
{
    this->hasStarted = true;
    this->suspicion.emplace(
        this->context, this->call.headers.callId,
        CallContent {this->call.customer, this->caller->head().path, this->caller->body()});
    this->service = std::string(targetService(*this->call.route, this->call.headers.callId));
    this->context.retries.onCall(this->service, now);
    if (this->suspicion->isQuarantined(now)) {
        this->refuseQuarantined(now);
        return;
    }
    if (!this->dispatch(now))
        this->refuse("no_server", now);
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
    if (!this->isPaused)
        return;
    this->isPaused = false;
    for (const auto &attempt : this->attempts)
        attempt.call->pauseReading(false);
}

bool CallRun::dispatch(absl::Time now)
{
    const Service *found = this->call.config->findService(this->service);
    if (!found)
        return false;
    const SuspectPlacement spread = this->suspicion->spread(this->service, this->tried, now);
    if (spread.mustWait) {
        this->isWaiting = true;
        this->watchTimer.start(kWaitStep);
        return true;
    }
    if (spread.avoided.size() > spread.forbidden.size()
        && this->dispatchTo(*found, this->triedAnd(spread.avoided), now))
        return true;
    return this->dispatchTo(*found, this->triedAnd(spread.forbidden), now)
        || this->waitForPause(now);
}

bool CallRun::waitForPause(absl::Time now)
{
    const std::optional<absl::Time> reopensAt =
        this->context.directory.pausedUntil(this->service, now);
    const absl::Duration left = this->call.receivedAt + this->call.route->objective - now;
    if (!reopensAt || *reopensAt - now > left * kPauseWaitShare)
        return false;
    this->isWaiting = true;
    this->watchTimer.start(*reopensAt - now);
    return true;
}

void CallRun::refuse(std::string_view cause, absl::Time now)
{
    const std::optional<absl::Time> reopensAt =
        this->context.directory.pausedUntil(this->service, now);
    if (!reopensAt) {
        this->answerOwn(503, cause, true);
        return;
    }
    RefusedCall refused;
    refused.service = this->service;
    refused.reopensAt = *reopensAt;
    refused.usefulUntil = this->call.answerBy;
    refused.callsPerSecond = this->context.retries.callsPerSecond(this->service, now);
    this->answerOwn(503, "servers_paused", true, this->context.returns.retryAfter(refused, now));
}

std::vector<ServerKey> CallRun::triedAnd(std::span<const ServerKey> others) const
{
    std::vector<ServerKey> excluded = this->tried;
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

StreamDemand CallRun::demand(absl::Time now) const
{
    StreamDemand demand;
    demand.promptTokens = this->call.headers.promptTokens;
    demand.answerTokens = this->call.headers.maxAnswerTokens;
    demand.firstEventDue = this->call.receivedAt + this->call.route->objective - now;
    demand.objective = this->call.route->objective;
    demand.pauseObjective = this->call.route->pauseObjective;
    const absl::Time newsAt = std::max(this->call.receivedAt, this->lastEventAt);
    demand.usefulLeft =
        std::min(this->call.answerBy, newsAt + this->call.route->streamIdleTimeout()) - now;
    return demand;
}

bool CallRun::dispatchStream(const Service &service, std::span<const ServerKey> excluded,
                             absl::Time now)
{
    const StreamDecision decision =
        StreamPlanner(this->context).decide(service, this->demand(now), excluded, now);
    this->lastPlan = decision.plan;
    // The rest of an answer that has begun is worth more than any harm, and its caller is waiting.
    if (this->hasAnswerBegun && decision.hasPlan) {
        this->place.place(decision, this->demand(now), this->hasAnswerBegun, now);
        return true;
    }
    switch (decision.kind) {
    case StreamDecision::Kind::NoServer:
    case StreamDecision::Kind::Hopeless:
        return false;
    case StreamDecision::Kind::Wait:
        this->isWaiting = true;
        this->watchTimer.start(kWaitStep);
        return true;
    case StreamDecision::Kind::Place:
        this->place.place(decision, this->demand(now), this->hasAnswerBegun, now);
        return true;
    }
    return false;
}

void CallRun::onStreamPrepared(absl::Time now)
{
    if (this->done)
        return;
    if (this->suspicion->isQuarantined(now) || !this->place.isValid(now)) {
        this->placeAgain(now);
        return;
    }
    this->sendTo(this->place.server(), this->place.helpers(), now);
    this->watchTimer.start(
        std::min(kServerSilence,
                 absl::Milliseconds(this->place.plan().predictedFirstEventMs) + kStreamSlack));
}

void CallRun::onStreamUnprepared(ServerKey engine, absl::Time now)
{
    if (this->done)
        return;
    this->tried.push_back(engine);
    this->placeAgain(now);
}

void CallRun::placeAgain(absl::Time now)
{
    this->place.drop();
    if (++this->rejections > kMaxRejections || this->suspicion->isQuarantined(now)
        || !this->dispatch(now))
        this->finishWith(fallbackStep(AttemptEnd::NotSent, this->progress(now)), now);
}

bool CallRun::dispatchPlain(const Service &service, std::span<const ServerKey> excluded,
                            absl::Time now)
{
    const ServerDirectory::Server *best =
        ServicePlanner(this->context).choose(service, excluded, now);
    if (!best)
        return false;
    this->sendTo(best->entry, {}, now);
    if (this->call.route->kind == CallKind::Idempotent && this->attempts.size() == 1) {
        this->watchTimer.start(
            hedgeDelay(this->context.health.latency(best->key), this->call.route->objective));
    }
    return true;
}

void CallRun::sendTo(const ServerEntry &server, std::vector<platform::ReadHelper> helpers,
                     absl::Time now)
{
    AttemptTarget target;
    target.id = server.id;
    target.incarnation = server.incarnation;
    target.key = serverKey(server.id, server.incarnation);
    target.address = server.address;
    target.domain = server.domain;
    target.suspicion = this->suspicion->nextRun(now);
    this->tried.push_back(target.key);
    ++this->arrivals;
    platform::ForwardedCall forwarded;
    forwarded.server = target.id;
    forwarded.deadline = this->call.answerBy - now;
    forwarded.customer = this->call.customer;
    forwarded.lastEventId = this->relay.lastEventId();
    forwarded.helpers = std::move(helpers);
    this->relay.beginRun();
    this->waited = now - this->call.receivedAt;
    ServerCallEvents &events = *this;
    Attempt &attempt = this->attempts.emplace_back();
    attempt.call = std::make_unique<ServerCall>(this->context, std::move(target), events);
    const RequestHead &head = this->caller->head();
    attempt.call->send(platform::encodeForwardedCall(head, this->caller->body(), forwarded),
                       head.method == "HEAD", this->call.headers.callId,
                       !this->call.route->isRepeatable(), now);
}

void CallRun::onReply(ServerCall &call, const ResponseHead &head,
                      const platform::ServerReply &reply)
{
    Attempt *attempt = this->findAttempt(call);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    attempt->isRelaying = isSuccess && reply.isEventStream && this->isStream();
    attempt->reply = head;
}

void CallRun::onReplyBody(ServerCall &call, std::string_view data)
{
    Attempt *attempt = this->findAttempt(call);
    if (attempt->isRelaying) {
        this->relayEvents(*attempt, data, Clock::now());
        return;
    }
    const bool fits = attempt->body.size() + data.size() <= kMaxHeldReply
        && this->context.heldReplyBytes + data.size() <= kMaxHeldReplies;
    if (!fits) {
        // A cut body must not pass for a whole one.
        call.cancel();
        this->onAttemptEnded(call, AttemptEnd::Lost);
        return;
    }
    attempt->body.append(data);
    this->context.heldReplyBytes += data.size();
    this->heldBytes += data.size();
}

void CallRun::relayEvents(Attempt &attempt, std::string_view data, absl::Time now)
{
    ServerCall &call = *attempt.call;
    const Result<std::string> events = this->relay.feed(data);
    if (!events.ok()) {
        call.cancel();
        this->onAttemptEnded(call, AttemptEnd::Lost);
        return;
    }
    if (events->empty())
        return;
    if (this->relay.hasAdvanced()) {
        attempt.firstEventAt = std::min(attempt.firstEventAt, now);
        if (now - attempt.firstEventAt > kCrashDelay)
            call.clearSuspicion();
        this->noteEvent(call, now);
    }
    if (!this->hasAnswerBegun) {
        this->hasAnswerBegun = true;
        this->caller->startStream(attempt.reply.status,
                                  platform::callerHeaders(attempt.reply.headers));
    }
    this->caller->sendChunk(*events);
    if (this->caller->isCongested()) {
        this->isPaused = true;
        call.pauseReading(true);
    }
}

void CallRun::noteEvent(ServerCall &call, absl::Time now)
{
    this->context.health.onOutcome(call.target().key, ServerHealth::Outcome::Answered, now);
    if (this->firstEventAt == absl::InfinitePast()) {
        this->firstEventAt = now;
        if (now > this->call.receivedAt + this->call.route->objective)
            this->place.onLate();
    }
    if (this->lastEventAt < call.sentAt()) {
        this->place.onFirstEvent();
    } else {
        const absl::Duration pause = now - this->lastEventAt;
        this->longestPause = std::max(this->longestPause, pause);
        if (pause > this->call.route->pauseObjective)
            this->place.onLate();
        const Service *engine = this->call.config->findService(this->service);
        if (engine)
            recordPause(this->context, call.target().key, engine->engine,
                        this->call.headers.promptTokens, pause);
    }
    this->lastEventAt = now;
    const absl::Duration pause = this->call.route->pauseObjective * 2 + kStreamSlack;
    this->watchTimer.start(this->place.holdsMemory() ? std::min(kServerSilence, pause) : pause);
}

void CallRun::onReplyComplete(ServerCall &call)
{
    const absl::Time now = Clock::now();
    std::optional<Attempt> finished = this->takeAttempt(call);
    const ServerKey server = call.target().key;
    const absl::Duration latency = now - call.sentAt();
    // Destroyed later: this runs inside one of its events.
    this->context.retired.push_back(std::move(finished->call));
    ++this->runs;
    if (finished->isRelaying && this->relay.isBetweenEvents()) {
        this->suspicion->onServed(now);
        if (!this->hasAnswerBegun)
            this->caller->startStream(finished->reply.status,
                                      platform::callerHeaders(finished->reply.headers));
        this->caller->finishStream();
        this->finish("served", finished->reply.status);
        return;
    }
    if (finished->isRelaying || this->hasAnswerBegun) {
        this->afterEnd(AttemptEnd::Lost, now);
        return;
    }
    this->reply = std::move(finished->reply);
    this->replyBody = std::move(finished->body);
    if (this->reply.status >= 500) {
        this->context.health.onOutcome(server, ServerHealth::Outcome::Failed, now);
        this->afterEnd(AttemptEnd::ServerFailed, now);
        return;
    }
    this->context.health.onOutcome(server, ServerHealth::Outcome::Answered, now);
    this->context.health.onLatency(server, latency);
    if (this->reply.status < 400)
        this->suspicion->onServed(now);
    this->passStoredReply();
}

void CallRun::passStoredReply()
{
    const int status = this->reply.status;
    // These statuses promise that the call has not run, which this server did not say.
    const bool promisesNotRun = status == 408 || status == 421 || status == 429 || status == 503;
    if (promisesNotRun) {
        this->answerOwn(502, "server_failed", false);
        return;
    }
    this->caller->answer(status, platform::callerHeaders(this->reply.headers), this->replyBody);
    this->finish(status < 400 ? "served" : "server_failure", status);
}

void CallRun::onAttemptEnded(ServerCall &call, AttemptEnd end)
{
    const absl::Time now = Clock::now();
    std::optional<Attempt> ended = this->takeAttempt(call);
    this->suspicion->onLoss(call.target(), this->lossEvidence(*ended, end, now), now);
    this->context.retired.push_back(std::move(ended->call));
    if (end == AttemptEnd::NotSent || end == AttemptEnd::Rejected)
        ++this->rejections;
    else
        ++this->runs;
    recordAttemptEnd(this->context, call, end, now);
    AttemptRecord record;
    record.callId = this->call.headers.callId;
    record.fingerprint = this->suspicion->fingerprint();
    record.runs = this->runs;
    record.rejections = this->rejections;
    record.hadEvent = this->lastEventAt >= call.sentAt();
    logAttemptEnd(this->context, call, end, record, now);
    this->afterEnd(end, now);
}

void CallRun::afterEnd(AttemptEnd end, absl::Time now)
{
    if (!this->attempts.empty())
        return;
    this->place.drop();
    const CallProgress state = this->progress(now);
    NextStep step = nextStep(end, state);
    if (step == NextStep::TryElsewhere) {
        const bool isRepeat = end != AttemptEnd::NotSent;
        const bool allowed = !isRepeat
            || this->context.retries.tryRetry(this->service, this->context.exchange.instanceCount(),
                                              now);
        if (allowed && this->dispatch(now))
            return;
        step = fallbackStep(end, state);
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
        this->passStoredReply();
        return;
    case NextStep::AnswerOutcomeUnknown:
        if (this->reply.status != 0)
            this->passStoredReply();
        else
            this->answerOwn(502, "server_lost", false);
        return;
    case NextStep::BreakOff:
        this->finish("broken_off", 0);
        this->caller->abort();
        return;
    }
}

void CallRun::refuseQuarantined(absl::Time now)
{
    this->answerOwn(503, "quarantined", true, this->suspicion->quarantineLeft(now));
}

LossEvidence CallRun::lossEvidence(const Attempt &attempt, AttemptEnd end, absl::Time now) const
{
    LossEvidence evidence;
    const bool isBroken =
        end == AttemptEnd::Lost && attempt.call->failure() == Error::ConnectionLost;
    const bool isDark =
        end == AttemptEnd::Silent && this->context.reachability.isDark(attempt.call->target().key);
    evidence.isConnectionBroken = isBroken || isDark;
    evidence.hasAnswerBegun = !this->isStream() && attempt.reply.status != 0;
    evidence.streamingFor = std::max(absl::ZeroDuration(), now - attempt.firstEventAt);
    return evidence;
}

void CallRun::answerOwn(int status, std::string_view cause, bool notRun)
{
    std::optional<absl::Duration> retryAfter;
    if (notRun)
        retryAfter = kShortestReturn + kReturnSpread * this->context.random.uniform();
    this->answerOwn(status, cause, notRun, retryAfter);
}

void CallRun::answerOwn(int status, std::string_view cause, bool notRun,
                        std::optional<absl::Duration> retryAfter)
{
    const nlohmann::json body = {{"error", cause}, {"not_run", notRun}};
    this->caller->answer(status, platform::ownAnswerHeaders(this->call.headers.callId, retryAfter),
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
    this->watchTimer.stop();
    std::string server;
    if (!this->attempts.empty())
        server = this->attempts.back().call->target().id.str();
    this->dropAttempts();
    this->place.drop();
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
         {"arrivals", this->arrivals},
         {"runs", this->runs},
         {"prompt", this->call.headers.promptTokens},
         {"helpers", this->lastPlan.helpers.size()},
         {"harm", static_cast<int>(this->lastPlan.harm * 100)},
         {"waited_ms", absl::ToInt64Milliseconds(this->waited)},
         {"planned_ms", static_cast<int>(this->lastPlan.predictedFirstEventMs)},
         {"first_ms",
          hadEvent ? absl::ToInt64Milliseconds(this->firstEventAt - this->call.receivedAt) : -1},
         {"pause_ms", absl::ToInt64Milliseconds(this->longestPause)},
         {"total_ms", absl::ToInt64Milliseconds(now - this->call.receivedAt)},
         {"objective_ms", absl::ToInt64Milliseconds(this->call.route->objective)},
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
    if (!this->hasStarted)
        this->answerOwn(408, "body_timed_out", true);
    else
        this->answerOwn(notRun ? 503 : 504, "timed_out", notRun);
}

void CallRun::onWatch()
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
        this->watchStream(now);
    else
        this->hedge(now);
}

void CallRun::watchStream(absl::Time now)
{
    ServerCall &attempt = *this->attempts.back().call;
    const AttemptTarget &target = attempt.target();
    const absl::Time newsAt = std::max(attempt.sentAt(), this->lastEventAt);
    const absl::Duration quietFor =
        now - std::max(newsAt, this->context.activity[target.key].lastByteAt);
    if (quietFor >= kServerSilence)
        this->context.reachability.onSilent(target.key, target.domain, now);
    MigrationEvidence evidence;
    evidence.isRepeatable = this->call.route->isRepeatable() && !this->isPaused;
    evidence.earlierRuns = this->runs;
    evidence.maxRuns = this->call.route->maxAttempts;
    evidence.isOverdue = now - newsAt > this->call.route->streamIdleTimeout() * kLatestMoveShare;
    evidence.isDark = quietFor >= kServerSilence && this->context.reachability.isDark(target.key);
    evidence.isSilent = (evidence.isOverdue && quietFor > kServerSilence)
        || (quietFor > kServerSilence * 2 && quietFor > this->silenceBound(target.key, now));
    evidence.holdsMemory = this->place.holdsMemory();
    const Service *engines = this->call.config->findService(this->service);
    const bool hasReason = evidence.isSilent || evidence.isDark || evidence.isOverdue;
    evidence.hasBetterServer = engines && hasReason
        && StreamPlanner(this->context).hasGoodPlace(*engines, this->demand(now), this->tried, now);
    if (!shouldMigrate(evidence)) {
        this->watchTimer.start(kStreamRecheck);
        return;
    }
    attempt.cancel();
    this->onAttemptEnded(
        attempt, evidence.isSilent || evidence.isDark ? AttemptEnd::Silent : AttemptEnd::Overdue);
}

absl::Duration CallRun::silenceBound(ServerKey server, absl::Time now) const
{
    double planned = this->place.plan().predictedFirstEventMs;
    if (const Service *engine = this->call.config->findService(this->service))
        planned = std::max(planned, plannedSilenceMs(this->context, engine->engine, server, now));
    return kServerSilence * 2 + absl::Milliseconds(planned * kSilentPasses);
}

void CallRun::hedge(absl::Time now)
{
    if (this->runs + 1 >= this->call.route->maxAttempts || this->attempts.size() > 1)
        return;
    // A copy of a call that may crash its server would cost another one.
    if (this->suspicion->nextRun(now) != SuspectRun::None)
        return;
    if (!this->context.retries.tryRetry(this->service, this->context.exchange.instanceCount(), now))
        return;
    this->dispatch(now);
}

void CallRun::dropAttempts()
{
    for (Attempt &attempt : this->attempts) {
        attempt.call->cancel();
        this->context.retired.push_back(std::move(attempt.call));
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
