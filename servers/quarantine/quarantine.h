#pragma once

#include "core/ids.h"
#include "core/request.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** Server deaths with a request after which it is quarantined. */
constexpr std::size_t kQuarantineDeaths = 2;

/** Time for which a death counts, and for which a quarantined request is refused. */
constexpr absl::Duration kQuarantineTerm = absl::Hours(1);

/** A server needs longer than this to restart and to be given the request again. */
constexpr absl::Duration kSameDeathWindow = absl::Seconds(5);

/** One death of a backend server while a request with this fingerprint ran on it. */
struct SuspectReport
{
    Fingerprint fingerprint {};
    BackendServerId server;
    Incarnation incarnation = 0;
    /** Time of the death, by the clock of the instance that saw it. */
    absl::Time diedAt;
};

enum class QuarantineState : std::uint8_t {
    Clear,
    /** One death; runs only where no other suspect runs. */
    Suspect,
    Quarantined,
};

/**
 * Requests that were running when a backend server died. What an instance knows is a set of deaths
 * (fingerprint, server, incarnation); instances merge their sets, so order and repetition of
 * reports do not matter. Two deaths of different server incarnations quarantine a fingerprint. A
 * death is forgotten an hour after it happened. Instances may know different incarnations of a
 * server at the time of one death, so deaths of one server within kSameDeathWindow count once.
 *
 * The table is bounded by kMaxFingerprints. When it is full, the suspect with the oldest death is
 * dropped first; quarantined fingerprints are dropped only when there are no suspects left, the
 * oldest first. Of one fingerprint at most kMaxDeaths deaths are kept, the newest ones.
 */
class Quarantine
{
public:
    static constexpr std::size_t kMaxFingerprints = 4096;
    static constexpr std::size_t kMaxDeaths = 8;

    explicit Quarantine(std::size_t maxFingerprints = kMaxFingerprints)
        : maxFingerprints(maxFingerprints)
    { }

    /**
     * The fingerprints in @p running ran on the server when it died, as far as this instance knows.
     * Returns the reports that the other instances need and did not yet have from here.
     */
    std::vector<SuspectReport> onServerDeath(const BackendServerId &server, Incarnation incarnation,
                                             std::span<const Fingerprint> running, absl::Time now);

    /** Merges a report of another instance; true when it was new and should be passed on. */
    bool onVerdict(const SuspectReport &report, absl::Time now);

    QuarantineState check(const Fingerprint &fingerprint, absl::Time now) const;
    /** Deaths that count for @p fingerprint; the value for RequestProfile::deathsSeen. */
    std::uint32_t deathsSeen(const Fingerprint &fingerprint, absl::Time now) const;
    /** Time until @p fingerprint is no longer quarantined; zero when it is not. */
    absl::Duration retryAfter(const Fingerprint &fingerprint, absl::Time now) const;

    /** All deaths that still count, for an instance that has just joined. */
    std::vector<SuspectReport> reports(absl::Time now) const;
    /** Forgets deaths that no longer count. */
    void onTick(absl::Time now);

    /** Fingerprints in the table. */
    std::size_t size() const { return this->entries.size(); }

private:
    struct Death
    {
        BackendServerId server;
        Incarnation incarnation = 0;
        absl::Time diedAt;
    };
    /** Newest death first; of equal times by server and incarnation. */
    using Deaths = std::vector<Death>;

    /** Times of the deaths that count separately, the newest first. */
    static std::vector<absl::Time> separate(const Deaths &deaths, absl::Time now);
    static bool isNewer(const Death &a, const Death &b);
    void dropOne();

    std::size_t maxFingerprints;
    /** Ordered, so that equal tables drop the same entries on all instances. */
    absl::btree_map<Fingerprint, Deaths> entries;
};

} // namespace foxtailtally
