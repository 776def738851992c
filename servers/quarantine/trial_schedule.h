#pragma once

#include <absl/time/time.h>
#include <cstddef>

namespace foxtailtally {

/** Time from the newest death of a quarantined fingerprint to its first trial. Calls that were in
 * flight when it was quarantined have ended by then, and sound calls are held up for seconds only.
 */
inline constexpr absl::Duration kTrialDelay = absl::Seconds(2);

/** The same where the evidence is conclusive, and after a lost trial: each trial may crash a
 * server.
 */
inline constexpr absl::Duration kLateTrialDelay = absl::Minutes(1);

/** Trials that may crash servers before a fingerprint is refused for kQuarantineDuration. Users
 * allow three more calls with a part that has crashed five servers; one is left for two instances
 * that start a trial at the same moment. */
inline constexpr std::size_t kMaxLostTrials = 2;

/** Deaths against a quarantined fingerprint, as they bear on a call with it. */
struct TrialEvidence
{
    std::size_t deaths = 0;
    /** Deaths that are left if another fingerprint, which the call lacks, has caused those that the
     * two share. */
    std::size_t ownDeaths = 0;
    /** Of the deaths, the largest share under another fingerprint that the call has, 0 to 1. */
    double sharedByCall = 0;
    /** Deaths of servers that were running a trial. */
    std::size_t lostTrials = 0;
};

/**
 * Time from the newest death until a call with a quarantined fingerprint may run as a trial;
 * infinite if there is no further one. It is short while the deaths may be coincidences, that is,
 * with fewer than @p conclusiveDeaths of its own.
 *
 * The delay is up to four times as long for calls with another fingerprint that may have caused the
 * deaths instead: the trial of a call without it tells the two apart.
 */
absl::Duration trialDelay(const TrialEvidence &evidence, std::size_t conclusiveDeaths);

} // namespace foxtailtally
