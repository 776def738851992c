#include "servers/admission/memory_ledger.h"

#include <algorithm>
#include <tuple>

namespace foxtailtally {

namespace {

// A request granted this long before a report was taken has certainly reached the engine: the
// start-by time of 1 s plus half a second to connect to the engine.
constexpr absl::Duration kStartSettleTime = absl::Milliseconds(1500);
// A report frees orphans only after the releases of requests that ended before it was taken have
// arrived. Such a request is absent from the report, too, and could be mistaken for an orphan that
// has ended.
constexpr absl::Duration kReleaseSettleTime = absl::Seconds(1);
// Ended permits are kept for as long as a report can be late.
constexpr absl::Duration kEndedPermitRetention = absl::Seconds(10);

} // namespace

void MemoryLedger::updateTotals(const LedgerEntry &entry, int sign)
{
    this->entryTokens += sign * entry.tokens;
    this->entryRequests += entry.isPart ? 0 : sign;
    this->suspects += entry.isSuspect ? sign : 0;
    this->longRequests += entry.isLong ? sign : 0;
}

void MemoryLedger::add(PermitId key, const LedgerEntry &entry)
{
    const auto [place, isNew] = this->permits.try_emplace(key, entry);
    if (isNew)
        this->updateTotals(place->second, 1);
}

bool MemoryLedger::remove(PermitId key, absl::Time now)
{
    const auto found = this->permits.find(key);
    if (found != this->permits.end()) {
        this->updateTotals(found->second, -1);
        this->recentlyEnded.push_back({now, found->second.tokens});
        this->permits.erase(found);
        return true;
    }
    const auto orphan = std::find_if(this->orphans.begin(), this->orphans.end(),
                                     [&](const Orphan &item) { return item.permit == key; });
    if (orphan == this->orphans.end())
        return false;
    this->updateTotals(orphan->entry, -1);
    this->recentlyEnded.push_back({now, orphan->entry.tokens});
    this->orphans.erase(orphan);
    return true;
}

bool MemoryLedger::orphan(PermitId key, absl::Time since)
{
    const auto found = this->permits.find(key);
    if (found == this->permits.end())
        return false;
    this->orphans.push_back({key, std::move(found->second), since});
    this->permits.erase(found);
    return true;
}

void MemoryLedger::markSuspect(const Fingerprint &fingerprint)
{
    const auto mark = [&](LedgerEntry &entry) {
        if (entry.fingerprint != fingerprint || entry.isSuspect)
            return;
        entry.isSuspect = true;
        ++this->suspects;
    };
    for (auto &[key, entry] : this->permits)
        mark(entry);
    for (Orphan &orphan : this->orphans)
        mark(orphan.entry);
}

std::vector<Fingerprint> MemoryLedger::fingerprints() const
{
    std::vector<Fingerprint> all;
    for (const auto &[key, entry] : this->permits)
        all.push_back(entry.fingerprint);
    for (const Orphan &orphan : this->orphans)
        all.push_back(orphan.entry.fingerprint);
    return all;
}

void MemoryLedger::onRestart()
{
    this->pending = {};
    this->unexplainedTokens = 0;
    this->unexplainedCount = 0;
}

void MemoryLedger::onReport(const LoadReport &report, absl::Time now)
{
    while (!this->recentlyEnded.empty()
           && this->recentlyEnded.front().at < now - kEndedPermitRetention)
        this->recentlyEnded.pop_front();
    this->orphanExpired(now);
    if (this->pending.isValid && now - this->pending.receivedAt >= kReleaseSettleTime) {
        this->settle(this->pending, now);
        this->pending.isValid = false;
    }
    const PendingReport latest {now - report.age, now, report.running + report.queued,
                                report.heldTokens, true};
    this->raiseUnexplained(latest);
    // The report of an idle engine is unambiguous, so it is applied without waiting for releases.
    if (latest.requests == 0 && latest.heldTokens == 0)
        this->settle(latest, now);
    else if (!this->pending.isValid)
        this->pending = latest;
}

void MemoryLedger::orphanExpired(absl::Time now)
{
    std::vector<PermitId> expired;
    for (const auto &[key, entry] : this->permits) {
        if (entry.expiry <= now)
            expired.push_back(key);
    }
    for (const PermitId key : expired)
        this->orphan(key, now);
}

void MemoryLedger::raiseUnexplained(const PendingReport &report)
{
    std::int64_t tokens = this->entryTokens;
    std::int64_t requests = this->entryRequests;
    for (const Ended &ended : this->recentlyEnded) {
        if (ended.at < report.takenAt)
            continue;
        tokens += ended.tokens;
        ++requests;
    }
    this->unexplainedTokens = std::max(this->unexplainedTokens, report.heldTokens - tokens);
    this->unexplainedCount = std::max(this->unexplainedCount, report.requests - requests);
}

MemoryLedger::Usage MemoryLedger::certainUsageAt(absl::Time takenAt) const
{
    Usage certain;
    for (const auto &[key, entry] : this->permits) {
        if (entry.grantedAt + kStartSettleTime > takenAt)
            continue;
        certain.requests += entry.isPart ? 0 : 1;
        certain.tokens += entry.tokens;
    }
    return certain;
}

void MemoryLedger::settle(const PendingReport &report, absl::Time now)
{
    if (this->orphans.empty() && this->unexplainedCount == 0 && this->unexplainedTokens == 0)
        return;
    const bool isEmpty = report.requests == 0 && report.heldTokens == 0;
    const Usage certain = isEmpty ? Usage {} : this->certainUsageAt(report.takenAt);
    const Usage possible {std::max<std::int64_t>(report.requests - certain.requests, 0),
                          std::max<std::int64_t>(report.heldTokens - certain.tokens, 0)};
    this->unexplainedCount = std::min(this->unexplainedCount, possible.requests);
    this->unexplainedTokens = std::min(this->unexplainedTokens, possible.tokens);
    this->freeOrphans(report, possible, now);
}

void MemoryLedger::freeOrphans(const PendingReport &report, const Usage &possible, absl::Time now)
{
    // When only the server was lost, the holder may still start the request within its start-by
    // time.
    const auto firstNewer =
        std::partition(this->orphans.begin(), this->orphans.end(), [&](const Orphan &orphan) {
            return orphan.since <= report.takenAt
                && orphan.entry.grantedAt + kStartSettleTime <= report.takenAt;
        });
    // The report does not name requests, so suspects, long requests and large orphans are freed
    // last.
    std::sort(this->orphans.begin(), firstNewer, [](const Orphan &a, const Orphan &b) {
        return std::tuple(a.entry.isSuspect, a.entry.isLong, a.entry.tokens)
            < std::tuple(b.entry.isSuspect, b.entry.isLong, b.entry.tokens);
    });
    // On a server that keeps starting short requests, some permits are always too recent to count
    // as certain. An orphan past its expiry is therefore freed as soon as all permits together,
    // recent ones included, account for the requests in the report.
    std::int64_t known = 0;
    for (const auto &[key, entry] : this->permits)
        known += entry.isPart ? 0 : 1;
    known += std::count_if(firstNewer, this->orphans.end(),
                           [](const Orphan &orphan) { return !orphan.entry.isPart; });
    std::int64_t toFree = std::count_if(this->orphans.begin(), firstNewer,
                                        [](const Orphan &orphan) { return !orphan.entry.isPart; })
        - possible.requests;
    std::vector<Orphan> kept;
    for (auto orphan = this->orphans.begin(); orphan != this->orphans.end(); ++orphan) {
        bool isGone = report.requests <= known && orphan->entry.expiry <= now;
        // A context part holds memory on this server while its request runs on another one.
        if (orphan->entry.isPart)
            isGone = isGone || possible.tokens < orphan->entry.tokens;
        else
            isGone = isGone || toFree-- > 0;
        if (orphan < firstNewer && isGone)
            this->updateTotals(orphan->entry, -1);
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
    return this->entryRequests + this->unexplainedCount;
}

} // namespace foxtailtally
