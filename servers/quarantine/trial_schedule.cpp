#include "servers/quarantine/trial_schedule.h"

namespace foxtailtally {

namespace {

/** Increase of the delay, in multiples of it, for a call whose other fingerprints share all deaths.
 */
constexpr double kSharedDelayFactor = 3.0;

} // namespace

absl::Duration trialDelay(const TrialEvidence &evidence, std::size_t conclusiveDeaths)
{
    if (evidence.lostTrials >= kMaxLostTrials)
        return absl::InfiniteDuration();
    const bool isLate = evidence.lostTrials > 0 || evidence.ownDeaths >= conclusiveDeaths;
    return (isLate ? kLateTrialDelay : kTrialDelay)
        * (1.0 + kSharedDelayFactor * evidence.sharedByCall);
}

} // namespace foxtailtally
