#include "servers/quarantine/suspect_placement.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

SuspectPlacement placeSuspect(std::span<const SuspectCandidate> servers, SuspectRun run,
                              Random &random)
{
    SuspectPlacement spread;
    std::vector<SuspectCandidate> allowed;
    for (const SuspectCandidate &choice : servers) {
        const bool isForbidden =
            choice.lastRuns > 0 || (run == SuspectRun::Last && choice.earlyRuns > 0);
        if (isForbidden)
            spread.forbidden.push_back(choice.server);
        else
            allowed.push_back(choice);
    }
    spread.mustWait = allowed.empty() && !servers.empty();
    spread.avoided = spread.forbidden;
    for (std::size_t i = allowed.size(); i > 1; --i)
        std::swap(allowed[i - 1], allowed[random.below(i)]);
    const auto firstTaken =
        std::stable_partition(allowed.begin(), allowed.end(),
                              [](const SuspectCandidate &choice) { return choice.earlyRuns == 0; });
    const auto free = static_cast<std::size_t>(firstTaken - allowed.begin());
    const std::size_t kept = std::min(kSuspectCandidates, free == 0 ? allowed.size() : free);
    for (std::size_t i = kept; i < allowed.size(); ++i)
        spread.avoided.push_back(allowed[i].server);
    return spread;
}

} // namespace foxtailtally
