#pragma once

#include "core/backend_server.h"
#include "core/ids.h"
#include "core/reservation.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <deque>
#include <vector>

namespace foxtailtally {

/** Memory of one server that one permit holds. */
struct LedgerEntry
{
    InstanceId holder;
    std::int64_t tokens = 0;
    absl::Time grantedAt;
    /** Time by which the request must have ended; a later permit is treated as orphaned. */
    absl::Time expiry = absl::InfiniteFuture();
    bool isLong = false;
    bool isSuspect = false;
    /** This entry is a part of a context whose request runs on another server. */
    bool isPart = false;
    Fingerprint fingerprint {};
};

/** Which other requests may not use the memory of a hold. */
enum class HoldKind : std::uint8_t {
    /** Long requests only; short ones use the held memory as if it were free. */
    AgainstLong,
    AgainstAll,
};

/** Memory kept for one waiting request while more is being freed. */
struct MemoryHold
{
    RequestId request;
    InstanceId holder;
    std::int64_t tokens = 0;
    absl::Time expiry;
    HoldKind kind = HoldKind::AgainstLong;
};

/**
 * Accounts for the memory of one backend server: permits, orphans (permits whose holder no longer
 * exists), holds for waiting requests, and unexplained use, which the engine reports but no permit
 * accounts for. The memory of a permit that ends normally is freed at once. Orphans and unexplained
 * use are freed only when load reports show that the engine no longer has them.
 *
 * Reports give totals and do not name requests. A permit whose request may not have reached the
 * engine when the report was taken, or may have ended by then, is therefore not subtracted from the
 * totals, because it could hide an orphan. The held tokens of an engine are the prompt and the
 * maximum new tokens of each request that runs or queues there.
 */
class MemoryLedger
{
public:
    void setLimit(std::int64_t tokens) { this->limitTokens = tokens; }
    std::int64_t limit() const { return this->limitTokens; }

    void add(PermitId key, const LedgerEntry &entry);
    /** Frees the memory of a permit or orphan that has ended; false when it is unknown. */
    bool remove(PermitId key, absl::Time now);
    /** Turns a permit into an orphan as of @p since; reports free its memory later. */
    bool orphan(PermitId key, absl::Time since);
    /** The engine restarted; discards the pending report and the unexplained use. */
    void onRestart();

    /** Marks all permits and orphans with this fingerprint as suspects. */
    void markSuspect(const Fingerprint &fingerprint);
    /** Fingerprints of all permits and orphans. */
    std::vector<Fingerprint> fingerprints() const;

    /** Reports of one incarnation must be passed in the order of their sequence. */
    void onReport(const LoadReport &report, absl::Time now);

    /** Sets or replaces the hold of one request. */
    void setHold(const MemoryHold &hold);
    void dropHold(const RequestId &request);
    /** Drops the holds of requests from a dead instance. */
    void dropHoldsOf(const InstanceId &holder);
    void expireHolds(absl::Time now);

    /** Tokens of permits, orphans and unexplained use; zero when nothing runs. */
    std::int64_t usedTokens() const;
    /** Tokens that @p request may take; negative while the limit is below the use. */
    std::int64_t freeTokensFor(const RequestId &request, bool isLong) const;
    /** Requests that are assumed to be on the server, unexplained ones included. */
    std::int64_t requests() const;
    /** Requests on the engine that no permit accounts for. */
    std::int64_t unexplainedRequests() const { return this->unexplainedCount; }
    bool hasSuspect() const { return this->suspects > 0; }
    bool hasLong() const { return this->longRequests > 0; }
    std::size_t orphanCount() const { return this->orphans.size(); }
    bool contains(PermitId key) const { return this->permits.contains(key); }

private:
    struct Orphan
    {
        PermitId permit = 0;
        LedgerEntry entry;
        absl::Time since;
    };
    struct Ended
    {
        absl::Time at;
        std::int64_t tokens;
    };
    /** A report that is applied once the releases in flight when it was taken have arrived. */
    struct PendingReport
    {
        /** The earliest time at which the report can have been taken. */
        absl::Time takenAt;
        absl::Time receivedAt;
        std::int64_t requests = 0;
        std::int64_t heldTokens = 0;
        bool isValid = false;
    };
    /** A number of requests with the memory they hold. */
    struct Usage
    {
        std::int64_t requests = 0;
        std::int64_t tokens = 0;
    };

    void updateTotals(const LedgerEntry &entry, int sign);
    void orphanExpired(absl::Time now);
    /** Usage of permits whose requests had certainly reached the engine at @p takenAt. */
    Usage certainUsageAt(absl::Time takenAt) const;
    /** Raises the unexplained use to what even the most recent permits cannot account for. */
    void raiseUnexplained(const PendingReport &report);
    /** Lowers the unexplained use and frees orphans that the report rules out. */
    void settle(const PendingReport &report, absl::Time now);
    /** @p possible is the reported usage that permits do not certainly account for. */
    void freeOrphans(const PendingReport &report, const Usage &possible, absl::Time now);

    absl::flat_hash_map<PermitId, LedgerEntry> permits;
    std::vector<Orphan> orphans;
    std::vector<MemoryHold> holds;
    std::deque<Ended> recentlyEnded;
    PendingReport pending;
    std::int64_t limitTokens = 0;
    /** Totals over permits and orphans. */
    std::int64_t entryTokens = 0;
    std::int64_t entryRequests = 0;
    std::int64_t suspects = 0;
    std::int64_t longRequests = 0;
    std::int64_t unexplainedTokens = 0;
    std::int64_t unexplainedCount = 0;
};

} // namespace foxtailtally
