#include "servers/placement/reachability.h"

namespace foxtailtally {

void Reachability::onConnectFailed(ServerKey server, const FailureDomainId &domain, absl::Time now)
{
    const auto [found, isNew] = this->failures.try_emplace(server, Failure {domain, now});
    found->second.probedAt = now;
    if (isNew)
        ++this->failuresByDomain[domain];
}

void Reachability::onConnected(ServerKey server, const FailureDomainId &domain)
{
    this->failures.erase(server);
    // One connection shows that the domain is not cut off; its other servers keep their own state.
    this->failuresByDomain.erase(domain);
}

void Reachability::forget(ServerKey server)
{
    this->failures.erase(server);
}

bool Reachability::isReachable(ServerKey server, const FailureDomainId &domain) const
{
    return !this->failures.contains(server) && !this->isCut(domain);
}

std::vector<ServerKey> Reachability::takeProbes(absl::Time now)
{
    std::vector<ServerKey> servers;
    for (auto &[server, failure] : this->failures) {
        if (servers.size() == kProbesAtOnce)
            break;
        if (now - failure.probedAt < kProbePause)
            continue;
        failure.probedAt = now;
        servers.push_back(server);
    }
    return servers;
}

bool Reachability::isCut(const FailureDomainId &domain) const
{
    const auto found = this->failuresByDomain.find(domain);
    return found != this->failuresByDomain.end() && found->second >= kServersForCut;
}

} // namespace foxtailtally
