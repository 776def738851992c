#include "servers/quarantine/suspect_part_runs.h"

namespace foxtailtally {

void SuspectPartRuns::add(std::span<const Fingerprint> parts, absl::Time now)
{
    for (const Fingerprint &part : parts) {
        Runs &known = this->runs[part];
        ++known.count;
        known.lastAddedAt = now;
    }
}

void SuspectPartRuns::remove(std::span<const Fingerprint> parts)
{
    for (const Fingerprint &part : parts) {
        const auto found = this->runs.find(part);
        if (found != this->runs.end() && --found->second.count <= 0)
            this->runs.erase(found);
    }
}

bool SuspectPartRuns::mustWait(const Fingerprint &part, absl::Time now) const
{
    const auto found = this->runs.find(part);
    return found != this->runs.end() && now - found->second.lastAddedAt < kMaxSuspectRunWait;
}

} // namespace foxtailtally
