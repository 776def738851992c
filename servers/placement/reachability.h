#pragma once

#include "core/ids.h"
#include "servers/catalog/server_directory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <vector>

namespace foxtailtally {

/**
 * Which servers this instance cannot connect to. A server stays unreachable until a connection to
 * it comes about, be it a call's or a probe's; when several servers of a failure domain cannot be
 * reached and none could since, the whole domain is taken for cut off, so that the others need not
 * be found out one call at a time.
 *
 * A server that is silent is probed as well: one that reads a long prompt takes connections, one
 * that has gone without a word does not.
 */
class Reachability
{
public:
    /** Servers of a domain that fail before the domain counts as cut off. */
    static constexpr std::size_t kFailedServersForDomain = 2;
    /** Time between two probes of a server. */
    static constexpr absl::Duration kProbeInterval = absl::Milliseconds(500);
    /** Connections to a server that fail one after the other before it counts as dark; packets are
     * lost now and then. */
    static constexpr int kFailuresForUnresponsive = 3;
    /** Time between the probes that are to find that out. */
    static constexpr absl::Duration kConfirmationProbeInterval = absl::Milliseconds(200);
    /** Time between two probes of a silent server that takes connections; each has its price. */
    static constexpr absl::Duration kSilentProbeInterval = absl::Seconds(1);
    /** Probes that are started at once. */
    static constexpr std::size_t kMaxProbesPerRound = 4;

    void onConnectFailed(ServerKey server, const FailureDomainId &domain, absl::Time now);
    void onConnected(ServerKey server, const FailureDomainId &domain);
    /** Nothing comes from a server that has work. */
    void onSilent(ServerKey server, const FailureDomainId &domain, absl::Time now);
    void forget(ServerKey server);

    bool isReachable(ServerKey server, const FailureDomainId &domain) const;
    /** The server has refused or ignored several connections, and taken none since. */
    bool isUnresponsive(ServerKey server) const;
    /** Servers to probe now; they count as probed. */
    std::vector<ServerKey> takeProbes(absl::Time now);
    bool isDomainUnreachable(const FailureDomainId &domain) const;

private:
    struct Failure
    {
        FailureDomainId domain;
        absl::Time probedAt = absl::InfinitePast();
        /** Connections that failed in a row; zero for one that is only silent. */
        int failed = 0;
    };

    absl::flat_hash_map<ServerKey, Failure> failures;
    absl::flat_hash_map<FailureDomainId, std::size_t> failuresByDomain;
    /** When silent servers were last given to probes. */
    absl::flat_hash_map<ServerKey, absl::Time> silentSince;
};

} // namespace foxtailtally
