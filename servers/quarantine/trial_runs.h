#pragma once

#include "core/request.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstddef>

namespace foxtailtally {

/** Time after which a trial without a result no longer holds up the next one; longer than a long
 * prompt waits for its first event. */
inline constexpr absl::Duration kTrialTimeout = absl::Seconds(10);

/** Time after which most trials have a result. */
inline constexpr absl::Duration kUsualTrialTime = absl::Seconds(2);

/** A call with a quarantined fingerprint runs as a trial. */
struct TrialReport
{
    Fingerprint fingerprint {};
    /** By the clock of the instance that runs it. */
    absl::Time startedAt;
};

/** Trials that run at any instance, by quarantined fingerprint. */
class TrialRuns
{
public:
    static constexpr std::size_t kMaxRuns = 4096;

    /** False if a trial of the fingerprint is running already, the report is too old, or there are
     * too many. */
    bool add(const TrialReport &report, absl::Time now);
    /** The latest trial of @p fingerprint has ended. */
    void remove(const Fingerprint &fingerprint);
    bool isRunning(const Fingerprint &fingerprint, absl::Time now) const;
    /** When the latest trial of @p fingerprint stops counting as running; InfinitePast if none is
     * known. */
    absl::Time endsAt(const Fingerprint &fingerprint) const;
    void onTick(absl::Time now);

private:
    absl::btree_map<Fingerprint, absl::Time> startTimes;
};

} // namespace foxtailtally
