#pragma once

#include "core/ids.h"
#include "core/request.h"
#include "servers/quarantine/crash_report.h"
#include "servers/quarantine/served_call_cache.h"
#include "servers/quarantine/server_listing.h"
#include "servers/quarantine/suspect_placement.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace foxtailtally {

/** Default number of server deaths after which a request that ran on these servers is quarantined.
 */
constexpr std::size_t kQuarantineDeaths = 2;

/** Time for which a death counts, and for which a quarantined request is refused. Long enough to
 * stop a caller that retries every few minutes, short enough to allow a retry after the servers
 * have been repaired. */
constexpr absl::Duration kQuarantineDuration = absl::Hours(1);

/** Time for which a call that was served is trusted not to crash servers. It is limited because the
 * servers may be replaced later by others that the call does crash. */
constexpr absl::Duration kServedRetention = absl::Minutes(1);

struct QuarantineOptions
{
    std::size_t deaths = kQuarantineDeaths;
    std::size_t maxFingerprints = 4096;
    /** Number of served calls that are remembered for kServedRetention. */
    std::size_t maxServed = 4096;
    /** Time after which a server that has ended is no longer in the platform's list. */
    absl::Duration listRemovalDelay = absl::Seconds(6);
};

/** Deaths of a server within this time are the same death: a server takes longer to restart and to
 * receive the request again. */
constexpr absl::Duration kSameDeathWindow = absl::Seconds(5);

enum class QuarantineState : std::uint8_t {
    Clear,
    /** At least one death, but too few for the quarantine; placed apart from other suspects. */
    Suspect,
    Quarantined,
};

/**
 * Requests that were running when a backend server died. An instance holds a set of deaths
 * (fingerprint, server, incarnation); instances merge their sets, so order and repetition of
 * reports do not matter. A fingerprint is quarantined after QuarantineOptions::deaths deaths of
 * different server incarnations. A death is forgotten kQuarantineDuration after it happened.
 * Instances may know different incarnations of a server at the time of one death, so deaths of one
 * server within kSameDeathWindow count once.
 *
 * A request that was served does not crash servers: its earlier deaths and those within
 * kServedRetention after it was served do not count. So a frequent request is not suspected when
 * many servers end together. A reported death is wrong if the platform goes on listing the server.
 *
 * The table is bounded. When it is full, the entry whose newest event is oldest is evicted first;
 * quarantined fingerprints are evicted only when there are no others left. Only the newest
 * kMaxDeaths deaths of a fingerprint are kept.
 */
class Quarantine
{
public:
    static constexpr std::size_t kMaxDeaths = 8;

    explicit Quarantine(const QuarantineOptions &options = {})
        : options(options)
        , recentlyServed(kServedRetention, options.maxServed)
    { }

    /**
     * Records a death. @p running: the fingerprints that this instance had running on the server.
     * Returns the new reports, to be sent to the other instances. Requests that were served
     * recently are left out.
     */
    std::vector<CrashReport> onServerDeath(const BackendServerId &server, Incarnation incarnation,
                                           std::span<const Fingerprint> running, absl::Time now);

    /** Merges a report of another instance; true when it was new and should be forwarded. */
    bool onCrashReport(const CrashReport &report, absl::Time now);

    /** Records that this instance served a request; true when the others must be informed. */
    bool recordServed(const Fingerprint &fingerprint, absl::Time now);
    /** Whether this instance served the request within about kServedRetention. */
    bool wasServedRecently(const Fingerprint &fingerprint, absl::Time now) const;
    /** Merges a report that a request was served; true when it was new and should be forwarded. */
    bool onServed(const ServedReport &report, absl::Time now);

    /** Removes the deaths of servers that @p listing still contains listRemovalDelay after the
     * reported death, so that they cannot have died. */
    void withdrawDeathsOfListed(const ServerListing &listing);
    /** Removes a death; later reports of it are ignored for kQuarantineDuration. */
    void withdraw(const CrashKey &death, absl::Time now);

    QuarantineState check(const Fingerprint &fingerprint, absl::Time now) const;
    /** Deaths that count for @p fingerprint; the value for RequestProfile::deathsSeen. */
    std::uint32_t deathsSeen(const Fingerprint &fingerprint, absl::Time now) const;
    /** Degree of suspicion for another run of @p fingerprint. */
    SuspectRun nextRun(const Fingerprint &fingerprint, absl::Time now) const;
    /** Time until the quarantine of @p fingerprint ends; zero when it is not quarantined. */
    absl::Duration retryAfter(const Fingerprint &fingerprint, absl::Time now) const;

    /** Deaths seen by this instance that must be stored to outlive it: those of fingerprints that
     * are quarantined or would be with the next death. */
    std::vector<CrashReport> deathsToRecord(absl::Time now) const;
    bool has(const CrashKey &death) const;
    /** All deaths that still count, to be sent to an instance that has just joined. */
    std::vector<CrashReport> reports(absl::Time now) const;
    /** All served requests that still count. */
    std::vector<ServedReport> servedReports(absl::Time now) const;
    /** Digest of the contents: equal for equal tables, zero for an empty one. */
    std::uint64_t digest() const;
    /** Removes deaths and served requests that no longer count. */
    void onTick(absl::Time now);

    /** Fingerprints in the table. */
    std::size_t size() const { return this->entries.size(); }
    bool isEmpty() const { return this->entries.empty(); }

private:
    struct Death
    {
        BackendServerId server;
        Incarnation incarnation = 0;
        absl::Time diedAt;
        /** Seen by this instance, not reported by another. */
        bool isLocal = false;
    };
    /** Newest death first; deaths at the same time by server and incarnation. */
    using Deaths = std::vector<Death>;
    struct Entry
    {
        Deaths deaths;
        absl::Time servedAt = absl::InfinitePast();

        absl::Time newestTime() const;
    };

    /** Times of the deaths that are distinct by kSameDeathWindow, newest first. */
    static std::vector<absl::Time> distinctDeathTimes(const Deaths &deaths, absl::Time now);
    static bool isNewer(const Death &a, const Death &b);
    bool addDeath(const CrashReport &report, bool isLocal, absl::Time now);
    void onChanged();
    void evictOne();

    QuarantineOptions options;
    /** Ordered, so that equal tables evict the same entries on all instances. */
    absl::btree_map<Fingerprint, Entry> entries;
    ServedCallCache recentlyServed;
    /** Withdrawn deaths with the time until which reports of them are ignored. */
    absl::btree_map<CrashKey, absl::Time> withdrawn;
    /** Empty after a change; computed again on the next call of digest(). */
    mutable std::optional<std::uint64_t> cachedDigest;
};

} // namespace foxtailtally
