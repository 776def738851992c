#include "servers/claims/claim_shard.h"

#include "core/hash.h"
#include "servers/claims/claim_keys.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace foxtailtally {

namespace {

/** Lost replies to one write after which the store counts as unreachable. */
constexpr int kMaxLostReplies = 3;
/** Number of digits of the slot in an object key. */
constexpr std::size_t kSlotDigits = 4;
constexpr int kMaxDoublings = 10;
constexpr absl::Duration kTableFullRetry = absl::Seconds(1);
constexpr absl::Duration kSlotFullRetry = absl::Seconds(10);

} // namespace

ClaimShard::ClaimShard(ClaimSettings settings)
    : settings(std::move(settings))
    , holder(this->settings.self.str() + "/" + std::to_string(this->settings.incarnation) + "/")
{ }

ClaimActions ClaimShard::claim(ClaimRequest request, absl::Time now)
{
    ClaimActions actions;
    this->wallOffset = request.receivedAt - now;
    const Fingerprint key = claimKeyDigest(request.customer, request.key);
    Waiter waiter {std::move(request), key, 0};
    if (const auto refusal = this->checkKey(waiter.request, now)) {
        actions.emplace_back(ClaimRefused {waiter.request.request, *refusal});
        return actions;
    }
    this->log.expire(this->wallTime(now));
    if (this->answerFromLog(waiter, now, actions))
        return actions;
    if (this->waiters.size() >= this->settings.maxWaiting) {
        this->refuse(waiter, RefusalReason::ClaimTableFull, true, kTableFullRetry, actions);
        return actions;
    }
    const bool mustWrite = this->log.find(key) == nullptr || this->isClaimable(waiter, now);
    if (this->phase == Phase::StoreDown && now < this->probeAt && mustWrite) {
        this->refuse(waiter, RefusalReason::StoreUnavailable, true, this->probeAt - now, actions);
        return actions;
    }
    this->waiters.emplace(++this->lastWaiter, std::move(waiter));
    this->advance(now, actions);
    return actions;
}

ClaimActions ClaimShard::onOutcome(const OutcomeReport &report, absl::Time now)
{
    ClaimActions actions;
    this->wallOffset = report.at - now;
    Outcome outcome;
    outcome.attempt = report.attempt;
    outcome.record.fence = report.fence;
    outcome.record.at = report.at;
    switch (report.outcome) {
    case AttemptOutcome::Done:
        outcome.record.kind = ClaimRecord::Kind::Done;
        outcome.record.answer = report.answer;
        outcome.record.isAnswerKept = true;
        break;
    case AttemptOutcome::Unknown:
        outcome.record.kind = ClaimRecord::Kind::Unknown;
        break;
    case AttemptOutcome::NotRun:
        outcome.record.kind = ClaimRecord::Kind::NotRun;
        break;
    }
    this->outcomes.push_back(std::move(outcome));
    this->advance(now, actions);
    return actions;
}

ClaimActions ClaimShard::onStoreReply(const StoreReply &reply, absl::Time now)
{
    ClaimActions actions;
    if (reply.token != this->lastToken)
        return actions;
    switch (this->phase) {
    case Phase::Listing:
        this->onListReply(reply, now, actions);
        break;
    case Phase::Writing:
        this->onWriteReply(reply, now, actions);
        break;
    case Phase::ReadingBack:
    case Phase::Refreshing:
        this->onReadReply(reply, now, actions);
        break;
    case Phase::Unloaded:
    case Phase::Idle:
    case Phase::StoreDown:
        return actions;
    }
    this->advance(now, actions);
    return actions;
}

ClaimActions ClaimShard::onTick(absl::Time now)
{
    ClaimActions actions;
    this->log.expire(this->wallTime(now));
    this->advance(now, actions);
    return actions;
}

absl::Time ClaimShard::nextTickAt() const
{
    absl::Time next = absl::InfiniteFuture();
    if (this->phase == Phase::Idle)
        next = std::min(this->flushAt, this->pollAt);
    if (this->phase == Phase::StoreDown && this->needsStore())
        next = this->probeAt;
    for (const auto &[id, waiter] : this->waiters)
        next = std::min(next, waiter.request.deadline);
    return next;
}

std::error_code ClaimShard::storeError() const
{
    return this->phase == Phase::StoreDown ? make_error_code(this->downReason) : std::error_code();
}

std::optional<Refusal> ClaimShard::checkKey(const ClaimRequest &request, absl::Time now) const
{
    const KeyDateCheck check = checkKeyDate(request.key, this->wallTime(now));
    if (check == KeyDateCheck::Accepted) {
        if (now >= request.deadline)
            return Refusal {RefusalReason::TimedOut, true, absl::ZeroDuration()};
        return std::nullopt;
    }
    // An earlier request with an expired key may have run; its claim may have been dropped.
    const bool notRun = check == KeyDateCheck::Malformed;
    return Refusal {RefusalReason::KeyExpired, notRun, absl::ZeroDuration()};
}

bool ClaimShard::answerFromLog(const Waiter &waiter, absl::Time now, ClaimActions &actions)
{
    const ClaimEntry *entry = this->log.find(waiter.key);
    if (entry == nullptr)
        return false;
    if (entry->claim.body != waiter.request.body) {
        // The request with this body has not run and will not; the first one may have run.
        this->refuse(waiter, RefusalReason::KeyReused, true, absl::ZeroDuration(), actions);
        return true;
    }
    if (entry->state == ClaimEntry::State::Done) {
        actions.emplace_back(
            ClaimReplay {waiter.request.request, entry->answer, entry->isAnswerKept});
        return true;
    }
    if (!this->isAttemptOver(*entry, now) || this->isClaimable(waiter, now))
        return false;
    if (entry->state == ClaimEntry::State::Claimed) {
        // Recorded so that other instances need not wait for the deadline too.
        Outcome outcome;
        outcome.record.kind = ClaimRecord::Kind::Unknown;
        outcome.record.fence = entry->claim.fence;
        outcome.record.at = this->wallTime(now);
        this->outcomes.push_back(std::move(outcome));
    }
    this->refuse(waiter, RefusalReason::OutcomeUnknown, false, absl::ZeroDuration(), actions);
    return true;
}

bool ClaimShard::isClaimable(const Waiter &waiter, absl::Time now) const
{
    const ClaimEntry *entry = this->log.find(waiter.key);
    if (entry == nullptr)
        return this->log.isLoaded();
    return entry->state != ClaimEntry::State::Done && entry->claim.body == waiter.request.body
        && entry->claim.checksFence && waiter.request.checksFence
        && this->isAttemptOver(*entry, now);
}

bool ClaimShard::isAttemptOver(const ClaimEntry &entry, absl::Time now) const
{
    return entry.state != ClaimEntry::State::Claimed
        || this->wallTime(now) >= entry.claim.deadline + this->settings.deadlineMargin;
}

void ClaimShard::refuse(const Waiter &waiter, RefusalReason reason, bool notRun,
                        absl::Duration retryAfter, ClaimActions &actions) const
{
    actions.emplace_back(
        ClaimRefused {waiter.request.request, Refusal {reason, notRun, retryAfter}});
}

void ClaimShard::expireWaiters(absl::Time now, ClaimActions &actions)
{
    absl::erase_if(this->waiters, [&](const auto &item) {
        const Waiter &waiter = item.second;
        const auto refusal = this->checkKey(waiter.request, now);
        if (!refusal)
            return false;
        if (waiter.attempt != 0)
            this->abandoned.insert(waiter.attempt);
        // While the log is not loaded or shows an attempt, an earlier request may have run.
        const bool mayHaveRun = this->log.find(waiter.key) != nullptr && waiter.attempt == 0;
        this->refuse(waiter, mayHaveRun ? RefusalReason::OutcomeUnknown : refusal->reason,
                     !mayHaveRun && refusal->notRun, refusal->retryAfter, actions);
        return true;
    });
}

void ClaimShard::answerWaiters(absl::Time now, ClaimActions &actions)
{
    bool isWaitingForOther = false;
    absl::erase_if(this->waiters, [&](const auto &item) {
        if (this->answerFromLog(item.second, now, actions))
            return true;
        isWaitingForOther = isWaitingForOther || !this->isClaimable(item.second, now);
        if (this->isClaimable(item.second, now) && this->flushAt == absl::InfiniteFuture())
            this->flushAt = now + this->settings.window;
        return false;
    });
    if (!this->outcomes.empty() && this->flushAt == absl::InfiniteFuture())
        this->flushAt = now + this->settings.window;
    if (!isWaitingForOther)
        this->pollAt = absl::InfiniteFuture();
    else if (this->pollAt == absl::InfiniteFuture())
        this->pollAt = now + this->settings.pollInterval;
}

void ClaimShard::advance(absl::Time now, ClaimActions &actions)
{
    this->expireWaiters(now, actions);
    if (this->phase == Phase::Unloaded && this->needsStore())
        this->load(actions);
    if (this->phase == Phase::StoreDown && this->needsStore() && now >= this->probeAt) {
        if (this->log.isLoaded())
            this->refresh(actions);
        else
            this->load(actions);
    }
    if (this->phase != Phase::Idle)
        return;
    this->recordAbandonedAsNotRun(now);
    this->answerWaiters(now, actions);
    if (this->isBehindOutcomes()) {
        this->refresh(actions);
        return;
    }
    if (now >= this->flushAt || this->needsBarrier)
        this->flush(now, actions);
    if (this->phase == Phase::Idle && now >= this->pollAt) {
        this->pollAt = absl::InfiniteFuture();
        this->refresh(actions);
    }
}

bool ClaimShard::isBehindOutcomes()
{
    for (Outcome &outcome : this->outcomes) {
        // The outcome is of a claim that another instance wrote to the log.
        if (outcome.isRefreshed || outcome.record.fence < this->log.active().nextFence())
            continue;
        outcome.isRefreshed = true;
        return true;
    }
    return false;
}

bool ClaimShard::needsStore() const
{
    return !this->waiters.empty() || !this->outcomes.empty() || this->needsBarrier;
}

void ClaimShard::load(ClaimActions &actions)
{
    this->phase = Phase::Listing;
    this->log.reset();
    actions.emplace_back(
        StoreList {++this->lastToken, absl::StrFormat("claims/%u/", this->settings.shard), ""});
}

void ClaimShard::refresh(ClaimActions &actions)
{
    this->phase = Phase::Refreshing;
    const ClaimSegment draft = this->log.draft();
    this->readSlot = ClaimLog::slotOf(draft.number());
    actions.emplace_back(StoreRead {++this->lastToken, this->slotKey(this->readSlot)});
}

void ClaimShard::flush(absl::Time now, ClaimActions &actions)
{
    this->flushAt = absl::InfiniteFuture();
    Batch next {this->log.draft(), 0, {}, {}, 0};
    const std::uint64_t number = next.segment.number();
    if (!this->log.isSlotFree(number, this->wallTime(now))) {
        absl::erase_if(this->waiters, [&](const auto &item) {
            if (!this->isClaimable(item.second, now))
                return false;
            this->refuse(item.second, RefusalReason::ClaimTableFull, true, kSlotFullRetry, actions);
            return true;
        });
        if (!this->outcomes.empty())
            this->flushAt = now + kSlotFullRetry;
        return;
    }
    next.baseVersion = this->log.versionOf(number);
    const bool isComplete = this->addOutcomes(next, now, actions) && this->addClaims(next, now);
    if (!isComplete) {
        next.segment.seal();
        this->flushAt = now;
    }
    if (next.claims.empty() && next.outcomes.empty() && isComplete && !this->needsBarrier)
        return;
    this->batch = std::move(next);
    this->write(actions);
}

bool ClaimShard::addOutcomes(Batch &batch, absl::Time now, ClaimActions &actions)
{
    while (!this->outcomes.empty()) {
        Outcome &outcome = this->outcomes.front();
        const ClaimEntry *entry = this->log.findByFence(outcome.record.fence);
        const bool isNews = entry != nullptr && entry->state != ClaimEntry::State::Done
            && !(entry->state == ClaimEntry::State::Unknown
                 && outcome.record.kind == ClaimRecord::Kind::Unknown);
        if (!isNews) {
            // Already recorded, past its retention, or replaced by a newer attempt.
            if (outcome.attempt != 0)
                actions.emplace_back(ClaimRecorded {outcome.attempt, entry == nullptr});
            this->outcomes.pop_front();
            continue;
        }
        outcome.record.at = std::max(outcome.record.at, this->wallTime(now));
        if (!batch.segment.tryAppend(outcome.record))
            return false;
        batch.outcomes.push_back(std::move(outcome));
        this->outcomes.pop_front();
    }
    return true;
}

bool ClaimShard::addClaims(Batch &batch, absl::Time now)
{
    absl::flat_hash_set<Fingerprint> taken;
    // An outcome in this batch may decide a waiting key, but the log shows it only after the write.
    for (const Outcome &outcome : batch.outcomes)
        if (const ClaimEntry *entry = this->log.findByFence(outcome.record.fence))
            taken.insert(entry->claim.key);
    for (auto &[id, waiter] : this->waiters) {
        if (!this->isClaimable(waiter, now) || taken.contains(waiter.key))
            continue;
        ClaimRecord record;
        record.kind = ClaimRecord::Kind::Claimed;
        record.fence = batch.segment.nextFence();
        record.at = this->wallTime(now);
        record.key = waiter.key;
        record.body = waiter.request.body;
        record.attempt = this->nextAttempt();
        record.deadline = this->wallTime(waiter.request.deadline);
        record.checksFence = waiter.request.checksFence;
        if (!batch.segment.tryAppend(record))
            return false;
        waiter.attempt = record.attempt;
        taken.insert(waiter.key);
        batch.claims.emplace_back(id, std::move(record));
    }
    return true;
}

void ClaimShard::write(ClaimActions &actions)
{
    this->phase = Phase::Writing;
    actions.emplace_back(StoreWrite {++this->lastToken,
                                     this->slotKey(ClaimLog::slotOf(this->batch->segment.number())),
                                     this->batch->baseVersion, this->batch->segment.serialize()});
}

void ClaimShard::onListReply(const StoreReply &reply, absl::Time now, ClaimActions &actions)
{
    if (reply.outcome != StoreOutcome::Ok) {
        this->enterStoreDown(Error::StoreUnavailable, now, actions);
        return;
    }
    for (const StoreItem &item : reply.items) {
        std::uint64_t slot = 0;
        const std::string digits = item.key.substr(this->slotKey(0).size() - kSlotDigits);
        if (!absl::SimpleAtoi(digits, &slot) || slot >= kSegmentSlots
            || this->log.addListed(slot, item.version, item.value)) {
            this->enterStoreDown(Error::DocumentInvalid, now, actions);
            return;
        }
    }
    if (reply.more && !reply.items.empty()) {
        actions.emplace_back(StoreList {++this->lastToken,
                                        absl::StrFormat("claims/%u/", this->settings.shard),
                                        reply.items.back().key});
        return;
    }
    if (this->log.finishLoading())
        this->enterIdle();
    else
        this->load(actions);
}

void ClaimShard::onWriteReply(const StoreReply &reply, absl::Time now, ClaimActions &actions)
{
    switch (reply.outcome) {
    case StoreOutcome::Ok:
        this->log.applyWrite(this->batch->segment, reply.version);
        this->commit(now, actions);
        this->enterIdle();
        return;
    case StoreOutcome::Conflict:
    case StoreOutcome::NotFound:
        // Another instance wrote first, or an earlier attempt at the same write took effect.
        this->refresh(actions);
        return;
    case StoreOutcome::Lost:
        this->needsBarrier = true;
        if (++this->batch->lostReplies >= kMaxLostReplies) {
            this->enterStoreDown(Error::StoreUnavailable, now, actions);
            return;
        }
        this->phase = Phase::ReadingBack;
        this->readSlot = ClaimLog::slotOf(this->batch->segment.number());
        actions.emplace_back(StoreRead {++this->lastToken, this->slotKey(this->readSlot)});
        return;
    case StoreOutcome::Unavailable:
        this->enterStoreDown(Error::StoreUnavailable, now, actions);
        return;
    }
}

void ClaimShard::onReadReply(const StoreReply &reply, absl::Time now, ClaimActions &actions)
{
    if (reply.outcome != StoreOutcome::Ok && reply.outcome != StoreOutcome::NotFound) {
        this->enterStoreDown(Error::StoreUnavailable, now, actions);
        return;
    }
    const bool isUnchanged = this->batch
        && this->batch->baseVersion
            == (reply.outcome == StoreOutcome::NotFound ? 0 : reply.version);
    const bool isBatchSlot =
        this->batch && this->readSlot == ClaimLog::slotOf(this->batch->segment.number());
    if (this->phase == Phase::ReadingBack && isUnchanged) {
        this->write(actions);
        return;
    }
    // Writes whose reply was lost have the batch's base version of this slot or an older one as
    // their condition, so they fail once the slot has a newer version.
    if (isBatchSlot && !isUnchanged)
        this->needsBarrier = false;
    const Result<ClaimLog::ReadResult> readResult = reply.outcome == StoreOutcome::NotFound
        ? Result<ClaimLog::ReadResult>(this->log.applyAbsentRead(this->readSlot))
        : this->log.applyRead(this->readSlot, reply.version, reply.value);
    if (!readResult.ok()) {
        this->enterStoreDown(Error::DocumentInvalid, now, actions);
        return;
    }
    if (*readResult == ClaimLog::ReadResult::Outdated) {
        // Whether the batch was written is unknown until the log has been reloaded.
        this->withdrawBatch();
        this->load(actions);
        return;
    }
    if (*readResult != ClaimLog::ReadResult::NotCreated && this->log.active().isSealed()) {
        this->refresh(actions);
        return;
    }
    if (this->batch) {
        if (this->isBatchInLog())
            this->commit(now, actions);
        else
            this->withdrawBatch();
        this->flushAt = now;
    }
    this->enterIdle();
}

bool ClaimShard::isBatchInLog() const
{
    // A write is atomic: its records are in the log together or not at all.
    for (const auto &[id, record] : this->batch->claims)
        return this->log.fenceOf(record.attempt).has_value();
    return false;
}

void ClaimShard::commit(absl::Time now, ClaimActions &actions)
{
    // The slot has a new version, so no earlier write can take effect.
    this->needsBarrier = false;
    const Batch done = std::move(*this->batch);
    this->batch.reset();
    for (const auto &[id, record] : done.claims) {
        const auto found = this->waiters.find(id);
        if (found == this->waiters.end())
            continue;
        actions.emplace_back(
            ClaimGranted {found->second.request.request, record.key, record.attempt, record.fence});
        this->waiters.erase(found);
    }
    for (const Outcome &outcome : done.outcomes)
        if (outcome.attempt != 0)
            actions.emplace_back(ClaimRecorded {outcome.attempt, false});
    this->recordAbandonedAsNotRun(now);
}

void ClaimShard::withdrawBatch()
{
    if (!this->batch)
        return;
    for (const auto &[id, record] : this->batch->claims) {
        const auto found = this->waiters.find(id);
        if (found != this->waiters.end())
            found->second.attempt = 0;
    }
    for (auto outcome = this->batch->outcomes.rbegin(); outcome != this->batch->outcomes.rend();
         ++outcome)
        this->outcomes.push_front(std::move(*outcome));
    this->batch.reset();
}

void ClaimShard::enterStoreDown(Error reason, absl::Time now, ClaimActions &actions)
{
    this->phase = Phase::StoreDown;
    this->downReason = reason;
    const int doublings = std::min(this->failures++, kMaxDoublings);
    this->probeAt = now
        + std::min(this->settings.maxBackoff,
                   this->settings.initialBackoff * (std::int64_t {1} << doublings));
    absl::erase_if(this->waiters, [&](const auto &item) {
        const Waiter &waiter = item.second;
        if (this->log.find(waiter.key) != nullptr && !this->isClaimable(waiter, now))
            return false;
        if (waiter.attempt != 0)
            this->abandoned.insert(waiter.attempt);
        this->refuse(waiter, RefusalReason::StoreUnavailable, true, this->probeAt - now, actions);
        return true;
    });
    this->withdrawBatch();
}

void ClaimShard::enterIdle()
{
    this->phase = Phase::Idle;
    this->failures = 0;
}

void ClaimShard::recordAbandonedAsNotRun(absl::Time now)
{
    absl::erase_if(this->abandoned, [&](std::uint64_t attempt) {
        if (const auto fence = this->log.fenceOf(attempt)) {
            Outcome outcome;
            outcome.record.kind = ClaimRecord::Kind::NotRun;
            outcome.record.fence = *fence;
            outcome.record.at = this->wallTime(now);
            this->outcomes.push_back(std::move(outcome));
            return true;
        }
        // The attempt is not in the log. Forget it once no pending write can add it.
        return !this->needsBarrier && !this->batch;
    });
}

std::string ClaimShard::slotKey(std::uint64_t slot) const
{
    return absl::StrFormat("claims/%u/%04u", this->settings.shard, slot);
}

std::uint64_t ClaimShard::nextAttempt()
{
    return stableHash(this->holder + std::to_string(++this->attemptCount));
}

} // namespace foxtailtally
