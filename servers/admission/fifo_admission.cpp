#include "servers/admission/fifo_admission.h"

#include "servers/admission/long_context_planner.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxDeadline = absl::Minutes(5);
// A request is refused this long before its deadline, so that the reply arrives in time.
constexpr absl::Duration kAnswerMargin = absl::Milliseconds(10);

RefuseAction refusalOf(const ReserveRequest &request, RefusalReason reason)
{
    return {request.from, request.profile.id, {reason, true, kRetryAfter}};
}

} // namespace

FifoAdmission::FifoAdmission(AdmissionOptions options)
    : servers(std::move(options))
{ }

AdmissionActions FifoAdmission::reserve(const ReserveRequest &request, absl::Time now)
{
    RefusalReason reason = this->stopReason;
    if (reason == RefusalReason::None && this->servers.slots().empty())
        reason = RefusalReason::NoServer;
    else if (reason == RefusalReason::None
             && request.profile.memoryTokens() > this->servers.totalMemory())
        reason = RefusalReason::MemoryUnavailable;
    else if (reason == RefusalReason::None
             && this->queue.size()
                 >= this->servers.options().maxWaitingPerClass * kRequestClassCount)
        reason = RefusalReason::QueueFull;
    if (reason != RefusalReason::None)
        return {refusalOf(request, reason)};
    this->queue.push_back({request, now});
    RequestProfile &profile = this->queue.back().request.profile;
    profile.deadline = std::min(profile.deadline, now + kMaxDeadline);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::withdraw(const RequestId &request, absl::Time now)
{
    std::erase_if(this->queue,
                  [&](const Waiting &item) { return item.request.profile.id == request; });
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::release(const PermitRelease &release, absl::Time now)
{
    this->servers.release(release, now);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::onPermitReport(const PermitReport &report, absl::Time now)
{
    this->servers.onPermitReport(report, now);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::setServers(std::span<const BackendServer> list, absl::Time now)
{
    this->servers.setServers(list, now);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::setLimits(std::span<const UsableUnits> limits, absl::Time now)
{
    this->servers.setLimits(limits);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::onLoadReport(const LoadReport &report, absl::Time now)
{
    this->servers.onLoadReport(report, now);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::onServerLost(const BackendServerId &server, absl::Time now)
{
    this->servers.onServerLost(server, now);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::onInstanceDead(const InstanceId &instance, Incarnation incarnation,
                                               absl::Time now)
{
    std::erase_if(this->queue, [&](const Waiting &item) {
        return item.request.from == instance && item.request.fromIncarnation <= incarnation;
    });
    this->servers.onInstanceDead(instance, incarnation, now);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths,
                                          absl::Time now)
{
    this->servers.onSuspect(fingerprint, deaths, now);
    return this->dispatch(now);
}

AdmissionActions FifoAdmission::stop(RefusalReason reason, absl::Time)
{
    this->stopReason = reason;
    AdmissionActions actions;
    for (const Waiting &item : this->queue)
        actions.emplace_back(refusalOf(item.request, reason));
    this->queue.clear();
    return actions;
}

AdmissionActions FifoAdmission::onTick(absl::Time now)
{
    return this->dispatch(now);
}

absl::Time FifoAdmission::nextTick() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const Waiting &item : this->queue)
        next = std::min(next, item.request.profile.deadline - kAnswerMargin);
    if (!this->queue.empty() && !this->isReady)
        next = std::min(next, this->servers.options().readyAt);
    return next;
}

std::vector<ServerSlot *> FifoAdmission::place(const RequestProfile &profile, absl::Time now) const
{
    const bool isSuspect = this->servers.deathsOf(profile, now) > 0;
    if (profile.memoryTokens() > this->servers.largestLimit()) {
        return this->servers.spanningCount() > 0
            ? std::vector<ServerSlot *> {}
            : LongContextPlanner::plan(profile, isSuspect, this->servers.slots());
    }
    ServerSlot *best = nullptr;
    std::int64_t bestFree = profile.memoryTokens() - 1;
    for (const auto &[id, slot] : this->servers.slots()) {
        const bool isAvailable = slot->isUsable() && slot->hasFreeUnit()
            && (!isSuspect
                || (!slot->ledger.hasSuspect() && slot->ledger.unexplainedRequests() == 0));
        const std::int64_t free = slot->ledger.freeTokensFor(profile.id, false);
        if (isAvailable && free > bestFree) {
            best = slot.get();
            bestFree = free;
        }
    }
    return best == nullptr ? std::vector<ServerSlot *> {} : std::vector<ServerSlot *> {best};
}

AdmissionActions FifoAdmission::dispatch(absl::Time now)
{
    AdmissionActions actions;
    this->isReady = !this->servers.isTakingOver(now);
    std::erase_if(this->queue, [&](const Waiting &item) {
        if (item.request.profile.deadline - kAnswerMargin > now)
            return false;
        actions.emplace_back(refusalOf(item.request, RefusalReason::TimedOut));
        return true;
    });
    while (!this->queue.empty() && this->isReady) {
        const Waiting &first = this->queue.front();
        const std::vector<ServerSlot *> chosen = this->place(first.request.profile, now);
        if (chosen.empty())
            break;
        actions.emplace_back(this->servers.grant(first.request, chosen, first.receivedAt, now));
        this->queue.pop_front();
    }
    return actions;
}

GroupSummary FifoAdmission::summary(absl::Time now)
{
    GroupSummary summary = this->servers.summary(now);
    summary.queued = static_cast<std::int32_t>(this->queue.size());
    for (const Waiting &item : this->queue)
        summary.outstandingTokens += item.request.profile.promptTokens;
    summary.accepting = this->stopReason == RefusalReason::None && summary.servers > 0
        && !this->servers.isTakingOver(now);
    return summary;
}

} // namespace foxtailtally
