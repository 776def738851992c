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
    /** The request has ended by then; a permit that outlives it is treated as orphaned. */
    absl::Time expiry = absl::InfiniteFuture();
    bool isLong = false;
    bool isSuspect = false;
    /** Holds a part of a context whose request runs on another server. */
    bool isPart = false;
    Fingerprint fingerprint {};
};

/** Which other requests a hold keeps away. */
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
 * Memory of one backend server: permits, orphans (permits whose user is gone), holds for waiting
 * requests, and what the engine reports without a permit that explains it. A permit that ends
 * normally is freed at once. Orphans and unexplained use are freed only when load reports show that
 * the engine no longer has them.
 *
 * Reports give sums and do not name requests. A permit that may not have reached the engine when
 * the report was taken, or may have ended by then, is therefore not set off against them, because
 * it could hide an orphan. The engine's held tokens count the prompt and the allowed new tokens of
 * each request that runs or queues there.
 */
class MemoryLedger
{
public:
    void setLimit(std::int64_t tokens) { this->limitTokens = tokens; }
    std::int64_t limit() const { return this->limitTokens; }

    void add(PermitId key, const LedgerEntry &entry);
    /** Frees the memory of a permit or orphan that has ended; false when it is unknown. */
    bool remove(PermitId key, absl::Time now);
    /** Keeps the memory of a permit whose use ended at @p since until reports show it gone. */
    bool orphan(PermitId key, absl::Time since);
    /** The engine restarted; what it reports from now on is compared with the permits anew. */
    void onRestart();

    /** Takes all permits and orphans with this fingerprint for suspects. */
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
    /** Requests that are taken to be on the server. */
    std::int64_t requests() const;
    /** Requests on the engine that no permit explains. */
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
    /** A report that waits until releases that were under way when it was taken have arrived. */
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
    /** Use by permits that were on the engine for certain when a report was taken. */
    Usage certainUsageAt(absl::Time takenAt) const;
    /** Raises the unexplained use to what no permit, however recent, can explain. */
    void raiseUnexplained(const PendingReport &report);
    /** Lowers the unexplained use and frees orphans as far as the report rules them out. */
    void settle(const PendingReport &report, absl::Time now);
    /** @p possible is the use that permits do not explain for certain. */
    void freeOrphans(const PendingReport &report, const Usage &possible, absl::Time now);

    absl::flat_hash_map<PermitId, LedgerEntry> permits;
    std::vector<Orphan> orphans;
    std::vector<MemoryHold> holds;
    std::deque<Ended> recentlyEnded;
    PendingReport pending;
    std::int64_t limitTokens = 0;
    /** Of permits and orphans. */
    std::int64_t entryTokens = 0;
    std::int64_t entryRequests = 0;
    std::int64_t suspects = 0;
    std::int64_t longRequests = 0;
    std::int64_t unexplainedTokens = 0;
    std::int64_t unexplainedCount = 0;
};

} // namespace foxtailtally
