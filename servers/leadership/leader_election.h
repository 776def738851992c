#pragma once

#include "servers/leadership/lease_record.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailtally {

struct ElectionOptions
{
    /** At least 2.5 s: the right to act lasts for the term less kTransit. */
    absl::Duration term = absl::Seconds(3);
    /** No process of this system has run before, so nothing has been reported. */
    bool isFirstStart = false;
};

/** List the kind of the lease. */
struct ReadLease
{ };

/** Write the record if its object has the revision @ref ifRevision; kNoRevision: create it. */
struct WriteLease
{
    LeaseRecord record;
    std::int64_t ifRevision = StorePosition::kNoRevision;
};

using LeaseCall = std::variant<std::monostate, ReadLease, WriteLease>;

enum class StepAsideReason : std::uint8_t {
    /** The process ends; it does not become a candidate again. */
    Stopping,
    /** It has not been a candidate for LeaderElection::kAbsence. */
    NotCandidate,
    /** Its calls to the control API fail. */
    ControlApiFails,
};

enum class LeaderChangeReason : std::uint8_t {
    /** This process acquired the lease: it was released, it expired, there was none. */
    TookReleased,
    TookExpired,
    TookVacant,
    /** An acquisition or renewal without a response turned out to be done. */
    RecoveredOwn,
    /** This process released the lease. */
    ReleasedStopping,
    ReleasedNotCandidate,
    ReleasedControlApiFails,
    /** This process lost the lease: another write, a restored store, a deleted record. */
    LostToOther,
    LostToRestore,
    LostRecord,
    /** Another instance holds the lease. */
    Observed,
};

/** Name of @p reason for the log. */
std::string_view nameOf(LeaderChangeReason reason);

/** A change of holder, for the log. */
struct LeaderChange
{
    /** Empty when there is none. */
    InstanceId holder;
    FencingToken token = 0;
    LeaderChangeReason reason = LeaderChangeReason::Observed;

    bool operator==(const LeaderChange &) const = default;
};

/**
 * Decides whether this process holds the lease for the calls that one instance at a time may make.
 *
 * The caller performs what next() returns, at once and one call at a time, and reports exactly one
 * outcome for each: onRead() or onReadFailed() for a read, onWritten(), onWriteConflict(),
 * onWriteUnknown() or onNotDone() for a write (onNotDone() also for a read). A call without a
 * response has failed after kCallTimeout; a response that comes later is ignored. After each input,
 * and at nextAt(), the caller asks next() again.
 */
class LeaderElection
{
public:
    /** Largest time that a call to the control API takes from its last byte to its arrival. */
    static constexpr absl::Duration kTransit = absl::Seconds(1);
    /** Time after which a call to the store without a response has failed. */
    static constexpr absl::Duration kCallTimeout = absl::Milliseconds(600);
    /** The wait before a takeover is longer than the term by this. */
    static constexpr absl::Duration kTakeoverMargin = absl::Milliseconds(500);
    static constexpr absl::Duration kRenewInterval = absl::Seconds(1);
    /** The holder announces each confirmed write at once, and the last one at least this often. */
    static constexpr absl::Duration kAnnounceInterval = absl::Milliseconds(250);
    /** Candidates read when they have not heard the holder for this time: three announcements. */
    static constexpr absl::Duration kSilence = absl::Milliseconds(800);
    /** They also read when the announced revision is this old: the holder cannot renew. */
    static constexpr absl::Duration kReadAfter = absl::Milliseconds(1500);
    static constexpr absl::Duration kReadInterval = absl::Milliseconds(700);
    /** Wait of the holder after a call that failed. */
    static constexpr absl::Duration kRetryInterval = absl::Milliseconds(200);
    /** Time without candidacy after which a holder releases the lease. */
    static constexpr absl::Duration kAbsence = absl::Seconds(2);
    /** Time after stepping aside in which the process is not a candidate. */
    static constexpr absl::Duration kAsideTime = absl::Seconds(10);

    LeaderElection(InstanceId self, Incarnation incarnation, const ElectionOptions &options,
                   absl::Time now);

    /** @p stagger delays the reads of this candidate, so that those of the domains differ; a few
     * tens of milliseconds for each domain before the own one. */
    void setCandidate(bool isCandidate, absl::Duration stagger, absl::Time now);
    void onHolderHeard(const LeaseAnnouncement &announcement, absl::Time now);

    void onRead(const ObservedLease &observed, absl::Time now);
    void onReadFailed(absl::Time now);
    /** @p written: era of the response and new revision of the object. */
    void onWritten(const StorePosition &written, absl::Time now);
    /** 409 with the object as it is, or 404. */
    void onWriteConflict(const ObservedLease &observed, absl::Time now);
    /** No response, or an unusable one: the write may be done now, later or never. */
    void onWriteUnknown(absl::Time now);
    /** 503 or 429: nothing was done. */
    void onNotDone(absl::Time now);

    /** A call to the control API is written. To be called before its first byte is written. */
    void onActed(absl::Time now);
    /** All calls to the control API written so far have ended: with a response, or refused. A call
     * that timed out or was reset has not ended; it may still arrive. */
    void onActsEnded();
    /** Stop acting and release the lease, if held. Without the lease it only ends the candidacy. */
    void stepAside(StepAsideReason reason, absl::Time now);
    /** What the holder writes from now on. Ignored unless @p token is the current one. */
    void setContent(FencingToken token, const LeaseContent &content);

    /** The call to the store that is due; nothing while another one is under way. */
    LeaseCall next(absl::Time now);
    /** When next() has something to do, if no input comes before. */
    absl::Time nextAt() const;

    /** To be checked at the moment at which the bytes of a call are written. */
    bool mayAct(absl::Time now) const { return now < this->actUntil; }
    /** End of the right to act; InfinitePast without one. */
    absl::Time mayActUntil() const { return this->actUntil; }
    /** Token of the lease that this process holds; empty without one. */
    std::optional<FencingToken> token() const;
    /** Last record whose write was confirmed under the present token; null without one. */
    const LeaseRecord *confirmed() const;
    /** What to tell the other instances: the last confirmed write of this process, until a later
     * position is known. */
    std::optional<LeaseAnnouncement> announcement() const;
    /** The holder as far as it is known, which may be this instance; empty if there is none. */
    InstanceId holder() const;
    /** The process holds the lease and is releasing it; a planned stop waits for the end of it. */
    bool isReleasing() const;

    /** Changes of holder since the last call, for the log. */
    std::vector<LeaderChange> takeChanges();

private:
    /** What this process knows about the record. */
    struct Known
    {
        /** Position of the record, or of the store if there is none. */
        StorePosition position;
        absl::Time since = absl::InfinitePast();
        bool isMissing = false;
        bool isReleased = false;
        InstanceId holder;
        FencingToken token = 0;

        /** The holder has given up the lease. A released record in a restored store may be older
         * than a later acquisition. */
        bool isFree() const
        {
            return this->isReleased && eraOfToken(this->token) == this->position.era;
        }
    };

    /** The lease of this process. It keeps it until it learns that it has lost it. */
    struct Held
    {
        FencingToken token = 0;
        /** Position of the record that the next write replaces. */
        StorePosition position;
        LeaseContent content;
        absl::Time uncertainBefore = absl::InfinitePast();
        std::int64_t renewals = 0;
        bool isContentNew = false;
        /** A write may have been done, so the position is unknown. */
        bool mustRead = false;
        std::optional<LeaseRecord> confirmed;
        std::optional<StepAsideReason> releaseReason;
    };

    enum class Step : std::uint8_t { None, Read, Create, Acquire, Renew, Release };

    struct Due
    {
        Step step = Step::None;
        absl::Time at = absl::InfiniteFuture();
    };

    /** A call to the store that is under way. */
    struct CallUnderWay
    {
        Step step = Step::None;
        absl::Time sentAt;
        /** Era of the condition of a write. */
        std::int64_t era = 0;
        LeaseRecord record;
        LeaderChangeReason reason = LeaderChangeReason::TookVacant;
    };

    /** The write that a read has made possible. */
    struct Prepared
    {
        CallUnderWay call;
        std::int64_t ifRevision = StorePosition::kNoRevision;
        absl::Time readAt;
    };

    Due due() const;
    Due candidateDue() const;
    LeaseCall start(const CallUnderWay &call, std::int64_t ifRevision, absl::Time now);
    LeaseCall startHeldWrite(Step step, absl::Time now);
    /** Ends the call under way if it is a write. */
    std::optional<CallUnderWay> takeWrite();
    /** A response to a write shows an earlier position than the known one; only a store that went
     * back without a new era does so. */
    void onOlderResponse(absl::Time now);
    /** Takes over what a response shows; it is not older than what is known. */
    void observe(const ObservedLease &observed, absl::Time now);
    bool isOwn(const ObservedLease &observed) const;
    void keepOwn(const ObservedLease &observed, absl::Time now);
    void prepareWrite(const ObservedLease &observed, absl::Time now);
    void prepareCreation(const ObservedLease &observed, absl::Time now);
    /** Time from which this process may acquire the lease, if nothing changes. */
    absl::Time acquirableAt() const;
    void hold(const CallUnderWay &call, const StorePosition &written, absl::Time now);
    void learn(const Known &newKnown);
    void lose(LeaderChangeReason reason);
    void checkAbsence(absl::Time now);
    bool isAside(absl::Time now) const { return this->isStopping || now < this->asideUntil; }
    void log(const InstanceId &holder, FencingToken token, LeaderChangeReason reason);

    InstanceId self;
    Incarnation incarnation;
    ElectionOptions options;

    bool isCandidate = false;
    /** Of the last change of isCandidate. */
    absl::Time candidacySince;
    absl::Duration stagger = absl::ZeroDuration();
    bool isStopping = false;
    absl::Time asideUntil = absl::InfinitePast();
    StepAsideReason asideReason = StepAsideReason::Stopping;

    std::optional<Known> known;
    std::optional<Held> held;
    std::optional<CallUnderWay> underWay;
    std::optional<Prepared> prepared;
    /** An acquisition without a response has not been followed by a read. */
    bool isAcquisitionOpen = false;
    std::optional<LeaseAnnouncement> announced;

    absl::Time actUntil = absl::InfinitePast();
    /** Time of the last call to the control API, or the start of the process, before which an
     * earlier one may have called. */
    absl::Time actedAt;
    bool areActsOpen = false;
    /** Last announcement of the known position or a later one. */
    absl::Time heardAt = absl::InfinitePast();
    absl::Time readAt = absl::InfinitePast();
    absl::Time retryAt = absl::InfinitePast();
    /** When the last write under the present token was sent. */
    absl::Time writtenAt = absl::InfinitePast();
    std::vector<LeaderChange> changes;
};

} // namespace foxtailtally
