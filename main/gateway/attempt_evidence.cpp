#include "main/gateway/attempt_evidence.h"

#include "core/error.h"
#include "main/gateway/server_evidence.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Multiple of a planned pass for which a server may be silent, besides its time-out. */
constexpr double kSilentPassFactor = 2.0;

} // namespace

CrashEvidence AttemptEvidence::loss(const ServerCall &call, const CallAttempt &attempt,
                                    AttemptEnd end, absl::Time now) const
{
    const AttemptTarget &target = call.target();
    const bool isBroken = end == AttemptEnd::Lost && call.failure() == Error::ConnectionLost;
    // The connection of a repetition may be reset because the server has too many.
    const bool wasDropped =
        end == AttemptEnd::Dropped || (isBroken && attempt.isRepetition && !call.hadBytes());
    // An unreachable server is probed until it is heard.
    const bool isSilent = end == AttemptEnd::Silent
        && !this->context.reachability.isReachable(target.key, target.domain);
    if (isSilent || (isBroken && call.connectionEnd() == ConnectionEnd::TimedOut))
        return this->silence(call, attempt, now);
    CrashEvidence evidence = this->crash(call, attempt, isBroken || wasDropped, now);
    evidence.isUnconfirmed = wasDropped;
    evidence.wasDropped = wasDropped;
    evidence.idleTime = call.connectionIdleTime();
    return evidence;
}

CrashEvidence AttemptEvidence::crash(const ServerCall &call, const CallAttempt &attempt,
                                     bool isConnectionBroken, absl::Time now) const
{
    CrashEvidence evidence;
    evidence.isConnectionBroken = isConnectionBroken;
    evidence.hasAnswerBegun = !this->state.isStream() && attempt.reply.status != 0;
    evidence.streamingFor = std::max(absl::ZeroDuration(), now - attempt.firstEventAt);
    const AttemptTarget &target = call.target();
    // A server that loses power resets its connections only when it has returned, or they time out.
    if (!this->context.reachability.isReachable(target.key, target.domain))
        evidence.silentFor = now - this->lastSignAt(call);
    return evidence;
}

CrashEvidence AttemptEvidence::silence(const ServerCall &call, const CallAttempt &attempt,
                                       absl::Time now) const
{
    CrashEvidence evidence = this->crash(call, attempt, true, now);
    evidence.isUnconfirmed = true;
    evidence.silentFor = now - this->lastSignAt(call);
    return evidence;
}

MigrationEvidence AttemptEvidence::migration(const CallAttempt &attempt, bool hasReplacement,
                                             absl::Time now) const
{
    const AttemptTarget &target = attempt.call->target();
    const absl::Time lastProgressAt = std::max(attempt.call->sentAt(), this->state.lastEventAt);
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
    evidence.isRepeatable = this->state.call.route->isRepeatable() && !this->state.isReadingPaused;
    evidence.earlierRuns = this->state.runs;
    evidence.maxRuns = this->state.maxRuns();
    evidence.isOverdue =
        now - lastProgressAt > this->state.call.route->streamIdleTimeout() * kMigrationTimeoutShare;
    const bool isGone = this->context.reachability.isUnresponsive(target.key)
        || !this->context.directory.findByKey(target.key);
    evidence.isUnresponsive = evidence.silentFor >= kServerSilenceTimeout && isGone;
    evidence.isSilent = (evidence.isOverdue && evidence.silentFor > kServerSilenceTimeout)
        || (evidence.silentFor > kServerSilenceTimeout * 2
            && evidence.silentFor > this->silenceTimeout(attempt, now));
    evidence.hasReplacement = hasReplacement;
    return evidence;
}

void AttemptEvidence::recordEvent(const CallAttempt &attempt, absl::Time now)
{
    const ServerCall &call = *attempt.call;
    this->context.health.onOutcome(call.target().key, ServerHealth::Outcome::Answered, now);
    if (this->state.firstEventAt == absl::InfinitePast()) {
        this->state.firstEventAt = now;
        if (attempt.placement
            && now > this->state.call.receivedAt + this->state.call.route->objective)
            attempt.placement->onLate();
    }
    const bool isFirstOfAttempt = this->state.lastEventAt < call.sentAt();
    if (isFirstOfAttempt && attempt.placement)
        attempt.placement->onFirstEvent();
    if (!isFirstOfAttempt) {
        const absl::Duration gap = now - this->state.lastEventAt;
        this->state.longestGap = std::max(this->state.longestGap, gap);
        if (attempt.placement && gap > this->state.call.route->eventGapObjective)
            attempt.placement->onLate();
        const Service *engine = this->state.call.config->findService(this->state.service);
        if (engine)
            recordEventGap(this->context, call.target().key, engine->engine,
                           this->state.call.headers.promptTokens, gap, now);
    }
    this->state.lastEventAt = now;
}

absl::Time AttemptEvidence::lastSignAt(const ServerCall &call) const
{
    return std::max(this->context.activity[call.target().key].lastByteAt, call.sentAt());
}

absl::Duration AttemptEvidence::silenceTimeout(const CallAttempt &attempt, absl::Time now) const
{
    double planned = attempt.placement ? attempt.placement->plan().predictedFirstEventMs : 0.0;
    if (const Service *engine = this->state.call.config->findService(this->state.service))
        planned = std::max(
            planned,
            maxExpectedSilenceMs(this->context, engine->engine, attempt.call->target().key, now));
    return kServerSilenceTimeout * 2 + absl::Milliseconds(planned * kSilentPassFactor);
}

void AttemptEvidence::recordEnd(const ServerCall &call, std::string_view end)
{
    this->state.trail.add(
        {call.target().id.str(), call.wasWritten(), call.sentAt(), call.lastByteAt(), end});
}

} // namespace foxtailtally
