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
 */
class Reachability
{
public:
    /** Servers of a domain that fail before the domain counts as cut off. */
    static constexpr std::size_t kServersForCut = 2;
    /** Time between two probes of a server. */
    static constexpr absl::Duration kProbePause = absl::Milliseconds(500);
    /** Probes that are started at once. */
    static constexpr std::size_t kProbesAtOnce = 4;

    void onConnectFailed(ServerKey server, const FailureDomainId &domain, absl::Time now);
    void onConnected(ServerKey server, const FailureDomainId &domain);
    void forget(ServerKey server);

    bool isReachable(ServerKey server, const FailureDomainId &domain) const;
    /** Servers to probe now; they count as probed. */
    std::vector<ServerKey> takeProbes(absl::Time now);
    bool isCut(const FailureDomainId &domain) const;

private:
    struct Failure
    {
        FailureDomainId domain;
        absl::Time probedAt;
    };

    absl::flat_hash_map<ServerKey, Failure> failures;
    absl::flat_hash_map<FailureDomainId, std::size_t> failuresByDomain;
};

} // namespace foxtailtally
