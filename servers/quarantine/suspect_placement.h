#pragma once

#include "core/random.h"
#include "servers/catalog/server_directory.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** Degree to which a call is suspected of crashing the servers that run it. */
enum class SuspectRun : std::uint8_t {
    None,
    /** Servers have died while running it; one more death does not quarantine it yet. */
    Early,
    /** One more death quarantines it, or it is quarantined already. */
    Last,
};

/** A server that could run a suspect call, with the suspect calls of this instance running on it.
 */
struct SuspectCandidate
{
    ServerKey server = 0;
    std::int64_t earlyRuns = 0;
    std::int64_t lastRuns = 0;
};

/** Servers that a suspect call may be sent to. */
struct SuspectPlacement
{
    /** All candidates are forbidden; the call must wait. */
    bool mustWait = false;
    /** Servers that the call must not be sent to. */
    std::vector<ServerKey> forbidden;
    /** Servers that the call should not be sent to while others can take it; includes the forbidden
     * ones. */
    std::vector<ServerKey> avoided;
};

/** Number of servers among which the best one is chosen for a suspect call. */
inline constexpr std::size_t kSuspectCandidates = 2;

/**
 * Spreads the calls that were running on a server that died. Placed by load alone, they would all
 * go to the same next server, and harmless calls would be present at every death caused by the one
 * that crashes servers. So each call chooses among kSuspectCandidates servers drawn at random,
 * preferably those without another suspect. A call that the next death would quarantine only runs
 * on a server without any other suspect.
 */
SuspectPlacement placeSuspect(std::span<const SuspectCandidate> servers, SuspectRun run,
                              Random &random);

} // namespace foxtailtally
