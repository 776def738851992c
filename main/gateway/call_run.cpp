#include "main/gateway/call_run.h"

#include "core/clock.h"
#include "core/error.h"
#include "main/gateway/call_log.h"
#include "main/gateway/call_usage.h"
#include "main/gateway/server_evidence.h"
#include "main/gateway/service_planner.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** A stream without events is checked this long after the planned time, and again at the interval.
 */
constexpr absl::Duration kStreamProgressSlack = absl::Milliseconds(600);
constexpr absl::Duration kStreamRecheckInterval = absl::Milliseconds(250);

/** Largest response that is buffered until it is complete; ResponseMemory may allow less. */
constexpr std::size_t kMaxBufferedReplyBytes = std::size_t {8} << 20;

/** Comments and blank lines before the first event of a stream that are forwarded with it. */
constexpr std::size_t kMaxPreambleBytes = std::size_t {4} << 10;

constexpr int kStatusOk = 200;

/** A request body with the memory that it takes. */
struct HeldBody
{
    std::string text;
    std::unique_ptr<BodyClaim> claim;
};

} // namespace

CallRun::CallRun(GatewayContext &context, InboundConnection &caller, AdmittedCall call,
                 OpenRequest request)
    : context(context)
    , caller(&caller)
    , state(std::move(call), std::move(request))
    , dispatcher(context, this->state, *this)
    , evidence(context, this->state)
    , hedges(context, this->state)
    , replies(context, this->state, caller, *this)
    , deadlineTimer(context.base, [this] { this->onDeadline(); })
    , checkTimer(context.base, [this] { this->onCheckTimer(); })
    , relay(this->state.call.headers.lastEventId)
{
    this->deadlineTimer.start(this->state.call.answerBy - this->state.call.receivedAt);
}

void CallRun::start(std::unique_ptr<BodyClaim> claim, absl::Time now)
{
    this->hasStarted = true;
    const auto held =
        std::make_shared<HeldBody>(HeldBody {this->caller->takeBody(), std::move(claim)});
    this->body = std::shared_ptr<const std::string>(held, &held->text);
    // The body may have taken until late in a stop.
    if (!this->context.stop.mayTakeRequests(now)) {
        this->replies.refuseForStop();
        return;
    }
    this->state.suspicion.emplace(this->context, this->state.call.headers.callId,
                                  CallContent {this->state.call.customer, this->caller->head().path,
                                               *this->body,
                                               this->state.call.headers.prompt.sharedParts});
    this->state.service =
        std::string(targetService(*this->state.call.route, this->state.call.headers.callId));
    this->context.retries.onCall(this->state.service, now);
    this->context.hedges.onRequest(this->state.service, now);
    countPromptList(this->context, this->state.call.headers.prompt);
    meterDemand(this->context, this->state);
    if (this->state.suspicion->isQuarantined(now) && !this->state.suspicion->startTrial(now)) {
        this->replies.refuseQuarantined(now);
        return;
    }
    if (!this->dispatcher.dispatch(now))
        this->replies.refuse("no_server", now);
}

void CallRun::refuseBody(int status, std::string_view cause)
{
    if (!this->state.isDone)
        this->replies.sendLocal(status, cause, true);
}

void CallRun::advanceDeadline(absl::Time time, absl::Time now)
{
    if (this->state.isDone || time >= this->state.call.answerBy)
        return;
    this->state.call.answerBy = time;
    this->deadlineTimer.start(time - now);
}

void CallRun::onCallerGone(RequestEnd end, std::string_view outcome, int status)
{
    if (this->state.isDone)
        return;
    this->caller = nullptr;
    this->finish(end, outcome, status);
}

void CallRun::onCallerWritable()
{
    if (!this->state.isReadingPaused)
        return;
    this->state.isReadingPaused = false;
    for (const auto &attempt : this->attempts)
        attempt.call->pauseReading(false);
}

bool CallRun::mayWrite(ServerCall &call, absl::Time now)
{
    const AttemptTarget &target = call.target();
    if (!this->context.directory.isUsable(target.id, target.incarnation, now)
        || this->state.isStopTooNear(this->context, now))
        return false;
    const CallAttempt *attempt = this->findAttempt(call);
    return this->dispatcher.spendTokens(target.key, attempt ? attempt->placement.get() : nullptr,
                                        now);
}

void CallRun::onServerChosen(const ServerDirectory::Server &server, absl::Time now)
{
    this->sendTo(server.entry, nullptr, now);
    if (this->state.call.route->kind == CallKind::Idempotent && this->attempts.size() == 1) {
        this->checkTimer.start(this->hedges.delayAt(server.key));
    }
}

void CallRun::onEngineReady(std::unique_ptr<PlacedStream> placement, absl::Time now)
{
    for (const ServerKey helper : placement->helperKeys())
        this->context.activity[helper].sent.add(RequestKind::PrefillPart, now);
    const double predictedMs = placement->plan().predictedFirstEventMs;
    const absl::Duration firstCheck =
        placement->holdsMemory() ? Reachability::kNeededProbeInterval : kServerSilenceTimeout;
    const absl::Duration hedgeCheck =
        this->attempts.empty() ? this->hedges.delayAt(*placement) : absl::InfiniteDuration();
    const ServerEntry &engine = placement->server();
    this->sendTo(engine, std::move(placement), now);
    const absl::Duration progressCheck =
        std::min({firstCheck, absl::Milliseconds(predictedMs) + kStreamProgressSlack, hedgeCheck});
    this->checkTimer.start(this->attempts.size() > 1 ? kStreamRecheckInterval : progressCheck);
}

void CallRun::onWaiting(absl::Duration delay)
{
    this->checkTimer.start(delay);
}

void CallRun::onDispatchFailed(AttemptEnd cause, absl::Time now)
{
    const CallProgress progress = this->state.progress(now);
    // A response that has begun cannot be refused; a server may come back in time.
    if (progress.hasAnswerBegun && !progress.isQuarantined && progress.rejections <= kMaxRejections
        && this->dispatcher.waitForReturn(now))
        return;
    this->finishWith(fallbackStep(cause, progress), now);
}

void CallRun::onCopyFailed()
{
    ++this->migrationRejections;
    this->checkTimer.start(kStreamRecheckInterval);
}

void CallRun::sendTo(const ServerEntry &server, std::unique_ptr<PlacedStream> placement,
                     absl::Time now)
{
    AttemptTarget target;
    target.id = server.id;
    target.incarnation = server.incarnation;
    target.key = serverKey(server.id, server.incarnation);
    target.address = server.address;
    target.service = server.service;
    target.domain = server.domain;
    target.suspicion = this->state.suspicion->nextRun(now);
    target.suspectParts = this->state.suspicion->suspectParts(now);
    this->state.tried.push_back(target.key);
    ++this->state.attemptsSent;
    platform::ForwardedCall forwarded;
    forwarded.server = target.id;
    forwarded.deadline = this->state.call.answerBy - now;
    forwarded.customer = this->state.call.customer;
    forwarded.lastEventId = this->relay.lastEventId();
    if (placement) {
        forwarded.helpers = placement->helpers();
        forwarded.admissionPriority = placement->admissionPriority();
    }
    this->state.dispatchDelay = now - this->state.call.receivedAt;
    ServerCallEvents &events = *this;
    CallAttempt &attempt = this->attempts.emplace_back();
    attempt.placement = std::move(placement);
    attempt.run = this->relay.beginRun(this->attempts.size() > 1,
                                       ResponseBuffer(this->context.responses, target.key));
    attempt.headHold = ResponseHold(this->context.responses, target.key);
    attempt.body = ResponseBuffer(this->context.responses, target.key);
    attempt.preamble = ResponseBuffer(this->context.responses, target.key);
    attempt.usedRetryGrant = std::exchange(this->hasRetryGrant, false);
    attempt.wasUnreachable = !this->context.reachability.isReachable(target.key, target.domain);
    attempt.call = std::make_unique<ServerCall>(this->context, std::move(target), events);
    const RequestHead &head = this->caller->head();
    attempt.call->send(
        {platform::encodeForwardedCall(head, this->body->size(), forwarded), this->body},
        head.method == "HEAD", this->state.call.headers.callId,
        this->needsNewConnection || !this->state.call.route->isRepeatable(), now);
}

bool CallRun::repeatAttempt(CallAttempt &ended, const AttemptTarget &target, absl::Time now)
{
    const ServerDirectory::Server *server = this->context.directory.findByKey(target.key);
    const bool isOnlyAttempt = this->attempts.empty() && !this->dispatcher.isPreparing();
    if (!isOnlyAttempt || this->context.limits.isLimited(target.key)) {
        // It may be chosen again, with another token if it needs one.
        std::erase(this->state.tried, target.key);
        ++this->state.repetitions;
        return false;
    }
    const Service *found = this->state.call.config->findService(this->state.service);
    const bool mayGetCall = found && server
        && this->context.directory.isUsable(target.id, target.incarnation, now)
        && !exceedsColdRate(this->context, *found, *server, 0, now)
        && (!ended.placement || ended.placement->isValid(now));
    if (!mayGetCall || this->state.suspicion->nextRun(now) != SuspectRun::None
        || !this->takeRetry(now))
        return false;
    ++this->state.repetitions;
    if (ended.placement)
        this->onEngineReady(std::move(ended.placement), now);
    else
        this->onServerChosen(*server, now);
    this->attempts.back().isRepetition = true;
    return true;
}

void CallRun::onReply(ServerCall &call, const ResponseHead &head,
                      const platform::ServerReply &reply)
{
    CallAttempt *attempt = this->findAttempt(call);
    if (!attempt->headHold.resize(static_cast<std::int64_t>(head.headers.memoryBytes()))) {
        this->abandon(call, Error::MemoryShareUsedUp);
        return;
    }
    attempt->isRelaying = head.status == kStatusOk && reply.isEventStream && this->state.isStream();
    attempt->reply = head;
    // Responses without a signature or the id of the call may come from an intermediary. The server
    // began to work when it got the call.
    if (!this->state.isStream() && (reply.isSigned || reply.hasCallId))
        countUsage(this->context, this->state, call.sentAt());
}

void CallRun::onReplyBody(ServerCall &call, std::string_view data)
{
    CallAttempt *attempt = this->findAttempt(call);
    if (attempt->isRelaying) {
        this->relayEvents(*attempt, data, Clock::now());
        return;
    }
    // A truncated body must not be forwarded as a complete one.
    if (attempt->body.size() + data.size() > kMaxBufferedReplyBytes)
        this->abandon(call, Error::ProtocolViolation);
    else if (!attempt->body.tryAppend(data))
        this->abandon(call, Error::MemoryShareUsedUp);
}

void CallRun::abandon(ServerCall &call, std::error_code cause)
{
    call.abandon(cause);
    this->onAttemptEnded(call, AttemptEnd::Lost);
}

void CallRun::relayEvents(CallAttempt &attempt, std::string_view data, absl::Time now)
{
    ServerCall &call = *attempt.call;
    const Result<std::string> events = this->relay.feed(attempt.run, data);
    if (!events.ok()) {
        this->abandon(call, events.error());
        return;
    }
    if (events->empty())
        return;
    if (this->relay.hasAdvanced()) {
        countUsage(this->context, this->state, now);
        if (attempt.firstEventAt == absl::InfiniteFuture()) {
            attempt.firstEventAt = now;
            this->hedges.recordFirstEvent(attempt, now);
            attempt.firstEventSince = this->context.inputSince(now);
        }
        if (!attempt.hasSurvived && now - attempt.firstEventAt > kCrashDelay) {
            attempt.hasSurvived = true;
            call.clearSuspicion();
            this->state.suspicion->onSurvived(attempt.firstEventSince, now);
        }
        this->onStreamEvent(attempt, now);
    }
    // Comments are no answer: the call may still be sent elsewhere or refused.
    if (!this->state.hasAnswerBegun && !this->relay.hasForwardedEvent()) {
        if (attempt.preamble.size() + events->size() <= kMaxPreambleBytes
            && !attempt.preamble.tryAppend(*events))
            this->abandon(call, Error::MemoryShareUsedUp);
        return;
    }
    if (!this->state.hasAnswerBegun)
        this->beginStream(attempt);
    this->caller->sendChunk(*events);
    if (this->caller->isCongested()) {
        this->state.isReadingPaused = true;
        call.pauseReading(true);
    }
    if (!this->relay.hasAdvanced())
        return;
    attempt.replacedFor.reset();
    attempt.wasRetryDenied = false;
    if (this->dispatcher.isPreparing()) {
        this->dispatcher.dropPlacement();
        this->dispatcher.dropTokens(now);
    }
    this->endOtherAttempts(call, now);
}

void CallRun::beginStream(CallAttempt &attempt)
{
    this->state.hasAnswerBegun = true;
    this->caller->startStream(attempt.reply.status, platform::callerHeaders(attempt.reply.headers));
    this->caller->sendChunk(attempt.preamble.view());
    attempt.preamble.clear();
    attempt.reply.headers = HttpHeaders();
    attempt.headHold.release();
}

void CallRun::endOtherAttempts(const ServerCall &winner, absl::Time now)
{
    std::vector<ServerCall *> others;
    for (const CallAttempt &attempt : this->attempts) {
        if (attempt.call.get() != &winner)
            others.push_back(attempt.call.get());
    }
    for (ServerCall *other : others) {
        this->hedges.recordNoResponse(*this->findAttempt(*other), now);
        const AttemptEnd end =
            this->findAttempt(*other)->replacedFor.value_or(AttemptEnd::Superseded);
        other->cancel();
        this->onAttemptEnded(*other, end);
    }
}

void CallRun::onStreamEvent(CallAttempt &attempt, absl::Time now)
{
    this->evidence.recordEvent(attempt, now);
    const absl::Duration overdue =
        this->state.call.route->eventGapObjective * 2 + kStreamProgressSlack;
    const bool holdsMemory = attempt.placement && attempt.placement->holdsMemory();
    this->checkTimer.start(holdsMemory ? std::min(Reachability::kNeededProbeInterval, overdue)
                                       : overdue);
}

void CallRun::onReplyComplete(ServerCall &call)
{
    const absl::Time now = Clock::now();
    std::optional<CallAttempt> finished = this->takeAttempt(call);
    const ServerKey server = call.target().key;
    const absl::Duration latency = now - call.sentAt();
    // Destroyed later: this function runs in one of its callbacks.
    this->context.retired.push_back(std::move(finished->call));
    PlacedStream::retire(this->context, std::move(finished->placement));
    ++this->state.runs;
    // While another attempt goes on, only an event shows that this one has continued the stream.
    const bool hasContinued =
        this->attempts.empty() || finished->firstEventAt != absl::InfiniteFuture();
    // The end of a response without a length may also be that of its server.
    const bool hasSurvived = finished->reply.isFramed || now - finished->firstEventAt > kCrashDelay;
    if (finished->isRelaying && hasContinued
        && this->relay.isComplete(finished->run, finished->reply.isFramed)) {
        if (hasSurvived) {
            this->state.suspicion->onServed(now);
            this->state.suspicion->onSurvived(
                std::min(finished->firstEventSince, this->context.inputSince(now)), now);
        }
        if (!this->state.hasAnswerBegun)
            this->beginStream(*finished);
        this->caller->finishStream();
        this->finish(RequestEnd::Answered, "served", finished->reply.status);
        return;
    }
    if (finished->isRelaying || this->state.hasAnswerBegun) {
        if (finished->isRelaying && !hasSurvived)
            this->state.suspicion->onLoss(call.target(),
                                          this->evidence.crash(call, *finished, true, now), now);
        this->evidence.recordEnd(call, attemptEndName(AttemptEnd::Lost));
        this->afterAttempt(AttemptEnd::Lost, now);
        return;
    }
    const int status = finished->reply.status;
    this->replies.store(std::move(finished->reply), std::move(finished->headHold),
                        std::move(finished->body));
    const bool isStreamElsewhere = this->state.isStream() && !this->attempts.empty();
    if (status >= 500 || isStreamElsewhere) {
        this->context.health.onOutcome(server, ServerHealth::Outcome::Failed, now);
        this->evidence.recordEnd(call, attemptEndName(AttemptEnd::ServerFailed));
        this->afterAttempt(AttemptEnd::ServerFailed, now);
        return;
    }
    this->context.health.onOutcome(server, ServerHealth::Outcome::Answered, now);
    this->context.health.onLatency(server, latency, now);
    this->hedges.recordResponse(latency);
    if (status < 400) {
        this->state.suspicion->onServed(now);
        this->state.suspicion->onSurvived(this->context.inputSince(now), now);
    }
    this->replies.forwardStored();
}

void CallRun::onAttemptEnded(ServerCall &call, AttemptEnd end)
{
    const absl::Time now = Clock::now();
    std::optional<CallAttempt> ended = this->takeAttempt(call);
    const AttemptTarget &target = call.target();
    this->state.suspicion->onLoss(target, this->evidence.loss(call, *ended, end, now), now);
    this->context.retired.push_back(std::move(ended->call));
    const bool wasUnsent = end == AttemptEnd::NotSent || end == AttemptEnd::NotPermitted
        || (end == AttemptEnd::Superseded && !call.wasWritten());
    this->hasRetryGrant = this->hasRetryGrant || (wasUnsent && ended->usedRetryGrant);
    // Nothing shows that the server has ended, so another one would be one more than the route
    // allows.
    const bool isElsewhere = end == AttemptEnd::Rejected || end == AttemptEnd::NotPermitted
        || (end == AttemptEnd::NotSent && call.connectionEnd() != ConnectionEnd::Refused);
    if (ended->isRepetition && isElsewhere)
        --this->state.repetitions;
    // The next choice avoids this server until it accepts a connection.
    const bool foundUnreachable = end == AttemptEnd::NotSent && !ended->wasUnreachable;
    if (!wasUnsent && end != AttemptEnd::Rejected)
        ++this->state.runs;
    else if (this->state.isStream() && !this->attempts.empty())
        ++this->migrationRejections;
    else if (!foundUnreachable)
        ++this->state.rejections;
    // Silence was recorded when the stream was also sent to another server.
    if (end != ended->replacedFor)
        recordAttemptEnd(this->context, call, end, now);
    const bool mayTakeItLater = end == AttemptEnd::NotSent
        || (end == AttemptEnd::Rejected && this->dispatcher.isPaused(target.key, now));
    if (mayTakeItLater)
        std::erase(this->state.tried, target.key);
    AttemptRecord record;
    record.callId = this->state.call.headers.callId;
    record.fingerprint = this->state.suspicion->fingerprint();
    record.sharedParts = this->state.call.headers.prompt.sharedParts;
    record.runs = this->state.runs;
    record.rejections = this->state.rejections;
    record.hadEvent = this->state.lastEventAt >= call.sentAt();
    logAttemptEnd(this->context, call, end, record, now);
    this->evidence.recordEnd(call, attemptEndName(end));
    // A refused connection may have shown that the server of an earlier attempt has ended.
    settleUnconfirmedLosses(this->context, now);
    this->needsNewConnection = this->needsNewConnection || end == AttemptEnd::Dropped;
    if (end == AttemptEnd::Dropped && this->repeatAttempt(*ended, target, now))
        return;
    PlacedStream::retire(this->context, std::move(ended->placement));
    this->afterAttempt(end, now);
}

void CallRun::afterAttempt(AttemptEnd end, absl::Time now)
{
    if (!this->attempts.empty() || this->dispatcher.isPreparing()) {
        if (this->state.isStream())
            this->checkTimer.start(kStreamRecheckInterval);
        return;
    }
    this->dispatcher.dropTokens(now);
    const CallProgress state = this->state.progress(now);
    NextStep step = nextStep(end, state);
    const bool isUnreachable = end == AttemptEnd::NotSent && !state.isQuarantined;
    if (step == NextStep::BreakOff && isUnreachable && this->dispatcher.waitForReturn(now))
        return;
    if (step == NextStep::TryElsewhere) {
        const bool isRetry = end != AttemptEnd::NotSent && end != AttemptEnd::NotPermitted;
        const bool allowed = !isRetry || this->takeRetry(now);
        if (allowed && this->dispatcher.dispatch(now))
            return;
        if (allowed && state.hasAnswerBegun && this->dispatcher.waitForReturn(now))
            return;
        logNotRetried(this->context, this->state.call.headers.callId, end,
                      allowed ? "no_server" : "retry_budget");
        step = fallbackStep(end, state);
    } else {
        logNotRetried(this->context, this->state.call.headers.callId, end,
                      state.isQuarantined ? "quarantined" : "attempts_used");
    }
    this->finishWith(step, now);
}

void CallRun::finishWith(NextStep step, absl::Time now)
{
    switch (step) {
    case NextStep::TryElsewhere:
    case NextStep::AnswerNotRun:
        if (this->state.suspicion->isQuarantined(now))
            this->replies.refuseQuarantined(now);
        else
            this->replies.refuse("rejected", now);
        return;
    case NextStep::PassServerFailure:
        this->replies.forwardStored();
        return;
    case NextStep::AnswerOutcomeUnknown:
        if (this->replies.storedStatus() != 0)
            this->replies.forwardStored();
        else
            this->replies.sendLocal(502, "server_lost", false);
        return;
    case NextStep::BreakOff:
        this->finish(RequestEnd::Lost, "broken_off", 0);
        this->caller->abort();
        return;
    }
}

void CallRun::finish(RequestEnd end, std::string_view outcome, int status)
{
    if (this->state.isDone)
        return;
    this->state.isDone = true;
    this->state.request.end(end, outcome);
    const absl::Time now = Clock::now();
    this->deadlineTimer.stop();
    this->checkTimer.stop();
    std::string server;
    if (!this->attempts.empty())
        server = this->attempts.back().call->target().id.str();
    this->cancelAttempts(now);
    this->dispatcher.dropPlacement();
    this->dispatcher.dropTokens(now);
    this->body.reset();
    this->replies.dropStored();
    logCallDone(this->context, this->state, server, end, outcome, status, now);
}

void CallRun::onDeadline()
{
    if (this->state.isDone)
        return;
    if (this->state.hasAnswerBegun) {
        this->finish(RequestEnd::Lost, "timed_out_streaming", 0);
        this->caller->abort();
        return;
    }
    const bool notRun = this->state.runs == 0 && this->attempts.empty();
    const bool isStopped = this->state.call.answerBy >= this->context.stop.answersBy();
    if (isStopped && notRun)
        this->replies.refuseForStop();
    else if (isStopped)
        this->replies.sendLocal(504, "stopping", false);
    else if (!this->hasStarted)
        this->replies.sendLocal(408, "body_timed_out", true);
    else
        this->replies.sendLocal(notRun ? 503 : 504, "timed_out", notRun);
}

void CallRun::onCheckTimer()
{
    if (this->state.isDone)
        return;
    const absl::Time now = Clock::now();
    if (this->dispatcher.isWaiting()) {
        this->dispatcher.resume(now);
        return;
    }
    if (this->attempts.empty())
        return;
    if (this->state.isStream())
        this->checkStreamProgress(now);
    else
        this->hedge(now);
}

void CallRun::checkStreamProgress(absl::Time now)
{
    for (CallAttempt &attempt : this->attempts) {
        if (!shouldAbandon(this->evidence.migration(attempt, this->isReplaced(attempt), now)))
            continue;
        ServerCall &call = *attempt.call;
        call.cancel();
        this->onAttemptEnded(call, AttemptEnd::Silent);
        return;
    }
    // The timer is started first: the placement of the second attempt may start it again.
    this->checkTimer.start(kStreamRecheckInterval);
    if (this->attempts.size() == 1 && !this->dispatcher.isPreparing()
        && this->migrationRejections < kMaxRejections)
        this->migrateStream(now);
    if (this->attempts.size() == 1 && !this->dispatcher.isPreparing())
        this->hedgeStream(now);
}

bool CallRun::takeRetry(absl::Time now)
{
    const std::size_t instances = this->context.exchange.instanceCount();
    this->hasRetryGrant =
        this->hasRetryGrant || this->context.retries.tryRetry(this->state.service, instances, now);
    return this->hasRetryGrant;
}

void CallRun::migrateStream(absl::Time now)
{
    CallAttempt &attempt = this->attempts.front();
    MigrationEvidence evidence = this->evidence.migration(attempt, this->isReplaced(attempt), now);
    const bool hasReason = evidence.isSilent || evidence.isUnresponsive || evidence.isOverdue;
    // A second copy of a call that may crash its server could crash another one.
    const bool mayCrashServers = this->state.suspicion->nextRun(now) != SuspectRun::None;
    if (!hasReason || (mayCrashServers && !evidence.isUnresponsive))
        return;
    const std::optional<CopyPlan> plan = this->dispatcher.planCopy(now);
    if (!plan)
        return;
    evidence.hasBetterServer = plan->isTimely;
    if (!shouldMigrate(evidence))
        return;
    const AttemptEnd reason =
        evidence.isSilent || evidence.isUnresponsive ? AttemptEnd::Silent : AttemptEnd::Overdue;
    if (!this->takeRetry(now)) {
        if (!attempt.wasRetryDenied)
            logNotRetried(this->context, this->state.call.headers.callId, reason, "retry_budget");
        attempt.wasRetryDenied = true;
        return;
    }
    attempt.replacedFor = reason;
    recordAttemptEnd(this->context, *attempt.call, reason, now);
    this->dispatcher.dispatchCopy(*plan, now);
}

void CallRun::hedge(absl::Time now)
{
    if (this->state.runs + 1 >= this->state.maxRuns() || this->attempts.size() > 1)
        return;
    // A second copy of a call that may crash its server could crash another one.
    if (this->state.suspicion->nextRun(now) != SuspectRun::None)
        return;
    if (!this->hedges.mayCopy(now)
        || !this->context.retries.tryRetry(this->state.service,
                                           this->context.exchange.instanceCount(), now))
        return;
    this->hedges.countCopy(now);
    this->dispatcher.dispatchUnlimited(now);
}

void CallRun::hedgeStream(absl::Time now)
{
    if (!this->hedges.isDue(this->attempts.front(), now))
        return;
    const std::optional<CopyPlan> plan = this->dispatcher.planCopy(now);
    const bool isGain = plan && plan->isTimely && plan->decision.plan.helpers.empty();
    if (!isGain || !this->takeRetry(now))
        return;
    this->hedges.countCopy(now);
    this->dispatcher.dispatchCopy(*plan, now);
}

void CallRun::cancelAttempts(absl::Time now)
{
    for (CallAttempt &attempt : this->attempts) {
        // The caller may give a call up whose server has crashed without closing the connection.
        const ServerCall &ended = *attempt.call;
        this->hedges.recordNoResponse(attempt, now);
        const AttemptTarget &target = ended.target();
        if (ended.wasWritten()
            && !this->context.reachability.isReachable(target.key, target.domain))
            this->state.suspicion->onLoss(target, this->evidence.silence(ended, attempt, now), now);
        attempt.call->cancel();
        this->evidence.recordEnd(ended, AttemptTrail::kCancelled);
        this->context.retired.push_back(std::move(attempt.call));
        PlacedStream::retire(this->context, std::move(attempt.placement));
    }
    this->attempts.clear();
}

bool CallRun::isReplaced(const CallAttempt &attempt) const
{
    return this->attempts.size() > 1 && &attempt == &this->attempts.front();
}

CallAttempt *CallRun::findAttempt(const ServerCall &call)
{
    const auto found =
        std::find_if(this->attempts.begin(), this->attempts.end(),
                     [&call](const CallAttempt &attempt) { return attempt.call.get() == &call; });
    return found == this->attempts.end() ? nullptr : &*found;
}

std::optional<CallAttempt> CallRun::takeAttempt(const ServerCall &call)
{
    CallAttempt *found = this->findAttempt(call);
    if (!found)
        return std::nullopt;
    CallAttempt attempt = std::move(*found);
    this->attempts.erase(this->attempts.begin() + (found - this->attempts.data()));
    return attempt;
}

} // namespace foxtailtally
