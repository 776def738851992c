#include "servers/quarantine/suspect_placement.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

SuspectPlacement placeSuspect(std::span<const SuspectCandidate> servers, SuspectRun run,
                              Random &random)
{
    SuspectPlacement placement;
    std::vector<SuspectCandidate> allowed;
    for (const SuspectCandidate &candidate : servers) {
        const bool isForbidden =
            candidate.lastRuns > 0 || (run == SuspectRun::Last && candidate.earlyRuns > 0);
        if (isForbidden)
            placement.forbidden.push_back(candidate.server);
        else
            allowed.push_back(candidate);
    }
    placement.mustWait = allowed.empty() && !servers.empty();
    placement.avoided = placement.forbidden;
    for (std::size_t i = allowed.size(); i > 1; --i)
        std::swap(allowed[i - 1], allowed[random.below(i)]);
    const auto firstShared = std::stable_partition(
        allowed.begin(), allowed.end(),
        [](const SuspectCandidate &candidate) { return candidate.earlyRuns == 0; });
    const auto unshared = static_cast<std::size_t>(firstShared - allowed.begin());
    const std::size_t kept =
        std::min(kSuspectCandidates, unshared == 0 ? allowed.size() : unshared);
    for (std::size_t i = kept; i < allowed.size(); ++i)
        placement.avoided.push_back(allowed[i].server);
    return placement;
}

} // namespace foxtailtally
