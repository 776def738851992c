#include "servers/placement/reachability.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

void Reachability::onConnectFailed(ServerKey server, const FailureDomainId &domain, absl::Time now)
{
    Failure &failure = this->failures[server];
    failure.domain = domain;
    failure.probedAt = now;
    if (++failure.failedConnections == 1)
        ++this->failuresByDomain[domain];
}

void Reachability::onConnected(ServerKey server, const FailureDomainId &domain)
{
    this->failures.erase(server);
    // A single connection shows that the domain is reachable; its other servers keep their own
    // state.
    this->failuresByDomain.erase(domain);
}

void Reachability::onSilent(ServerKey server, const FailureDomainId &domain, absl::Time now)
{
    if (this->failures.contains(server))
        return;
    const auto [found, isNew] = this->silentProbedAt.try_emplace(server, now);
    if (!isNew && now - found->second < kSilentProbeInterval)
        return;
    found->second = now;
    this->failures[server].domain = domain;
}

void Reachability::forget(ServerKey server)
{
    const auto found = this->failures.find(server);
    if (found == this->failures.end())
        return;
    // A removed server is no evidence about its domain.
    const auto count = this->failuresByDomain.find(found->second.domain);
    if (found->second.failedConnections > 0 && count != this->failuresByDomain.end()
        && --count->second == 0)
        this->failuresByDomain.erase(count);
    this->failures.erase(found);
}

bool Reachability::isReachable(ServerKey server, const FailureDomainId &domain) const
{
    const auto found = this->failures.find(server);
    const bool hasFailed = found != this->failures.end() && found->second.failedConnections > 0;
    return !hasFailed && !this->isDomainUnreachable(domain);
}

bool Reachability::isUnresponsive(ServerKey server) const
{
    const auto found = this->failures.find(server);
    return found != this->failures.end()
        && found->second.failedConnections >= kFailuresForUnresponsive;
}

std::vector<ServerKey> Reachability::takeProbes(absl::Time now)
{
    absl::erase_if(this->silentProbedAt,
                   [now](const auto &item) { return now - item.second >= kSilentProbeInterval; });
    std::vector<std::pair<absl::Time, ServerKey>> due;
    for (const auto &[server, failure] : this->failures) {
        const bool isUnresponsive = failure.failedConnections >= kFailuresForUnresponsive;
        if (now - failure.probedAt
            >= (isUnresponsive ? kProbeInterval : kConfirmationProbeInterval))
            due.emplace_back(failure.probedAt, server);
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), kMaxProbesPerRound));
    std::vector<ServerKey> servers;
    for (const auto &[probedAt, server] : due) {
        this->failures[server].probedAt = now;
        servers.push_back(server);
    }
    return servers;
}

bool Reachability::isDomainUnreachable(const FailureDomainId &domain) const
{
    const auto found = this->failuresByDomain.find(domain);
    return found != this->failuresByDomain.end() && found->second >= kFailedServersForDomain;
}

} // namespace foxtailtally
