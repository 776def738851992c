#include "servers/session/request_session.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Retry-After when no owner has given a longer one. */
constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);

/** Number of servers lost under a request at which it is no longer retried. */
constexpr std::uint32_t kMaxLostServers = 2;

bool isFinal(RefusalReason reason)
{
    return reason == RefusalReason::Quarantined || reason == RefusalReason::UnknownModel
        || reason == RefusalReason::UnknownCustomer;
}

} // namespace

RequestSession::RequestSession(RequestProfile profile, const RequestSessionOptions &options)
    : request(std::move(profile))
    , options(options)
{ }

SessionActions RequestSession::start(std::vector<GroupId> groups, absl::Time now)
{
    SessionActions actions;
    if (this->phase != Phase::Idle)
        return actions;
    this->candidates = std::move(groups);
    this->reserveNext(actions, now);
    return actions;
}

SessionActions RequestSession::onReserveReply(std::uint64_t replyTo, const ReserveReply &reply,
                                              absl::Time now)
{
    SessionActions actions;
    const bool current = this->phase == Phase::Reserving && replyTo == this->reservation;
    if (!current) {
        // The grant crossed with a cancellation, so its permit must be released here.
        if (reply.granted) {
            const PermitRelease release {reply.grant.permit, PermitOutcome::NotStarted};
            actions.emplace_back(ReleasePermit {reply.group, release});
        }
        return actions;
    }
    if (!reply.granted) {
        this->recordRefusal(reply.refusal);
        if (isFinal(reply.refusal.reason))
            this->giveUp(actions, reply.refusal.reason, reply.refusal.retryAfter);
        else
            this->reserveNext(actions, now);
        return actions;
    }
    this->grant = reply.grant;
    this->startedAt = now;
    this->timeToFirstToken = absl::ZeroDuration();
    // The start-by time has passed; the owner may have granted the memory to another request.
    if (now > this->reservedAt + reply.grant.startBy) {
        this->releasePermit(actions, PermitOutcome::NotStarted, now);
        this->reserveNext(actions, now);
        return actions;
    }
    this->serverAddress = reply.addresses.empty() ? std::string() : reply.addresses.front();
    this->serverIncarnation = reply.incarnations.empty() ? 0 : reply.incarnations.front();
    this->phase = Phase::Streaming;
    this->attempt += 1;
    this->starts += 1;
    this->mayHaveRunBeforeAttempt = this->mayHaveRun;
    this->mayHaveRun = true;
    this->paused = false;
    this->attemptStartOffset = this->nextOffset;
    actions.emplace_back(
        StartEngine {this->attempt, reply.grant, reply.addresses, this->nextOffset});
    return actions;
}

SessionActions RequestSession::onReserveFailed(std::uint64_t replyTo, absl::Time now)
{
    SessionActions actions;
    if (this->phase != Phase::Reserving || replyTo != this->reservation)
        return actions;
    this->reserveNext(actions, now);
    return actions;
}

SessionActions RequestSession::onEngineToken(std::uint64_t from, std::int64_t offset,
                                             std::string_view text, absl::Time now)
{
    SessionActions actions;
    const bool current = this->phase == Phase::Streaming && from == this->attempt;
    if (!current || offset < this->nextOffset)
        return actions;
    if (offset > this->nextOffset) {
        // A token is missing, so this stream can no longer deliver a complete response.
        this->stopEngine(actions, PermitOutcome::ServerLost, now);
        this->retryAfterServerLoss(actions, now);
        return actions;
    }
    if (this->timeToFirstToken == absl::ZeroDuration())
        this->timeToFirstToken = now - this->startedAt;
    this->nextOffset += 1;
    this->pendingBytes += text.size();
    actions.emplace_back(SendToken {offset, std::string(text)});
    if (!this->paused && this->pendingBytes > this->options.bufferBytes) {
        this->paused = true;
        this->pausedAt = now;
        actions.emplace_back(PauseEngine {this->attempt});
    }
    return actions;
}

SessionActions RequestSession::onEngineDone(std::uint64_t from, std::error_code error,
                                            absl::Time now)
{
    SessionActions actions;
    if (this->phase != Phase::Streaming || from != this->attempt)
        return actions;
    if (!error) {
        this->releasePermit(actions, PermitOutcome::Finished, now);
        this->phase = Phase::Finished;
        actions.emplace_back(FinishAnswer {this->nextOffset});
        return actions;
    }
    const bool refused = error == Error::ServerOverloaded || error == Error::ConnectionFailed;
    if (refused) {
        this->releasePermit(actions, PermitOutcome::ServerRefused, now);
        // The engine did not run this attempt, so it does not count and notRun may remain true.
        this->starts -= 1;
        this->mayHaveRun = this->mayHaveRunBeforeAttempt;
        this->reserveNext(actions, now);
        return actions;
    }
    if (!this->grant.servers.empty())
        actions.emplace_back(ReportSuspect {this->grant.servers.front(), this->serverAddress,
                                            this->serverIncarnation});
    this->request.deathsSeen += 1;
    this->releasePermit(actions, PermitOutcome::ServerLost, now);
    this->retryAfterServerLoss(actions, now);
    return actions;
}

SessionActions RequestSession::onSendProgress(std::size_t bytes, absl::Time now)
{
    SessionActions actions;
    this->pendingBytes = bytes;
    if (bytes > this->options.bufferBytes / 2)
        return actions;
    if (this->phase == Phase::Streaming && this->paused) {
        this->paused = false;
        actions.emplace_back(ResumeEngine {this->attempt});
    } else if (this->phase == Phase::Parked) {
        this->restartCandidates();
        this->reserveNext(actions, now);
    }
    return actions;
}

SessionActions RequestSession::onCallerGone(absl::Time now)
{
    SessionActions actions;
    if (this->phase == Phase::Finished)
        return actions;
    if (this->phase == Phase::Reserving)
        actions.emplace_back(CancelReserve {this->reservation, this->group});
    if (this->phase == Phase::Streaming)
        this->stopEngine(actions, PermitOutcome::Cancelled, now);
    this->giveUp(actions, RefusalReason::Cancelled, absl::ZeroDuration());
    return actions;
}

SessionActions RequestSession::onTick(absl::Time now)
{
    SessionActions actions;
    if (this->phase == Phase::Finished || this->phase == Phase::Idle)
        return actions;
    if (this->isDeadlineReached(now)) {
        if (this->phase == Phase::Reserving)
            actions.emplace_back(CancelReserve {this->reservation, this->group});
        if (this->phase == Phase::Streaming)
            this->stopEngine(actions, PermitOutcome::Cancelled, now);
        this->giveUp(actions, RefusalReason::TimedOut, kDefaultRetryAfter);
        return actions;
    }
    if (this->phase == Phase::Streaming && this->paused
        && now - this->pausedAt >= this->options.maxPause) {
        this->stopEngine(actions, PermitOutcome::Cancelled, now);
        this->starts -= 1;
        this->phase = Phase::Parked;
    }
    return actions;
}

void RequestSession::reserveNext(SessionActions &actions, absl::Time now)
{
    if (this->isDeadlineReached(now))
        return this->giveUp(actions, RefusalReason::TimedOut, kDefaultRetryAfter);
    const bool exhausted = this->nextCandidate >= this->candidates.size()
        || this->reservationsSent >= this->options.maxReservations;
    if (exhausted) {
        const RefusalReason reason = this->lastRefusal.reason == RefusalReason::None
            ? RefusalReason::NoServer
            : this->lastRefusal.reason;
        return this->giveUp(actions, reason,
                            std::max(this->lastRefusal.retryAfter, kDefaultRetryAfter));
    }
    this->group = this->candidates[this->nextCandidate++];
    this->reservationsSent += 1;
    this->reservation += 1;
    this->reservedAt = now;
    this->phase = Phase::Reserving;
    actions.emplace_back(SendReserve {this->reservation, this->group, this->request});
}

void RequestSession::releasePermit(SessionActions &actions, PermitOutcome outcome,
                                   absl::Time /*now*/)
{
    PermitRelease release;
    release.permit = this->grant.permit;
    release.outcome = outcome;
    release.timeToFirstToken = this->timeToFirstToken;
    release.newTokens = this->nextOffset - this->attemptStartOffset;
    actions.emplace_back(ReleasePermit {this->group, release});
}

void RequestSession::stopEngine(SessionActions &actions, PermitOutcome outcome, absl::Time now)
{
    actions.emplace_back(CancelEngine {this->attempt});
    this->releasePermit(actions, outcome, now);
}

void RequestSession::retryAfterServerLoss(SessionActions &actions, absl::Time now)
{
    // A request under which two servers were lost may be the cause of it.
    const bool mayStartAgain =
        this->starts < this->options.maxStarts && this->request.deathsSeen < kMaxLostServers;
    if (!mayStartAgain)
        return this->giveUp(actions, RefusalReason::ServerLost, kDefaultRetryAfter);
    this->restartCandidates();
    this->reserveNext(actions, now);
}

void RequestSession::restartCandidates()
{
    // Groups not tried yet come first, and the one tried last goes to the end.
    const std::size_t asked = std::min(this->nextCandidate, this->candidates.size());
    std::rotate(this->candidates.begin(),
                this->candidates.begin() + static_cast<std::ptrdiff_t>(asked),
                this->candidates.end());
    this->nextCandidate = 0;
    this->reservationsSent = 0;
}

void RequestSession::giveUp(SessionActions &actions, RefusalReason reason,
                            absl::Duration retryAfter)
{
    this->phase = Phase::Finished;
    if (this->nextOffset > 0) {
        actions.emplace_back(FailAnswer {reason});
        return;
    }
    actions.emplace_back(RefuseRequest {{reason, !this->mayHaveRun, retryAfter}});
}

void RequestSession::recordRefusal(const Refusal &refusal)
{
    const bool sooner = this->lastRefusal.reason == RefusalReason::None
        || refusal.retryAfter < this->lastRefusal.retryAfter;
    if (sooner)
        this->lastRefusal = refusal;
}

bool RequestSession::isDeadlineReached(absl::Time now) const
{
    return now + this->options.answerMargin >= this->request.deadline;
}

} // namespace foxtailtally
