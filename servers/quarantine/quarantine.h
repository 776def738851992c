#pragma once

#include "core/ids.h"
#include "core/request.h"
#include "servers/quarantine/crash_report.h"
#include "servers/quarantine/served_call_cache.h"
#include "servers/quarantine/server_death.h"
#include "servers/quarantine/server_listing.h"
#include "servers/quarantine/suspect_placement.h"
#include "servers/quarantine/trial_runs.h"
#include "servers/quarantine/trial_schedule.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
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

/** Time for which it is remembered when a part of a prompt was served last; reports of crashes are
 * late by less than this. */
constexpr absl::Duration kServedPartRetention = absl::Seconds(10);

struct QuarantineOptions
{
    std::size_t deaths = kQuarantineDeaths;
    /** If as many servers have died, also of common causes, one death less suffices. A part of a
     * prompt that is frequent enough for so many deaths would have been served in between. So many
     * deaths are conclusive evidence against a part, unless another one explains them. */
    std::size_t deathsOfAnyCause = 5;
    std::size_t maxFingerprints = 4096;
    /** Number of served calls that are remembered for kServedRetention, and of parts of prompts
     * that are remembered for kServedPartRetention. */
    std::size_t maxServed = 4096;
    /** Time after which a server that has ended is no longer in the platform's list. */
    absl::Duration listRemovalDelay = absl::Seconds(6);
};

/** Deaths of a server within this time are the same death, whatever incarnations instances know. A
 * server takes longer to restart and to receive the request again. */
constexpr absl::Duration kSameDeathWindow = absl::Seconds(1);

/** What is known of the deaths of a fingerprint, for the log. */
struct DeathEvidence
{
    /** Deaths that have not expired. */
    std::size_t deaths = 0;
    /** Of these, those that count: see Quarantine. */
    std::size_t counted = 0;
    /** Quarantined fingerprint to which most of the others are attributed. */
    std::optional<Fingerprint> attributedTo;
    /** Number of deaths that are attributed to it. */
    std::size_t attributed = 0;
};

/** A call that runs although it has quarantined fingerprints. */
struct Trial
{
    absl::Time startedAt;
    std::vector<Fingerprint> fingerprints;
};

enum class QuarantineState : std::uint8_t {
    Clear,
    /** At least one death, but too few for the quarantine; placed apart from other suspects. */
    Suspect,
    Quarantined,
};

/**
 * Requests, and parts of prompts, that were running when a backend server died. An instance holds a
 * set of deaths (fingerprint, server, incarnation); instances merge their sets, so order and
 * repetition of reports do not matter. A fingerprint is quarantined after QuarantineOptions::deaths
 * deaths of different server incarnations. A death is forgotten kQuarantineDuration after it
 * happened. Instances may know different incarnations of a server at the time of one death, so
 * deaths of one server within kSameDeathWindow count once.
 *
 * Many requests share a part of a prompt, so many servers that fail together were running it. The
 * deaths that count for a part therefore exclude each other: each lies before the causeSince of the
 * next one.
 *
 * A server dies of one cause. Deaths with a quarantined fingerprint do not count for a fingerprint
 * that has fewer deaths: its requests were only running on the same servers.
 *
 * The deaths may be coincidences: servers also die of other causes, and a sound part of a prompt
 * that comes with a deadly one has the same deaths and those. A refused request cannot be served,
 * so a quarantined fingerprint gets trials: single calls, one at a time in the whole fleet, at the
 * times of trialDelay(). A trial that is served ends the quarantine, as any served request does.
 *
 * A request that was served does not crash servers: its earlier deaths and those within
 * kServedRetention after it was served do not count. So a frequent request is not suspected when
 * many servers end together. For a part only the deaths before it was served are dropped. A
 * reported death is wrong if the platform goes on listing the server.
 *
 * The table is bounded. When it is full, the entry whose newest event is oldest is evicted first;
 * quarantined fingerprints are evicted only when there are no others left. At most kMaxDeaths
 * deaths of a fingerprint are kept: the newest of those that do not count is dropped, then the
 * oldest.
 */
class Quarantine
{
public:
    /** Many servers may crash in the second before a part of a prompt is quarantined, and deaths
     * that were dropped do not explain those of other fingerprints. */
    static constexpr std::size_t kMaxDeaths = 64;

    explicit Quarantine(const QuarantineOptions &options = {})
        : options(options)
        , recentlyServed(kServedRetention, options.maxServed)
        , recentlyServedParts(kServedPartRetention, options.maxServed)
    { }

    /**
     * Records a death. @p running: the fingerprints that this instance had running on the server.
     * Returns the new reports, to be sent to the other instances. Requests that were served
     * recently are left out.
     */
    std::vector<CrashReport> onServerDeath(const BackendServerId &server, Incarnation incarnation,
                                           std::span<const Fingerprint> running, absl::Time now);

    /** The same for one call that this instance had running on the server, and for the parts of its
     * prompt. @p causeSince: see CrashReport; it applies to the parts. @p wasTrial: the call was
     * running as a trial. */
    std::vector<CrashReport> onCallLost(const BackendServerId &server, Incarnation incarnation,
                                        const CallFingerprints &call, absl::Time causeSince,
                                        absl::Time now, bool wasTrial = false);

    /** Merges a report of another instance; true when it was new and should be forwarded. */
    bool onCrashReport(const CrashReport &report, absl::Time now);

    /** Records that this instance served a request; true when the others must be informed. */
    bool recordServed(const Fingerprint &fingerprint, absl::Time now);
    /** Whether this instance served the request within about kServedRetention. */
    bool wasServedRecently(const Fingerprint &fingerprint, absl::Time now) const;
    /** Records that this instance served a request with these parts, which the server began to run
     * at @p servedAt. Returns the reports that the other instances must get. */
    std::vector<ServedReport> recordPartsServed(std::span<const Fingerprint> parts,
                                                absl::Time servedAt, absl::Time now);
    /** What contradicts the report of another instance, as far as this one knows. */
    std::optional<ServedReport> contradictionOf(const CrashReport &report, absl::Time now) const;
    /** Merges a report that a request was served; true when it was new and should be forwarded. */
    bool onServed(const ServedReport &report, absl::Time now);

    /** Removes the deaths of servers that @p listing still contains listRemovalDelay after the
     * reported death, so that they cannot have died. */
    void withdrawDeathsOfListed(const ServerListing &listing);
    /** Removes a death; later reports of it are ignored for kQuarantineDuration. */
    void withdraw(const CrashKey &death, absl::Time now);
    /** Removes all deaths of @p fingerprint in the same way. */
    void withdrawAll(const Fingerprint &fingerprint, absl::Time now);

    /** Whether the death was removed by withdraw() less than kQuarantineDuration ago. */
    bool isWithdrawn(const CrashKey &death) const { return this->withdrawn.contains(death); }

    /**
     * A call with these fingerprints must not run. Fingerprints with the same deaths cannot be told
     * apart, so a call that has only some of them may run once more, to find out which it is.
     */
    bool refuses(const CallFingerprints &call, absl::Time now) const;
    /** Whether @p call must not run although @p trial has been started for it: another fingerprint
     * is quarantined, or a server has died since. */
    bool refusesTrial(const CallFingerprints &call, const Trial &trial, absl::Time now) const;
    /** Lets a refused call run as a trial, if one is due for all that it is refused for. */
    std::optional<Trial> startTrial(const CallFingerprints &call, absl::Time now);
    /** Merges the report of a trial that another instance has started; true when it was new and
     * should be forwarded. */
    bool onTrial(const TrialReport &report, absl::Time now);
    /** No trial is started before @p until, since those of others may not be known yet. */
    void holdTrials(absl::Time until) { this->trialsHeldUntil = until; }
    /** Time until a refused call like this one may be accepted. */
    absl::Duration retryAfter(const CallFingerprints &call, absl::Time now) const;

    QuarantineState check(const Fingerprint &fingerprint, absl::Time now) const;
    /** Deaths that count for @p fingerprint; the value for RequestProfile::deathsSeen. */
    std::uint32_t deathsSeen(const Fingerprint &fingerprint, absl::Time now) const;
    DeathEvidence evidence(const Fingerprint &fingerprint, absl::Time now) const;
    /** Degree of suspicion for another run of @p fingerprint. */
    SuspectRun nextRun(const Fingerprint &fingerprint, absl::Time now) const;
    /** Time until the quarantine of @p fingerprint ends; zero when it is not quarantined. */
    absl::Duration retryAfter(const Fingerprint &fingerprint, absl::Time now) const;

    /** Deaths seen by this instance that must be stored to outlive it: those of fingerprints that
     * are quarantined or would be with the next death, also where another fingerprint explains them
     * now. */
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
    struct Entry
    {
        ServerDeaths deaths;
        absl::Time servedAt = absl::InfinitePast();

        absl::Time newestTime() const;
    };

    /** What the deaths of a fingerprint amount to. */
    struct Verdict
    {
        /** Deaths that count, newest first. */
        ServerDeaths counted;
        /** Times of all deaths, newest first; those of one server within kSameDeathWindow once. */
        std::vector<absl::Time> deathTimes;
        /** Equal for fingerprints with the same deaths. */
        std::uint64_t deathsHash = 0;
    };
    /** A fingerprint that may have caused deaths of a quarantined one instead. */
    struct Alternative
    {
        Fingerprint fingerprint {};
        std::size_t sharedDeaths = 0;
    };
    struct Culprit
    {
        Fingerprint fingerprint {};
        DeadServers servers;
        /** The one with most shared deaths first. */
        std::vector<Alternative> alternatives;
    };
    /** Quarantined fingerprints explain the deaths of others. */
    struct Culprits
    {
        /** The one with most deaths first. */
        std::vector<Culprit> all;
        /** Number of quarantined fingerprints by Verdict::deathsHash. */
        absl::flat_hash_map<std::uint64_t, std::size_t> sharing;
        /** Deaths expire, so this holds for times in between only. */
        absl::Time validFrom = absl::InfiniteFuture();
        absl::Time validUntil = absl::InfinitePast();
    };

    /** Quarantined fingerprints for which @p call is refused. */
    std::vector<Fingerprint> refusedFingerprints(const CallFingerprints &call,
                                                 absl::Time now) const;
    /** Time from which @p call may run as a trial, as far as @p fingerprint is concerned. */
    absl::Time trialDueAt(const Fingerprint &fingerprint, const CallFingerprints &call,
                          absl::Time now) const;
    /** The same for all that it is refused for. */
    absl::Time trialDueAt(std::span<const Fingerprint> refused, const CallFingerprints &call,
                          absl::Time now) const;
    TrialEvidence trialEvidence(const Culprit &culprit, const CallFingerprints &call,
                                absl::Time now) const;
    std::vector<Alternative> alternativesTo(const Culprit &culprit, absl::Time now) const;
    /** InfinitePast if there is none. */
    absl::Time newestDeath(const Fingerprint &fingerprint) const;

    /** Considers the deaths that are not explained by @p culprits. */
    static Verdict judge(const ServerDeaths &deaths, const Culprits &culprits, absl::Time now);
    bool isQuarantined(const Verdict &verdict) const;
    bool addDeath(const CrashReport &report, bool isLocal, absl::Time now);
    bool onPartServed(const Fingerprint &part, absl::Time servedAt, absl::Time now);
    /** Whether so many deaths would count that the fingerprint is quarantined, were they not those
     * of another one. */
    bool isSuspectedCulprit(const Entry &entry, absl::Time now) const;
    const Culprits &culprits(absl::Time now) const;
    Culprits findCulprits(absl::Time now) const;
    Verdict verdictOf(const Fingerprint &fingerprint, absl::Time now) const;
    void onChanged();
    void evictOne();

    QuarantineOptions options;
    /** Ordered, so that equal tables evict the same entries on all instances. */
    absl::btree_map<Fingerprint, Entry> entries;
    ServedCallCache recentlyServed;
    ServedCallCache recentlyServedParts;
    TrialRuns trials;
    absl::Time trialsHeldUntil = absl::InfinitePast();
    /** Withdrawn deaths with the time until which reports of them are ignored. */
    absl::btree_map<CrashKey, absl::Time> withdrawn;
    /** Empty after a change; computed again on the next call of digest(). */
    mutable std::optional<std::uint64_t> cachedDigest;
    mutable Culprits cachedCulprits;
};

} // namespace foxtailtally
