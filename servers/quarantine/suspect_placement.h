#pragma once

#include "core/random.h"
#include "servers/catalog/server_directory.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** How far a call is suspected of crashing the servers that run it. */
enum class SuspectRun : std::uint8_t {
    None,
    /** A server has ended under it, and further ones may before it is quarantined. */
    Early,
    /** If one more server ends under it, it is quarantined, or it is already. */
    Last,
};

/** A server that may get a suspect call, with the suspect calls of this instance there. */
struct SuspectCandidate
{
    ServerKey server = 0;
    std::int64_t earlyRuns = 0;
    std::int64_t lastRuns = 0;
};

/** Where a suspect call may go. */
struct SuspectPlacement
{
    /** Every server that could take it has a suspect that must be alone. */
    bool mustWait = false;
    /** Servers that it must not get. */
    std::vector<ServerKey> forbidden;
    /** Servers that it should not get as long as others can take it; the forbidden ones included.
     */
    std::vector<ServerKey> avoided;
};

/** Servers among which the best one is chosen for a suspect call. */
inline constexpr std::size_t kSuspectCandidates = 2;

/**
 * Spreads the calls of a server that ended. By load alone they would all go to the same next
 * server, and those that ran beside the one that crashes servers would be found at each of them.
 * So each chooses among a few servers drawn at random, where no other suspect is as far as that is
 * possible; and one that would be quarantined next runs where no other suspect is at all.
 */
SuspectPlacement placeSuspect(std::span<const SuspectCandidate> servers, SuspectRun run,
                              Random &random);

} // namespace foxtailtally
