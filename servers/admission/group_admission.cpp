#include "servers/admission/group_admission.h"

#include "servers/quarantine/quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

// Later deadlines are shortened to this, since they would let a request wait without bound.
constexpr absl::Duration kMaxDeadline = absl::Minutes(5);
// Smaller requests may be granted ahead of a blocked request at the front of its lane for this
// long.
constexpr absl::Duration kMaxBypassTime = absl::Seconds(2);
// In a group of one server a hold for a long request blocks all short ones, so it starts later.
constexpr absl::Duration kMaxBypassTimeOnOneServer = absl::Seconds(30);
constexpr absl::Duration kBlockedHoldDuration = absl::Seconds(10);
// Grants for waiting requests are retried at this interval even when no event arrives.
constexpr absl::Duration kRecheckInterval = absl::Milliseconds(250);
// Latest start times of waiting requests are recomputed from new measurements at this interval.
constexpr absl::Duration kEstimateInterval = absl::Seconds(1);
// Prompts wait in this queue rather than on a server, where more urgent ones that arrive later
// would overtake them and make their predicted end wrong. This much prefill work keeps a server
// busy until the next grant.
constexpr absl::Duration kMaxPrefillAhead = absl::Milliseconds(250);
constexpr double kDeadlineMargin = 1.05;
constexpr absl::Duration kDeadlineOffset = absl::Milliseconds(50);
constexpr double kRetryMargin = 0.1;
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Minutes(1);
// A new server appears in the platform's list and in load reports after about this time.
constexpr absl::Duration kNoServerRetryAfter = absl::Seconds(5);
// Loans are renewed and load reports arrive within this time. A group without a usable server for
// longer refuses its requests, so that they can run in other groups, rather than keep them until
// their deadlines.
constexpr absl::Duration kNoCapacityTimeout = absl::Seconds(2);
constexpr absl::Duration kDrainingRetryAfter = absl::Seconds(1);

constexpr WaitLane kLanes[] = {WaitLane::Short, WaitLane::Suspect, WaitLane::Long,
                               WaitLane::Spanning};

/** Adds a safety margin for prediction errors to @p predicted. */
absl::Duration withMargin(absl::Duration predicted)
{
    return kDeadlineMargin * predicted + kDeadlineOffset;
}

absl::Duration clampRetryAfter(absl::Duration duration)
{
    return std::clamp(duration, kMinRetryAfter, kMaxRetryAfter);
}

RefuseAction refusalOf(const ReserveRequest &request, RefusalReason reason,
                       absl::Duration retryAfter)
{
    // The owner refuses only what it has not granted, so no server has run any of it.
    return {request.from, request.profile.id, {reason, true, retryAfter}};
}

} // namespace

GroupAdmission::GroupAdmission(AdmissionOptions options)
    : servers(std::move(options))
    , queue(this->servers.options().maxWaitingPerClass)
{ }

std::optional<Refusal> GroupAdmission::immediateRefusal(const RequestProfile &profile,
                                                        absl::Time now) const
{
    const auto refuse = [](RefusalReason reason, absl::Duration retryAfter) {
        return Refusal {reason, true, retryAfter};
    };
    if (this->stopReason != RefusalReason::None)
        return refuse(this->stopReason, kDrainingRetryAfter);
    if (profile.model != this->servers.options().model)
        return refuse(RefusalReason::UnknownModel, absl::ZeroDuration());
    if (this->servers.deathsOf(profile, now) >= kQuarantineDeaths)
        return refuse(RefusalReason::Quarantined, kQuarantineDuration);
    if (this->servers.totalMemory() == 0)
        return refuse(RefusalReason::NoServer, kNoServerRetryAfter);
    if (profile.memoryTokens() > this->servers.totalMemory())
        return refuse(RefusalReason::MemoryUnavailable, absl::ZeroDuration());
    const absl::Time latestStart = this->latestStartOf(profile);
    if (latestStart <= now)
        return refuse(RefusalReason::DeadlineUnreachable, absl::ZeroDuration());
    if (this->servers.isTakingOver(now) && latestStart <= this->servers.options().readyAt) {
        return refuse(RefusalReason::TakeoverInProgress,
                      clampRetryAfter(this->servers.options().readyAt - now));
    }
    return std::nullopt;
}

std::optional<Refusal> GroupAdmission::predictedRefusal(const RequestProfile &profile,
                                                        absl::Time now) const
{
    const std::int64_t tokens =
        this->queue.tokensAhead(profile.requestClass, this->laneOf(profile, now), profile.deadline);
    absl::Duration delay = this->servers.delays().delay(tokens, this->servers.usedTokens());
    absl::Duration backlog = absl::InfiniteDuration();
    for (const auto &[id, slot] : this->servers.slots()) {
        if (slot->isUsable())
            backlog = std::min(backlog, slot->predictor.backlog(profile.requestClass, now));
    }
    if (backlog < absl::InfiniteDuration())
        delay = std::max(delay, backlog);
    const absl::Duration excess = now + delay - this->latestStartOf(profile);
    if (excess <= absl::ZeroDuration())
        return std::nullopt;
    // After a wait of exactly the excess the request would just meet its deadline, so a small
    // estimation error would get it refused again.
    return Refusal {RefusalReason::DeadlineUnreachable, true,
                    clampRetryAfter(excess + kRetryMargin * delay)};
}

absl::Time GroupAdmission::latestStartOf(const RequestProfile &profile) const
{
    return profile.deadline - withMargin(this->servers.minServiceTime(profile));
}

bool GroupAdmission::isSpanning(const RequestProfile &profile) const
{
    const std::int64_t limit = this->servers.largestLimit();
    return profile.memoryTokens() > (limit > 0 ? limit : this->servers.largestMemory());
}

WaitLane GroupAdmission::laneOf(const RequestProfile &profile, absl::Time now) const
{
    if (profile.memoryTokens() > this->servers.largestMemory())
        return WaitLane::Spanning;
    if (this->servers.deathsOf(profile, now) > 0)
        return WaitLane::Suspect;
    return profile.promptTokens > kLongPromptTokens ? WaitLane::Long : WaitLane::Short;
}

AdmissionActions GroupAdmission::reserve(const ReserveRequest &request, absl::Time now)
{
    // An entry instance repeats a reservation after its connection broke; the first one is dropped
    // because its reply can no longer be delivered.
    this->removeWaiting(request.profile.id);
    WaitingRequest waiting;
    waiting.request = request;
    RequestProfile &profile = waiting.request.profile;
    profile.deadline = std::min(profile.deadline, now + kMaxDeadline);
    AdmissionActions actions;
    if (const std::optional<Refusal> refusal = this->immediateRefusal(profile, now)) {
        actions.emplace_back(RefuseAction {request.from, profile.id, *refusal});
        return actions;
    }
    waiting.lane = this->laneOf(profile, now);
    waiting.receivedAt = now;
    waiting.latestStart = this->latestStartOf(profile);
    const RequestProfile kept = profile;
    if (!this->queue.push(std::move(waiting))) {
        const std::int64_t ahead =
            this->queue.tokensAhead(kept.requestClass, this->laneOf(kept, now), kept.deadline);
        const absl::Duration delay =
            this->servers.delays().delay(ahead, this->servers.usedTokens());
        actions.emplace_back(refusalOf(request, RefusalReason::QueueFull, clampRetryAfter(delay)));
        return actions;
    }
    actions = this->dispatch(now);
    if (!this->queue.contains(kept.id) || this->servers.isTakingOver(now))
        return actions;
    if (const std::optional<Refusal> refusal = this->predictedRefusal(kept, now)) {
        this->removeWaiting(kept.id);
        actions.emplace_back(RefuseAction {request.from, kept.id, *refusal});
    }
    return actions;
}

AdmissionActions GroupAdmission::withdraw(const RequestId &request, absl::Time now)
{
    this->removeWaiting(request);
    return this->dispatch(now);
}

AdmissionActions GroupAdmission::release(const PermitRelease &release, absl::Time now)
{
    this->servers.release(release, now);
    return this->dispatch(now);
}

AdmissionActions GroupAdmission::onPermitReport(const PermitReport &report, absl::Time now)
{
    this->servers.onPermitReport(report, now);
    return this->dispatch(now);
}

AdmissionActions GroupAdmission::setServers(std::span<const BackendServer> list, absl::Time now)
{
    this->servers.setServers(list, now);
    AdmissionActions actions;
    if (this->servers.slots().empty())
        this->refuseAll(RefusalReason::NoServer, kNoServerRetryAfter, actions, now);
    AdmissionActions others = this->dispatch(now);
    std::move(others.begin(), others.end(), std::back_inserter(actions));
    return actions;
}

AdmissionActions GroupAdmission::setLimits(std::span<const UsableUnits> limits, absl::Time now)
{
    this->servers.setLimits(limits);
    return this->dispatch(now);
}

AdmissionActions GroupAdmission::onLoadReport(const LoadReport &report, absl::Time now)
{
    this->servers.onLoadReport(report, now);
    return this->dispatch(now);
}

AdmissionActions GroupAdmission::onServerLost(const BackendServerId &server, absl::Time now)
{
    this->servers.onServerLost(server, now);
    return this->dispatch(now);
}

AdmissionActions GroupAdmission::onInstanceDead(const InstanceId &instance, Incarnation incarnation,
                                                absl::Time now)
{
    for (const RequestId &request : this->queue.requestsOf(instance, incarnation))
        this->removeWaiting(request);
    this->servers.onInstanceDead(instance, incarnation, now);
    return this->dispatch(now);
}

AdmissionActions GroupAdmission::onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths,
                                           absl::Time now)
{
    this->servers.onSuspect(fingerprint, deaths, now);
    AdmissionActions actions;
    if (deaths >= kQuarantineDeaths) {
        for (const RequestId &id : this->queue.all()) {
            if (this->queue.find(id)->request.profile.fingerprint != fingerprint)
                continue;
            const std::optional<WaitingRequest> taken = this->removeWaiting(id);
            actions.emplace_back(
                refusalOf(taken->request, RefusalReason::Quarantined, kQuarantineDuration));
        }
    }
    AdmissionActions others = this->dispatch(now);
    std::move(others.begin(), others.end(), std::back_inserter(actions));
    return actions;
}

AdmissionActions GroupAdmission::stop(RefusalReason reason, absl::Time now)
{
    this->stopReason = reason;
    AdmissionActions actions;
    this->refuseAll(reason, kDrainingRetryAfter, actions, now);
    return actions;
}

AdmissionActions GroupAdmission::onTick(absl::Time now)
{
    return this->dispatch(now);
}

absl::Time GroupAdmission::nextTick() const
{
    if (this->queue.size() == 0)
        return this->planner.gatherEnd();
    absl::Time next =
        std::min(this->queue.earliestLatestStart(), this->lastDispatch + kRecheckInterval);
    // A server can take another prompt once less than kMaxPrefillAhead is left to prefill.
    for (const auto &[id, slot] : this->servers.slots()) {
        for (const bool isLong : {false, true}) {
            const absl::Time open = slot->predictor.prefilledBy(isLong) - kMaxPrefillAhead;
            if (open > this->lastDispatch)
                next = std::min(next, open);
        }
    }
    return next;
}

std::optional<WaitingRequest> GroupAdmission::removeWaiting(const RequestId &request)
{
    this->planner.stop(request, this->servers.slots());
    if (this->blockedHold && this->blockedHold->request == request) {
        const auto slot = this->servers.slots().find(this->blockedHold->server);
        if (slot != this->servers.slots().end())
            slot->second->ledger.dropHold(request);
        this->blockedHold.reset();
    }
    return this->queue.remove(request);
}

bool GroupAdmission::isEligible(const ServerSlot &slot, const RequestProfile &profile,
                                absl::Time now) const
{
    if (!slot.isUsable())
        return false;
    // If a server died with two suspects on it, the one that caused it could not be identified.
    // Requests of an earlier owner that no entry instance has reported yet may be suspects, too.
    if (this->servers.deathsOf(profile, now) > 0
        && (slot.ledger.hasSuspect() || slot.ledger.unexplainedRequests() > 0))
        return false;
    return profile.promptTokens <= kLongPromptTokens
        || LongContextPlanner::mayRunLong(this->servers.slots(), slot);
}

bool GroupAdmission::fits(const ServerSlot &slot, const RequestProfile &profile,
                          absl::Time now) const
{
    const bool isLong = profile.promptTokens > kLongPromptTokens;
    const StartPredictor &predictor = slot.predictor;
    // Urgent requests may use the whole server even while a long prompt is prefilled.
    const bool isBesideLong = !isLong && profile.requestClass != RequestClass::Urgent
        && this->servers.slots().size() > 1 && predictor.hasLongPrefill(now);
    const absl::Time availableAt =
        isBesideLong ? predictor.nextShortBesideLong() : predictor.prefilledBy(isLong);
    return availableAt <= now + kMaxPrefillAhead && slot.hasFreeUnit()
        && slot.ledger.freeTokensFor(profile.id, isLong) >= profile.memoryTokens()
        && this->isEligible(slot, profile, now);
}

std::vector<ServerSlot *> GroupAdmission::placeOnOne(const RequestProfile &profile,
                                                     absl::Time now) const
{
    const bool isLong = profile.promptTokens > kLongPromptTokens;
    ServerSlot *best = nullptr;
    std::tuple<bool, bool, absl::Duration> bestRank;
    for (const auto &[id, slot] : this->servers.slots()) {
        if (!this->fits(*slot, profile, now))
            continue;
        const absl::Duration end =
            slot->predictor.predict(profile, slot->ledger.requests(), now).end;
        if (now + withMargin(end) > profile.deadline)
            continue;
        // Long prompts prefer servers that already run a long request. Short prompts avoid these
        // servers until the long request ends, since its prefill can take longer than predicted.
        // Among the rest they prefer servers without prefill work, because engines finish a chunk
        // in progress before they start a new prompt.
        const bool isAvoided = isLong != slot->ledger.hasLong();
        const bool hasPrefill =
            !isLong && slot->predictor.backlog(RequestClass::Batch, now) > absl::ZeroDuration();
        const std::tuple<bool, bool, absl::Duration> rank {isAvoided, hasPrefill, end};
        if (best == nullptr || rank < bestRank) {
            best = slot.get();
            bestRank = rank;
        }
    }
    return best == nullptr ? std::vector<ServerSlot *> {} : std::vector<ServerSlot *> {best};
}

std::vector<ServerSlot *> GroupAdmission::place(const RequestProfile &profile, absl::Time now) const
{
    if (!this->isSpanning(profile))
        return this->placeOnOne(profile, now);
    if (this->servers.spanningCount() > 0)
        return {};
    return LongContextPlanner::plan(profile, this->servers.deathsOf(profile, now) > 0,
                                    this->servers.slots());
}

bool GroupAdmission::grantNext(AdmissionActions &actions, absl::Time now)
{
    for (const RequestClass requestClass : this->queue.classOrder()) {
        std::vector<WaitingRequest *> fronts;
        for (const WaitLane lane : kLanes) {
            if (WaitingRequest *front = this->queue.front(requestClass, lane))
                fronts.push_back(front);
        }
        std::stable_sort(fronts.begin(), fronts.end(),
                         [](const WaitingRequest *a, const WaitingRequest *b) {
                             return a->request.profile.deadline < b->request.profile.deadline;
                         });
        for (WaitingRequest *front : fronts) {
            const std::vector<ServerSlot *> chosen = this->place(front->request.profile, now);
            if (chosen.empty()) {
                front->blockedSince = std::min(front->blockedSince, now);
                continue;
            }
            const std::optional<WaitingRequest> taken =
                this->removeWaiting(front->request.profile.id);
            this->queue.charge(requestClass, taken->request.profile.memoryTokens());
            actions.emplace_back(
                this->servers.grant(taken->request, chosen, taken->receivedAt, now));
            return true;
        }
    }
    return false;
}

AdmissionActions GroupAdmission::dispatch(absl::Time now)
{
    AdmissionActions actions;
    this->lastDispatch = now;
    this->servers.expireHolds(now);
    this->planner.onTick(this->servers.slots(), now);
    // No server is usable during a takeover, which does not count as missing capacity.
    if (this->servers.largestLimit() > 0 || this->servers.isTakingOver(now))
        this->noCapacitySince = absl::InfiniteFuture();
    else
        this->noCapacitySince = std::min(this->noCapacitySince, now);
    if (this->queue.size() == 0)
        return actions;
    this->refuseUnreachable(actions, now);
    if (this->servers.isTakingOver(now))
        return actions;
    if (this->noCapacitySince + kNoCapacityTimeout <= now) {
        this->refuseAll(RefusalReason::NoServer, kNoServerRetryAfter, actions, now);
        return actions;
    }
    while (this->grantNext(actions, now)) { }
    this->updateHolds(now);
    return actions;
}

void GroupAdmission::refuseUnreachable(AdmissionActions &actions, absl::Time now)
{
    // Aligned to whole intervals, so that the time does not depend on other waiting requests.
    const absl::Time interval =
        absl::UnixEpoch() + absl::Floor(now - absl::UnixEpoch(), kEstimateInterval);
    if (interval > this->lastEstimate) {
        this->lastEstimate = interval;
        for (const RequestId &id : this->queue.all())
            this->queue.setLatestStart(id,
                                       this->latestStartOf(this->queue.find(id)->request.profile));
    }
    for (const RequestId &id : this->queue.unreachable(now)) {
        const absl::Time latestStart = this->latestStartOf(this->queue.find(id)->request.profile);
        if (latestStart > now) {
            this->queue.setLatestStart(id, latestStart);
            continue;
        }
        const std::optional<WaitingRequest> taken = this->removeWaiting(id);
        const RequestProfile &profile = taken->request.profile;
        const bool isTakingOver = this->servers.isTakingOver(now);
        const std::int64_t ahead = this->queue.tokensAhead(
            profile.requestClass, this->laneOf(profile, now), profile.deadline);
        const absl::Duration retryAfter = isTakingOver
            ? this->servers.options().readyAt - now
            : this->servers.delays().delay(ahead + profile.memoryTokens(),
                                           this->servers.usedTokens());
        actions.emplace_back(refusalOf(taken->request,
                                       isTakingOver ? RefusalReason::TakeoverInProgress
                                                    : RefusalReason::DeadlineUnreachable,
                                       clampRetryAfter(retryAfter)));
    }
}

void GroupAdmission::refuseAll(RefusalReason reason, absl::Duration retryAfter,
                               AdmissionActions &actions, absl::Time now)
{
    for (const RequestId &id : this->queue.all()) {
        const std::optional<WaitingRequest> taken = this->removeWaiting(id);
        actions.emplace_back(refusalOf(taken->request, reason, retryAfter));
    }
    this->lastDispatch = now;
}

void GroupAdmission::updateHolds(absl::Time now)
{
    if (this->blockedHold && this->blockedHold->endsAt <= now) {
        this->queue.setBlockedSince(this->blockedHold->request, now);
        this->blockedHold.reset();
    }
    const std::vector<RequestClass> order = this->queue.classOrder();
    for (const RequestClass requestClass : order) {
        const WaitingRequest *spanning = this->queue.front(requestClass, WaitLane::Spanning);
        if (spanning != nullptr && this->servers.spanningCount() == 0)
            this->planner.gather(spanning->request, this->servers.slots(), now);
    }
    // Only the class with the least weighted service may hold memory against the other classes.
    const auto leastServed =
        std::find_if(order.begin(), order.end(), [&](RequestClass requestClass) {
            return this->queue.sizeOnOneServer(requestClass) > 0;
        });
    if (this->blockedHold || leastServed == order.end())
        return;
    const WaitingRequest *first = nullptr;
    for (const WaitLane lane : {WaitLane::Short, WaitLane::Suspect, WaitLane::Long}) {
        const WaitingRequest *front = this->queue.front(*leastServed, lane);
        if (front == nullptr || front->blockedSince + this->maxBypassTime(front->request) > now)
            continue;
        if (first == nullptr || front->request.profile.deadline < first->request.profile.deadline)
            first = front;
    }
    if (first != nullptr && !this->isSpanning(first->request.profile))
        this->holdForBlocked(*first, now);
}

absl::Duration GroupAdmission::maxBypassTime(const ReserveRequest &request) const
{
    const bool isLong = request.profile.promptTokens > kLongPromptTokens;
    return isLong && this->servers.slots().size() < 2 ? kMaxBypassTimeOnOneServer : kMaxBypassTime;
}

void GroupAdmission::holdForBlocked(const WaitingRequest &waiting, absl::Time now)
{
    const RequestProfile &profile = waiting.request.profile;
    const bool isLong = profile.promptTokens > kLongPromptTokens;
    ServerSlot *best = nullptr;
    for (const auto &[id, slot] : this->servers.slots()) {
        if (!this->isEligible(*slot, profile, now) || slot->ledger.limit() < profile.memoryTokens())
            continue;
        const std::int64_t free = slot->ledger.freeTokensFor(profile.id, isLong);
        // Enough memory is free, so the request is blocked by something that a hold cannot solve.
        if (free >= profile.memoryTokens())
            return;
        if (best == nullptr || free > best->ledger.freeTokensFor(profile.id, isLong))
            best = slot.get();
    }
    if (best == nullptr)
        return;
    this->blockedHold = {profile.id, best->server.id, now + kBlockedHoldDuration};
    best->ledger.setHold({profile.id, waiting.request.from, profile.memoryTokens(),
                          this->blockedHold->endsAt, HoldKind::AgainstAll});
}

GroupSummary GroupAdmission::summary(absl::Time now)
{
    GroupSummary summary = this->servers.summary(now);
    summary.queued = static_cast<std::int32_t>(this->queue.size());
    summary.outstandingTokens += this->queue.promptTokens();
    for (std::size_t i = 0; i < kRequestClassCount; ++i) {
        const std::int64_t ahead = this->queue.tokensAhead(static_cast<RequestClass>(i),
                                                           WaitLane::Short, absl::InfiniteFuture());
        summary.startDelay[i] = std::max(
            summary.startDelay[i], this->servers.delays().delay(ahead, this->servers.usedTokens()));
    }
    summary.accepting = this->stopReason == RefusalReason::None && this->servers.largestLimit() > 0
        && !this->servers.isTakingOver(now);
    return summary;
}

} // namespace foxtailtally
