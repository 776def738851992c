#pragma once

#include "servers/claims/claim_log.h"
#include "servers/claims/claim_settings.h"
#include "servers/claims/claim_types.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <deque>
#include <optional>
#include <string>

namespace foxtailtally {

/**
 * One instance's view of one claim shard. Any instance may claim; the conditional update of the
 * active segment decides. A claim is granted only after its record is known to be in the log.
 *
 * At most one store call is in flight. A write whose reply is lost is read back. When the read
 * shows the old version, the write may still take effect, so it is retried with the same condition
 * until the store's reply is definite. While the store is unreachable, waiting requests are refused
 * as not run, and their attempts are recorded as not run once the store is reachable again.
 */
class ClaimShard
{
public:
    explicit ClaimShard(ClaimSettings settings);

    ClaimActions claim(ClaimRequest request, absl::Time now);
    /** Records how an attempt ended. Any instance may record it, not only the one that granted. */
    ClaimActions onOutcome(const OutcomeReport &report, absl::Time now);
    /** A reply that is lost or late must be reported as StoreOutcome::Lost. */
    ClaimActions onStoreReply(const StoreReply &reply, absl::Time now);
    ClaimActions onTick(absl::Time now);
    /** Latest time for the next onTick(); InfiniteFuture when there is nothing to wait for. */
    absl::Time nextTickAt() const;

    std::size_t waitingCount() const { return this->waiters.size(); }
    /**
     * Why claims are refused at present, or no error: StoreUnavailable, or DocumentInvalid when a
     * segment object cannot be parsed. That segment may contain any claim, so none can be granted.
     */
    std::error_code storeError() const;

private:
    enum class Phase {
        Unloaded,
        Listing,
        Idle,
        Writing,
        /** Reading the written slot after the reply to the write was lost. */
        ReadingBack,
        /** Reading the active slot, and those after it, after a conflict or for a poll. */
        Refreshing,
        /** The store does not answer, or a segment cannot be parsed. */
        StoreDown,
    };

    struct Waiter
    {
        ClaimRequest request;
        Fingerprint key {};
        /** Attempt in the write in flight; 0 when there is none. */
        std::uint64_t attempt = 0;
    };

    struct Outcome
    {
        ClaimRecord record;
        std::uint64_t attempt = 0;
        /** Whether the log has been read since the report arrived. */
        bool isRefreshed = false;
    };

    struct Batch
    {
        ClaimSegment segment;
        std::uint64_t baseVersion = 0;
        /** Attempt and fence by waiter. */
        std::vector<std::pair<std::uint64_t, ClaimRecord>> claims;
        std::vector<Outcome> outcomes;
        int lostReplies = 0;
    };

    using WaiterMap = absl::btree_map<std::uint64_t, Waiter>;

    // Requests.
    std::optional<Refusal> checkKey(const ClaimRequest &request, absl::Time now) const;
    /** Answers the waiter when the log determines the result. Returns whether it was answered. */
    bool answerFromLog(const Waiter &waiter, absl::Time now, ClaimActions &actions);
    /** Whether the waiter's key may be claimed now. */
    bool isClaimable(const Waiter &waiter, absl::Time now) const;
    bool isAttemptOver(const ClaimEntry &entry, absl::Time now) const;
    void refuse(const Waiter &waiter, RefusalReason reason, bool notRun, absl::Duration retryAfter,
                ClaimActions &actions) const;
    void expireWaiters(absl::Time now, ClaimActions &actions);
    void answerWaiters(absl::Time now, ClaimActions &actions);

    // Store.
    void advance(absl::Time now, ClaimActions &actions);
    bool needsStore() const;
    /**
     * Whether an outcome refers to a claim that this copy of the log may not contain yet. True once
     * per outcome: the log is then read, and the outcome is marked as refreshed.
     */
    bool isBehindOutcomes();
    void load(ClaimActions &actions);
    void refresh(ClaimActions &actions);
    void flush(absl::Time now, ClaimActions &actions);
    bool addOutcomes(Batch &batch, absl::Time now, ClaimActions &actions);
    bool addClaims(Batch &batch, absl::Time now);
    void write(ClaimActions &actions);
    void onListReply(const StoreReply &reply, absl::Time now, ClaimActions &actions);
    void onWriteReply(const StoreReply &reply, absl::Time now, ClaimActions &actions);
    void onReadReply(const StoreReply &reply, absl::Time now, ClaimActions &actions);
    /** Grants the claims and reports the outcomes of a batch whose records are in the log. */
    void commit(absl::Time now, ClaimActions &actions);
    /** Puts the claims and outcomes of a batch that is not in the log back into the queues. */
    void withdrawBatch();
    void enterStoreDown(Error reason, absl::Time now, ClaimActions &actions);
    void enterIdle();
    bool isBatchInLog() const;
    void recordAbandonedAsNotRun(absl::Time now);

    std::string slotKey(std::uint64_t slot) const;
    absl::Time wallTime(absl::Time now) const { return now + this->wallOffset; }
    std::uint64_t nextAttempt();

    ClaimSettings settings;
    std::string holder;
    ClaimLog log;
    Phase phase = Phase::Unloaded;
    std::uint64_t lastToken = 0;
    std::uint64_t readSlot = 0;
    std::uint64_t lastWaiter = 0;
    std::uint64_t attemptCount = 0;
    WaiterMap waiters;
    std::deque<Outcome> outcomes;
    std::optional<Batch> batch;
    /** Attempts of refused requests whose claims are or may still get into the log. */
    absl::flat_hash_set<std::uint64_t> abandoned;
    /** A write whose reply was lost may still take effect until the slot's version changes. */
    bool needsBarrier = false;
    int failures = 0;
    Error downReason = Error::Ok;
    absl::Time flushAt = absl::InfiniteFuture();
    absl::Time pollAt = absl::InfiniteFuture();
    absl::Time probeAt = absl::InfinitePast();
    /** Wall time minus `now`, as of the last request or report. */
    absl::Duration wallOffset = absl::ZeroDuration();
};

} // namespace foxtailtally
