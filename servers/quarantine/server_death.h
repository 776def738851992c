#pragma once

#include "core/ids.h"
#include "servers/quarantine/crash_report.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** Death of a server under one fingerprint; see CrashReport. */
struct ServerDeath
{
    BackendServerId server;
    Incarnation incarnation = 0;
    absl::Time diedAt;
    absl::Time causeSince;
    /** Seen by this instance, not reported by another. */
    bool isLocal = false;
    bool wasTrial = false;
};

/** Newest death first; deaths at the same time by server and incarnation. */
using ServerDeaths = std::vector<ServerDeath>;

/** Servers that died, by incarnation. */
using DeadServers = absl::flat_hash_set<std::uint64_t>;

/** Whether what happened at @p happenedAt still counts. */
inline bool isCurrent(absl::Time happenedAt, absl::Time now)
{
    return happenedAt + kQuarantineDuration > now;
}

bool isNewer(const ServerDeath &a, const ServerDeath &b);

/** Index of the death to drop when there are too many: the newest of those that do not count, or
 * the oldest. */
std::size_t leastUseful(std::span<const ServerDeath> deaths);

CrashReport toReport(const Fingerprint &fingerprint, const ServerDeath &death);

/** The servers of the deaths that are current. */
DeadServers deadServers(std::span<const ServerDeath> deaths, absl::Time now);

/** Number of current deaths of servers that were running a trial. */
std::size_t lostTrials(std::span<const ServerDeath> deaths, absl::Time now);

std::size_t sharedCount(const DeadServers &a, const DeadServers &b);

} // namespace foxtailtally
