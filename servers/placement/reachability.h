#pragma once

#include "core/ids.h"
#include "servers/catalog/server_directory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <cstddef>
#include <vector>

namespace foxtailtally {

/**
 * Tracks the servers that this instance cannot connect to. A server stays unreachable until a
 * connection to it succeeds, made by a call or a probe. When several servers of a failure domain
 * are unreachable and no connection into the domain has succeeded since, the whole domain counts as
 * unreachable, so that its other servers need not be discovered one failed call at a time.
 *
 * Silent servers are probed as well: a server that is busy with a long prompt accepts connections,
 * one that has vanished without closing its connections does not.
 */
class Reachability
{
public:
    /** Number of unreachable servers from which on their failure domain counts as unreachable. */
    static constexpr std::size_t kFailedServersForDomain = 2;
    /** Interval between probes of an unresponsive server. */
    static constexpr absl::Duration kProbeInterval = absl::Milliseconds(500);
    /** Consecutive failed connections after which a server counts as unresponsive; a single one may
     * be due to packet loss. */
    static constexpr int kFailuresForUnresponsive = 3;
    /** Interval between probes of a server that has failed fewer times than that. */
    static constexpr absl::Duration kConfirmationProbeInterval = absl::Milliseconds(200);
    /** Interval between probes of a silent server that accepts connections; probes are not free. */
    static constexpr absl::Duration kSilentProbeInterval = absl::Seconds(1);
    /** The same for a server on whose life it depends whether memory stays reserved elsewhere. */
    static constexpr absl::Duration kNeededProbeInterval = absl::Milliseconds(500);
    /** Maximum number of servers that takeProbes() returns at once. */
    static constexpr std::size_t kMaxProbesPerRound = 4;

    void onConnectFailed(ServerKey server, const FailureDomainId &domain, absl::Time now);
    /** A connection that was opened at @p openedAt or later is established, or the server has sent
     * something. */
    void onConnected(ServerKey server, const FailureDomainId &domain, absl::Time openedAt);
    /** The server has work but sends nothing. @p isNeeded: memory is reserved elsewhere for as long
     * as it lives; such servers are probed first, and more often. */
    void onSilent(ServerKey server, const FailureDomainId &domain, bool isNeeded, absl::Time now);
    void forget(ServerKey server);

    bool isReachable(ServerKey server, const FailureDomainId &domain) const;
    /** The last connection to the server was not established. */
    bool hasFailed(ServerKey server) const;
    /** The server has refused or ignored several connections in a row and accepted none since. */
    bool isUnresponsive(ServerKey server) const;
    /** Latest time at which the server is known to have accepted a connection. */
    absl::Time aliveAt(ServerKey server) const;
    /** Returns the servers to probe now and marks them as probed. Those that were probed longest
     * ago come first, so that many unresponsive ones all get their turn. */
    std::vector<ServerKey> takeProbes(absl::Time now);
    bool isDomainUnreachable(const FailureDomainId &domain) const;

private:
    struct Failure
    {
        FailureDomainId domain;
        absl::Time probedAt = absl::InfinitePast();
        /** Consecutive failed connections; zero for a server that is only silent. */
        int failedConnections = 0;
        /** Until when onSilent() said that the server is needed. */
        absl::Time neededUntil = absl::InfinitePast();
    };

    absl::Duration probeInterval(const Failure &failure, absl::Time now) const;

    absl::flat_hash_map<ServerKey, Failure> failures;
    /** When the last connection to each server was opened that was established. */
    absl::flat_hash_map<ServerKey, absl::Time> connectedAt;
    absl::flat_hash_map<FailureDomainId, std::size_t> failuresByDomain;
    /** When each silent server was last scheduled for a probe. */
    absl::flat_hash_map<ServerKey, absl::Time> silentProbedAt;
};

} // namespace foxtailtally
