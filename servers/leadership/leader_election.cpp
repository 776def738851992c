#include "servers/leadership/leader_election.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** A write that a read has made possible follows it within this time, or another read does. */
constexpr absl::Duration kReadFreshFor = absl::Milliseconds(300);

LeaderChangeReason releasedReason(StepAsideReason reason)
{
    switch (reason) {
    case StepAsideReason::Stopping:
        return LeaderChangeReason::ReleasedStopping;
    case StepAsideReason::NotCandidate:
        return LeaderChangeReason::ReleasedNotCandidate;
    case StepAsideReason::ControlApiFails:
        break;
    }
    return LeaderChangeReason::ReleasedControlApiFails;
}

} // namespace

std::string_view nameOf(LeaderChangeReason reason)
{
    switch (reason) {
    case LeaderChangeReason::TookReleased:
        return "took_released";
    case LeaderChangeReason::TookExpired:
        return "took_expired";
    case LeaderChangeReason::TookVacant:
        return "took_vacant";
    case LeaderChangeReason::RecoveredOwn:
        return "recovered_own";
    case LeaderChangeReason::ReleasedStopping:
        return "released_stopping";
    case LeaderChangeReason::ReleasedNotCandidate:
        return "released_not_candidate";
    case LeaderChangeReason::ReleasedControlApiFails:
        return "released_control_api_fails";
    case LeaderChangeReason::LostToOther:
        return "lost_to_other";
    case LeaderChangeReason::LostToRestore:
        return "lost_to_restore";
    case LeaderChangeReason::LostRecord:
        return "lost_record";
    case LeaderChangeReason::Observed:
        break;
    }
    return "observed";
}

LeaderElection::LeaderElection(InstanceId self, Incarnation incarnation,
                               const ElectionOptions &options, absl::Time now)
    : self(std::move(self))
    , incarnation(incarnation)
    , options(options)
    , candidacySince(now)
    , actedAt(now)
{ }

void LeaderElection::setCandidate(bool newIsCandidate, absl::Duration newStagger, absl::Time now)
{
    this->checkAbsence(now);
    this->stagger = newStagger;
    if (this->isCandidate == newIsCandidate)
        return;
    this->isCandidate = newIsCandidate;
    this->candidacySince = now;
    this->prepared.reset();
}

void LeaderElection::onHolderHeard(const LeaseAnnouncement &announcement, absl::Time now)
{
    if (this->known && announcement.position < this->known->position)
        return;
    this->heardAt = now;
    if (this->known && announcement.position == this->known->position)
        return;
    if (this->held)
        this->lose(announcement.position.era == this->held->position.era
                       ? LeaderChangeReason::LostToOther
                       : LeaderChangeReason::LostToRestore);
    this->learn({announcement.position, now, false, announcement.isReleased, announcement.holder,
                 announcement.token});
}

void LeaderElection::onRead(const ObservedLease &observed, absl::Time now)
{
    if (!this->underWay || this->underWay->step != Step::Read)
        return;
    if (this->known && observed.store < this->known->position) {
        // The store answered before the write that is known by now.
        this->onReadFailed(now);
        return;
    }
    this->underWay.reset();
    this->readAt = now;
    this->isAcquisitionOpen = false;
    this->observe(observed, now);
    if (!this->held)
        this->prepareWrite(observed, now);
}

void LeaderElection::onReadFailed(absl::Time now)
{
    if (!this->underWay || this->underWay->step != Step::Read)
        return;
    this->underWay.reset();
    this->readAt = now;
    this->retryAt = now + kRetryInterval;
}

void LeaderElection::onWritten(const StorePosition &written, absl::Time now)
{
    const auto call = this->takeWrite();
    if (!call)
        return;
    if (this->known && written <= this->known->position) {
        this->onOlderResponse(now);
        return;
    }
    if (written.era != call->era) {
        // The condition held by chance: its revision was assigned again.
        if (this->held)
            this->lose(LeaderChangeReason::LostToRestore);
        this->learn({written, now, false, call->record.isReleased, call->record.holder,
                     call->record.token});
        return;
    }
    switch (call->step) {
    case Step::Acquire:
        this->hold(*call, written, now);
        break;
    case Step::Renew:
    case Step::Release:
        if (!this->held)
            return;
        this->held->position = written;
        this->held->confirmed = call->record;
        break;
    default:
        this->learn({written, now, false, false, {}, call->record.token});
        return;
    }
    this->known =
        Known {written, now, false, call->record.isReleased, this->self, call->record.token};
    this->announced =
        LeaseAnnouncement {this->self, call->record.token, written, call->record.isReleased};
    if (call->step == Step::Release) {
        this->log({}, call->record.token, releasedReason(*this->held->releaseReason));
        this->held.reset();
    } else if (!this->held->releaseReason) {
        this->actUntil = call->sentAt + this->options.term - kTransit;
    }
}

void LeaderElection::onWriteConflict(const ObservedLease &observed, absl::Time now)
{
    if (!this->takeWrite())
        return;
    // Without an object there may be no revision. Then the known one is kept, as the lower bound.
    StorePosition position = observed.isMissing() ? observed.store : observed.position();
    if (observed.isMissing() && this->known && this->known->position.era == position.era)
        position.revision = std::max(position.revision, this->known->position.revision);
    if (this->known && position < this->known->position) {
        this->onOlderResponse(now);
        return;
    }
    if (!observed.isMissing()) {
        this->observe(observed, now);
        return;
    }
    if (this->held)
        this->lose(position.era == this->held->position.era ? LeaderChangeReason::LostRecord
                                                            : LeaderChangeReason::LostToRestore);
    this->learn({position, now, true, false, {}, 0});
    this->readAt = absl::InfinitePast();
}

void LeaderElection::onOlderResponse(absl::Time now)
{
    this->retryAt = now + kRetryInterval;
    if (this->held)
        this->held->mustRead = true;
}

void LeaderElection::onWriteUnknown(absl::Time now)
{
    const auto call = this->takeWrite();
    if (!call)
        return;
    if (this->held) {
        this->held->mustRead = true;
        this->retryAt = now;
    } else if (call->step == Step::Acquire) {
        this->isAcquisitionOpen = true;
        this->retryAt = now;
    }
}

void LeaderElection::onNotDone(absl::Time now)
{
    if (!this->underWay)
        return;
    if (this->underWay->step == Step::Read) {
        this->onReadFailed(now);
        return;
    }
    this->takeWrite();
    this->retryAt = now + kRetryInterval;
}

void LeaderElection::onActed(absl::Time now)
{
    this->actedAt = now;
    this->areActsOpen = true;
}

void LeaderElection::onActsEnded()
{
    this->areActsOpen = false;
}

void LeaderElection::stepAside(StepAsideReason reason, absl::Time now)
{
    this->isStopping = this->isStopping || reason == StepAsideReason::Stopping;
    this->asideUntil = now + kAsideTime;
    this->asideReason = reason;
    this->prepared.reset();
    this->actUntil = absl::InfinitePast();
    if (this->held)
        this->held->releaseReason = reason;
}

void LeaderElection::setContent(FencingToken newToken, const LeaseContent &content)
{
    if (!this->held || this->held->token != newToken || this->held->content == content)
        return;
    this->held->content = content;
    this->held->isContentNew = true;
}

LeaseCall LeaderElection::next(absl::Time now)
{
    this->checkAbsence(now);
    if (this->prepared && now > this->prepared->readAt + kReadFreshFor)
        this->prepared.reset();
    // After a pause the store may be in another era, in which the condition could hold by chance.
    if (this->held && now >= this->known->since + this->options.term - kTransit)
        this->held->mustRead = true;
    const Due due = this->due();
    if (due.at > now)
        return {};
    switch (due.step) {
    case Step::None:
        return {};
    case Step::Read:
        this->underWay = CallUnderWay {.step = Step::Read, .sentAt = now, .record = {}};
        return ReadLease {};
    case Step::Create:
    case Step::Acquire: {
        const Prepared write = *std::exchange(this->prepared, std::nullopt);
        return this->start(write.call, write.ifRevision, now);
    }
    case Step::Renew:
    case Step::Release:
        break;
    }
    return this->startHeldWrite(due.step, now);
}

absl::Time LeaderElection::nextAt() const
{
    absl::Time at = this->due().at;
    if (this->held && !this->held->releaseReason && !this->isCandidate)
        at = std::min(at, this->candidacySince + kAbsence);
    return at;
}

std::optional<FencingToken> LeaderElection::token() const
{
    if (!this->held)
        return std::nullopt;
    return this->held->token;
}

const LeaseRecord *LeaderElection::confirmed() const
{
    return this->held && this->held->confirmed ? &*this->held->confirmed : nullptr;
}

std::optional<LeaseAnnouncement> LeaderElection::announcement() const
{
    if (this->announced && this->known && this->announced->position < this->known->position)
        return std::nullopt;
    return this->announced;
}

InstanceId LeaderElection::holder() const
{
    return this->known && !this->known->isReleased ? this->known->holder : InstanceId();
}

bool LeaderElection::isReleasing() const
{
    if (this->held)
        return this->held->releaseReason.has_value();
    return this->isStopping
        && (this->isAcquisitionOpen || (this->underWay && this->underWay->step == Step::Acquire));
}

std::vector<LeaderChange> LeaderElection::takeChanges()
{
    return std::exchange(this->changes, {});
}

LeaderElection::Due LeaderElection::due() const
{
    if (this->underWay)
        return {};
    if (this->held) {
        const Held &lease = *this->held;
        if (lease.mustRead)
            return {Step::Read, this->retryAt};
        if (lease.releaseReason)
            return {Step::Release,
                    std::max(this->retryAt,
                             this->areActsOpen ? this->actedAt + kTransit : absl::InfinitePast())};
        const absl::Time renewAt =
            lease.isContentNew ? absl::InfinitePast() : this->writtenAt + kRenewInterval;
        return {Step::Renew, std::max(this->retryAt, renewAt)};
    }
    if (this->isAcquisitionOpen)
        return {Step::Read, this->retryAt};
    if (!this->isCandidate || this->isStopping)
        return {};
    return this->candidateDue();
}

LeaderElection::Due LeaderElection::candidateDue() const
{
    if (this->prepared)
        return {this->prepared->call.step, this->prepared->readAt};
    const absl::Time earliest = std::max(this->candidacySince, this->asideUntil) + this->stagger;
    absl::Time at = this->readAt + kReadInterval;
    if (this->known && !this->known->isMissing) {
        if (!this->known->isFree()) {
            const absl::Time silentAt = std::max(this->known->since, this->heardAt) + kSilence;
            const absl::Time oldAt = this->known->since + kReadAfter;
            at = std::max(at, std::min(silentAt, oldAt) + this->stagger);
        }
        // The read of the takeover does not wait for the end of the interval.
        const absl::Time takeoverAt = this->acquirableAt() + this->stagger;
        if (this->readAt < takeoverAt)
            at = std::min(at, takeoverAt);
    }
    return {Step::Read, std::max(at, earliest)};
}

LeaseCall LeaderElection::start(const CallUnderWay &call, std::int64_t ifRevision, absl::Time now)
{
    this->underWay = call;
    this->underWay->sentAt = now;
    return WriteLease {call.record, ifRevision};
}

LeaseCall LeaderElection::startHeldWrite(Step step, absl::Time now)
{
    Held &lease = *this->held;
    CallUnderWay call;
    call.step = step;
    call.era = lease.position.era;
    call.record = {this->self,    this->incarnation,     lease.token,     step == Step::Release,
                   lease.content, lease.uncertainBefore, ++lease.renewals};
    lease.isContentNew = false;
    this->writtenAt = now;
    return this->start(call, lease.position.revision, now);
}

std::optional<LeaderElection::CallUnderWay> LeaderElection::takeWrite()
{
    if (!this->underWay || this->underWay->step == Step::Read)
        return std::nullopt;
    return std::exchange(this->underWay, std::nullopt);
}

void LeaderElection::observe(const ObservedLease &observed, absl::Time now)
{
    if (this->isOwn(observed)) {
        this->keepOwn(observed, now);
        return;
    }
    if (this->held) {
        if (observed.store.era != this->held->position.era)
            this->lose(LeaderChangeReason::LostToRestore);
        else
            this->lose(observed.isMissing() ? LeaderChangeReason::LostRecord
                                            : LeaderChangeReason::LostToOther);
    }
    const StorePosition position = observed.isMissing() ? observed.store : observed.position();
    if (this->known && this->known->position == position
        && this->known->isMissing == observed.isMissing())
        return;
    Known newKnown {position, now, observed.isMissing(), false, {}, 0};
    if (observed.record) {
        newKnown.isReleased = observed.record->isReleased;
        newKnown.holder = observed.record->holder;
        newKnown.token = observed.record->token;
    }
    this->learn(newKnown);
}

bool LeaderElection::isOwn(const ObservedLease &observed) const
{
    return observed.record && observed.record->holder == this->self
        && observed.record->incarnation == this->incarnation && !observed.record->isReleased
        && eraOfToken(observed.record->token) == observed.store.era;
}

void LeaderElection::keepOwn(const ObservedLease &observed, absl::Time now)
{
    const LeaseRecord &record = *observed.record;
    if (this->held && this->held->token != record.token)
        this->lose(LeaderChangeReason::LostToOther);
    if (!this->held) {
        this->held = Held {.token = record.token,
                           .position = {},
                           .content = record.content,
                           .uncertainBefore = record.uncertainBefore,
                           .renewals = record.renewals,
                           .confirmed = {},
                           .releaseReason = {}};
        if (this->isAside(now))
            this->held->releaseReason = this->asideReason;
        this->log(this->self, record.token, LeaderChangeReason::RecoveredOwn);
    }
    this->held->position = observed.position();
    this->held->mustRead = false;
    // The right to act comes from a confirmed write only, so one is due at once.
    this->writtenAt = absl::InfinitePast();
    this->retryAt = now;
    this->known = Known {observed.position(), now, false, false, this->self, record.token};
}

void LeaderElection::prepareWrite(const ObservedLease &observed, absl::Time now)
{
    if (!this->isCandidate || this->isAside(now))
        return;
    if (observed.isMissing()) {
        this->prepareCreation(observed, now);
        return;
    }
    const auto newToken = fencingToken(observed.store);
    if (!newToken || now < this->acquirableAt())
        return;
    Prepared write;
    write.call.step = Step::Acquire;
    write.call.era = observed.store.era;
    write.call.record = observed.record.value_or(LeaseRecord {});
    LeaseRecord &record = write.call.record;
    write.call.reason = record.isVacant() ? LeaderChangeReason::TookVacant
        : this->known->isFree()           ? LeaderChangeReason::TookReleased
                                          : LeaderChangeReason::TookExpired;
    if (!observed.record || eraOfToken(record.token) != observed.store.era) {
        // A late write of a former holder may have replaced the restored record, with windows that
        // its successor has reported with other counts.
        record.content.windows.clear();
        record.uncertainBefore =
            std::max(record.uncertainBefore, this->known->since + this->options.term);
    }
    record.holder = this->self;
    record.incarnation = this->incarnation;
    record.token = *newToken;
    record.isReleased = false;
    record.renewals = 0;
    write.ifRevision = observed.revision;
    write.readAt = now;
    this->prepared = write;
}

void LeaderElection::prepareCreation(const ObservedLease &observed, absl::Time now)
{
    const auto newToken = fencingToken(observed.store);
    if (!newToken)
        return;
    Prepared write;
    write.call.step = Step::Create;
    write.call.era = observed.store.era;
    write.call.record.token = *newToken;
    if (!this->options.isFirstStart)
        write.call.record.uncertainBefore = now + this->options.term;
    write.readAt = now;
    this->prepared = write;
}

absl::Time LeaderElection::acquirableAt() const
{
    const absl::Duration wait =
        this->known->isFree() ? absl::ZeroDuration() : this->options.term + kTakeoverMargin;
    // An own call may arrive until kTransit after the time at which it was written. The same holds
    // for a call of an earlier process of this instance.
    return std::max(this->known->since + wait, this->actedAt + this->options.term + kTransit);
}

void LeaderElection::hold(const CallUnderWay &call, const StorePosition &written, absl::Time now)
{
    this->held = Held {.token = call.record.token,
                       .position = written,
                       .content = call.record.content,
                       .uncertainBefore = call.record.uncertainBefore,
                       .confirmed = call.record,
                       .releaseReason = {}};
    if (this->isAside(now))
        this->held->releaseReason = this->asideReason;
    this->writtenAt = call.sentAt;
    this->log(this->self, call.record.token, call.reason);
}

void LeaderElection::learn(const Known &newKnown)
{
    const bool isOtherHolder = !newKnown.holder.isEmpty() && !newKnown.isReleased
        && (!this->known || this->known->holder != newKnown.holder
            || this->known->token != newKnown.token);
    this->known = newKnown;
    this->prepared.reset();
    if (isOtherHolder)
        this->log(newKnown.holder, newKnown.token, LeaderChangeReason::Observed);
}

void LeaderElection::lose(LeaderChangeReason reason)
{
    this->log({}, this->held->token, reason);
    this->held.reset();
    this->announced.reset();
    this->actUntil = absl::InfinitePast();
}

void LeaderElection::checkAbsence(absl::Time now)
{
    if (this->held && !this->held->releaseReason && !this->isCandidate
        && now >= this->candidacySince + kAbsence)
        this->stepAside(StepAsideReason::NotCandidate, now);
}

void LeaderElection::log(const InstanceId &holder, FencingToken token, LeaderChangeReason reason)
{
    this->changes.push_back({holder, token, reason});
}

} // namespace foxtailtally
