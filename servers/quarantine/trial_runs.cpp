#include "servers/quarantine/trial_runs.h"

#include <algorithm>

namespace foxtailtally {

bool TrialRuns::add(const TrialReport &report, absl::Time now)
{
    const absl::Time startedAt = std::min(report.startedAt, now);
    // A report that comes by several ways has a different time on each of them.
    if (this->isRunning(report.fingerprint, now) || startedAt + kTrialTimeout <= now
        || this->startTimes.size() >= kMaxRuns)
        return false;
    this->startTimes[report.fingerprint] = startedAt;
    return true;
}

void TrialRuns::remove(const Fingerprint &fingerprint)
{
    this->startTimes.erase(fingerprint);
}

bool TrialRuns::isRunning(const Fingerprint &fingerprint, absl::Time now) const
{
    return this->endsAt(fingerprint) > now;
}

absl::Time TrialRuns::endsAt(const Fingerprint &fingerprint) const
{
    const auto found = this->startTimes.find(fingerprint);
    return found == this->startTimes.end() ? absl::InfinitePast() : found->second + kTrialTimeout;
}

void TrialRuns::onTick(absl::Time now)
{
    absl::erase_if(this->startTimes,
                   [now](const auto &run) { return run.second + kTrialTimeout <= now; });
}

} // namespace foxtailtally
