#include "servers/admission/memory_ledger.h"

#include <algorithm>
#include <tuple>

namespace foxtailtally {

namespace {

// A permit granted this long before a report was taken has reached the engine: the start-by time
// of 1 s and half a second for the connection to the engine.
constexpr absl::Duration kStartSettle = absl::Milliseconds(1500);
// A report is used to free orphans only when releases of requests that had ended before it was
// taken have arrived, because each of them could otherwise be mistaken for a gone orphan.
constexpr absl::Duration kReleaseSettle = absl::Seconds(1);
// Ended permits are remembered for as long as a report can be late.
constexpr absl::Duration kEndedMemory = absl::Seconds(10);

} // namespace

void MemoryLedger::count(const LedgerEntry &entry, int sign)
{
    this->entryTokens += sign * entry.tokens;
    this->suspects += entry.isSuspect ? sign : 0;
    this->longOnes += entry.isLong ? sign : 0;
}

void MemoryLedger::add(PermitId key, const LedgerEntry &entry)
{
    const auto [place, isNew] = this->permits.try_emplace(key, entry);
    if (isNew)
        this->count(place->second, 1);
}

void MemoryLedger::adopt(PermitId key, const LedgerEntry &entry)
{
    if (this->permits.contains(key))
        return;
    this->unexplainedTokens = std::max<std::int64_t>(this->unexplainedTokens - entry.tokens, 0);
    this->unexplainedCount = std::max<std::int64_t>(this->unexplainedCount - 1, 0);
    this->add(key, entry);
}

bool MemoryLedger::remove(PermitId key, absl::Time now)
{
    const auto found = this->permits.find(key);
    if (found == this->permits.end())
        return false;
    this->count(found->second, -1);
    this->recentlyEnded.push_back({now, found->second.tokens});
    this->permits.erase(found);
    return true;
}

bool MemoryLedger::orphan(PermitId key, absl::Time now)
{
    const auto found = this->permits.find(key);
    if (found == this->permits.end())
        return false;
    this->orphans.push_back({std::move(found->second), now});
    this->permits.erase(found);
    return true;
}

void MemoryLedger::dropBefore(absl::Time started)
{
    for (const Orphan &orphan : this->orphans)
        this->count(orphan.entry, -1);
    this->orphans.clear();
    absl::erase_if(this->permits, [&](const auto &item) {
        if (item.second.grantedAt >= started)
            return false;
        this->count(item.second, -1);
        return true;
    });
    this->recentlyEnded.clear();
    this->pending = {};
    this->unexplainedTokens = 0;
    this->unexplainedCount = 0;
}

void MemoryLedger::onReport(const LoadReport &report, absl::Time now)
{
    const absl::Time takenAt = now - report.age;
    while (!this->recentlyEnded.empty() && this->recentlyEnded.front().at < now - kEndedMemory)
        this->recentlyEnded.pop_front();
    if (this->pending.isValid && now - this->pending.takenAt >= kReleaseSettle) {
        this->freeOrphans(this->pending, now);
        this->pending.isValid = false;
    }
    if (!this->pending.isValid)
        this->pending = {takenAt, report.running + report.queued, report.heldTokens, true};

    std::vector<PermitId> expired;
    for (const auto &[key, entry] : this->permits) {
        if (entry.expiry <= now)
            expired.push_back(key);
    }
    for (const PermitId key : expired)
        this->orphan(key, now);
    this->updateUnexplained(report, takenAt);
}

void MemoryLedger::updateUnexplained(const LoadReport &report, absl::Time takenAt)
{
    std::int64_t explainedTokens = this->entryTokens;
    auto explainedCount = static_cast<std::int64_t>(this->permits.size() + this->orphans.size());
    for (const Ended &ended : this->recentlyEnded) {
        if (ended.at < takenAt)
            continue;
        explainedTokens += ended.tokens;
        ++explainedCount;
    }
    this->unexplainedTokens = std::max<std::int64_t>(report.heldTokens - explainedTokens, 0);
    this->unexplainedCount =
        std::max<std::int64_t>(report.running + report.queued - explainedCount, 0);
}

void MemoryLedger::freeOrphans(const PendingReport &report, absl::Time now)
{
    if (this->orphans.empty())
        return;
    // Requests that were on the engine for certain; the others in the report may be orphans.
    std::int64_t certain = 0;
    for (const auto &[key, entry] : this->permits) {
        if (entry.grantedAt + kStartSettle <= report.takenAt)
            ++certain;
    }
    const bool isEmpty = report.requests == 0 && report.heldTokens == 0;
    // Late in the life of an orphan, permits that were on their way may explain the report too:
    // a server that always starts short requests would otherwise never free its orphans.
    const auto all = static_cast<std::int64_t>(this->permits.size());
    const auto firstNewer =
        std::partition(this->orphans.begin(), this->orphans.end(),
                       [&](const Orphan &orphan) { return orphan.since <= report.takenAt; });
    const std::int64_t newer = this->orphans.end() - firstNewer;
    const std::int64_t possible =
        isEmpty ? 0 : std::max<std::int64_t>(report.requests - certain, 0);
    std::int64_t toFree = (firstNewer - this->orphans.begin()) - possible;
    // The report does not name requests, so the largest orphans and suspects are freed last.
    std::sort(this->orphans.begin(), firstNewer, [](const Orphan &a, const Orphan &b) {
        return std::tuple(a.entry.isSuspect, a.entry.isLong, a.entry.tokens)
            < std::tuple(b.entry.isSuspect, b.entry.isLong, b.entry.tokens);
    });
    std::vector<Orphan> kept;
    for (auto orphan = this->orphans.begin(); orphan != this->orphans.end(); ++orphan) {
        const bool isOverdue =
            orphan < firstNewer && orphan->entry.expiry <= now && report.requests <= all + newer;
        if (orphan < firstNewer && (toFree-- > 0 || isOverdue))
            this->count(orphan->entry, -1);
        else
            kept.push_back(std::move(*orphan));
    }
    this->orphans = std::move(kept);
}

void MemoryLedger::setHold(const MemoryHold &hold)
{
    this->dropHold(hold.request);
    this->holds.push_back(hold);
}

void MemoryLedger::dropHold(const RequestId &request)
{
    std::erase_if(this->holds, [&](const MemoryHold &hold) { return hold.request == request; });
}

void MemoryLedger::dropHoldsOf(const InstanceId &holder)
{
    std::erase_if(this->holds, [&](const MemoryHold &hold) { return hold.holder == holder; });
}

void MemoryLedger::expireHolds(absl::Time now)
{
    std::erase_if(this->holds, [&](const MemoryHold &hold) { return hold.expiry <= now; });
}

std::int64_t MemoryLedger::usedTokens() const
{
    return this->entryTokens + this->unexplainedTokens;
}

std::int64_t MemoryLedger::freeTokensFor(const RequestId &request, bool isLong) const
{
    std::int64_t free = this->limitTokens - this->usedTokens();
    for (const MemoryHold &hold : this->holds) {
        if (hold.request != request && (isLong || hold.kind == HoldKind::AgainstAll))
            free -= hold.tokens;
    }
    return free;
}

std::int64_t MemoryLedger::requests() const
{
    return static_cast<std::int64_t>(this->permits.size() + this->orphans.size())
        + this->unexplainedCount;
}

} // namespace foxtailtally
