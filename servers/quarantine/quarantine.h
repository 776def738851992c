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

/** Server deaths with a request after which it is quarantined, unless the options say otherwise. */
constexpr std::size_t kQuarantineDeaths = 2;

/** Time for which a death counts, and for which a quarantined request is refused. Long enough for a
 * caller that tries again every few minutes, short enough to try after a repair of the servers. */
constexpr absl::Duration kQuarantineDuration = absl::Hours(1);

/** Time for which a call that was served is known to crash nobody; its servers may be replaced
 * later by others. */
constexpr absl::Duration kServedRetention = absl::Minutes(1);

struct QuarantineOptions
{
    std::size_t deaths = kQuarantineDeaths;
    std::size_t maxFingerprints = 4096;
    /** Served calls that are remembered for kServedRetention. */
    std::size_t maxServed = 4096;
    /** Time after its end after which the platform's list no longer has a server. */
    absl::Duration listRemovalDelay = absl::Seconds(6);
};

/** A server needs longer than this to restart and to be given the request again. */
constexpr absl::Duration kSameDeathWindow = absl::Seconds(5);

enum class QuarantineState : std::uint8_t {
    Clear,
    /** One death; runs only where no other suspect runs. */
    Suspect,
    Quarantined,
};

/**
 * Requests that were running when a backend server died. What an instance knows is a set of deaths
 * (fingerprint, server, incarnation); instances merge their sets, so order and repetition of
 * reports do not matter. QuarantineOptions::deaths deaths of different server incarnations
 * quarantine a fingerprint. A death is forgotten kQuarantineDuration after it happened. Instances
 * may know different incarnations of a server at the time of one death, so deaths of one server
 * within kSameDeathWindow count once.
 *
 * A request that was served crashes nobody: earlier deaths and those within kServedRetention do not
 * count. So one that is asked for often is not suspected when many servers end together. A death of
 * a server that the platform goes on listing was none.
 *
 * The table is bounded. When it is full, the entry with the oldest news is dropped first;
 * quarantined fingerprints are dropped only when there are no others left. Of one fingerprint at
 * most kMaxDeaths deaths are kept, the newest ones.
 */
class Quarantine
{
public:
    static constexpr std::size_t kMaxDeaths = 8;

    explicit Quarantine(const QuarantineOptions &options = {})
        : options(options)
        , servedLately(kServedRetention, options.maxServed)
    { }

    /**
     * The fingerprints in @p running ran on the server when it died, as far as this instance knows.
     * Returns the reports that the other instances need and did not yet have from here. What was
     * served lately is left out.
     */
    std::vector<CrashReport> onServerDeath(const BackendServerId &server, Incarnation incarnation,
                                           std::span<const Fingerprint> running, absl::Time now);

    /** Merges a report of another instance; true when it was new and should be passed on. */
    bool onVerdict(const CrashReport &report, absl::Time now);

    /** A request was served here; true when the other instances need to know. */
    bool recordServed(const Fingerprint &fingerprint, absl::Time now);
    /** The request was served here within about kServedRetention. */
    bool wasServedRecently(const Fingerprint &fingerprint, absl::Time now) const;
    /** Merges that a request was served; true when it was new and should be passed on. */
    bool onServed(const ServedReport &report, absl::Time now);

    /** Forgets the deaths of servers that @p listing has long after. */
    void withdrawDeathsOfListed(const ServerListing &listing);
    /** A death is not to count any more, whoever tells of it again. */
    void withdraw(const CrashKey &death, absl::Time now);

    QuarantineState check(const Fingerprint &fingerprint, absl::Time now) const;
    /** Deaths that count for @p fingerprint; the value for RequestProfile::deathsSeen. */
    std::uint32_t deathsSeen(const Fingerprint &fingerprint, absl::Time now) const;
    /** What another run of @p fingerprint would be. */
    SuspectRun nextRun(const Fingerprint &fingerprint, absl::Time now) const;
    /** Time until @p fingerprint is no longer quarantined; zero when it is not. */
    absl::Duration retryAfter(const Fingerprint &fingerprint, absl::Time now) const;

    /** Deaths seen by this instance that must outlive it: those of fingerprints that are
     * quarantined or would be with the next death. */
    std::vector<CrashReport> deathsToRecord(absl::Time now) const;
    bool has(const CrashKey &death) const;
    /** All deaths that still count, for an instance that has just joined. */
    std::vector<CrashReport> reports(absl::Time now) const;
    /** All served requests that still count. */
    std::vector<ServedReport> servedReports(absl::Time now) const;
    /** Equal for tables that hold the same; zero for an empty one. */
    std::uint64_t digest() const;
    /** Forgets deaths that no longer count. */
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
        /** This instance saw it. */
        bool isOwn = false;
    };
    /** Newest death first; of equal times by server and incarnation. */
    using Deaths = std::vector<Death>;
    struct Entry
    {
        Deaths deaths;
        absl::Time servedAt = absl::InfinitePast();

        absl::Time newest() const;
    };

    /** Times of the deaths that count separately, the newest first. */
    static std::vector<absl::Time> separate(const Deaths &deaths, absl::Time now);
    static bool isNewer(const Death &a, const Death &b);
    bool addDeath(const CrashReport &report, bool isOwn, absl::Time now);
    void onChanged();
    void dropOne();

    QuarantineOptions options;
    /** Ordered, so that equal tables drop the same entries on all instances. */
    absl::btree_map<Fingerprint, Entry> entries;
    ServedCallCache servedLately;
    /** Withdrawn deaths, with the time until which they are remembered. */
    absl::btree_map<CrashKey, absl::Time> withdrawn;
    /** Computed when it is asked for after a change. */
    mutable std::optional<std::uint64_t> knownDigest;
};

} // namespace foxtailtally
