#include "servers/placement/reachability.h"

#include <algorithm>
#include <tuple>

namespace foxtailtally {

namespace {

/** Times of connections are kept for longer than any decision looks back. */
constexpr absl::Duration kConnectionRetention = absl::Minutes(1);

} // namespace

void Reachability::onConnectFailed(ServerKey server, const FailureDomainId &domain, absl::Time now)
{
    Failure &failure = this->failures[server];
    failure.domain = domain;
    failure.probedAt = now;
    if (++failure.failedConnections == 1)
        ++this->failuresByDomain[domain];
}

void Reachability::onConnected(ServerKey server, const FailureDomainId &domain, absl::Time openedAt)
{
    absl::Time &latest = this->connectedAt.try_emplace(server, absl::InfinitePast()).first->second;
    latest = std::max(latest, openedAt);
    this->failures.erase(server);
    // A single connection shows that the domain is reachable; its other servers keep their own
    // state.
    this->failuresByDomain.erase(domain);
}

void Reachability::onSilent(ServerKey server, const FailureDomainId &domain, bool isNeeded,
                            absl::Time now)
{
    const absl::Duration interval = isNeeded ? kNeededProbeInterval : kSilentProbeInterval;
    const absl::Time neededUntil = isNeeded ? now + interval : absl::InfinitePast();
    if (const auto found = this->failures.find(server); found != this->failures.end()) {
        found->second.neededUntil = std::max(found->second.neededUntil, neededUntil);
        return;
    }
    const auto [found, isNew] = this->silentProbedAt.try_emplace(server, now);
    if (!isNew && now - found->second < interval)
        return;
    found->second = now;
    Failure &silent = this->failures[server];
    silent.domain = domain;
    silent.neededUntil = neededUntil;
}

void Reachability::forget(ServerKey server)
{
    this->connectedAt.erase(server);
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
    return !this->hasFailed(server) && !this->isDomainUnreachable(domain);
}

bool Reachability::hasFailed(ServerKey server) const
{
    const auto found = this->failures.find(server);
    return found != this->failures.end() && found->second.failedConnections > 0;
}

bool Reachability::isUnresponsive(ServerKey server) const
{
    const auto found = this->failures.find(server);
    return found != this->failures.end()
        && found->second.failedConnections >= kFailuresForUnresponsive;
}

absl::Time Reachability::aliveAt(ServerKey server) const
{
    const auto found = this->connectedAt.find(server);
    return found == this->connectedAt.end() ? absl::InfinitePast() : found->second;
}

absl::Duration Reachability::probeInterval(const Failure &failure, absl::Time now) const
{
    const bool isUnresponsive = failure.failedConnections >= kFailuresForUnresponsive;
    return isUnresponsive && failure.neededUntil < now ? kProbeInterval
                                                       : kConfirmationProbeInterval;
}

std::vector<ServerKey> Reachability::takeProbes(absl::Time now)
{
    absl::erase_if(this->silentProbedAt,
                   [now](const auto &item) { return now - item.second >= kSilentProbeInterval; });
    absl::erase_if(this->connectedAt,
                   [now](const auto &item) { return now - item.second >= kConnectionRetention; });
    struct Due
    {
        bool isNeeded = false;
        absl::Time probedAt;
        ServerKey server = 0;
    };
    std::vector<Due> due;
    for (const auto &[server, failure] : this->failures) {
        if (now - failure.probedAt >= this->probeInterval(failure, now))
            due.push_back({failure.neededUntil >= now, failure.probedAt, server});
    }
    std::sort(due.begin(), due.end(), [](const Due &a, const Due &b) {
        return std::tuple(!a.isNeeded, a.probedAt, a.server)
            < std::tuple(!b.isNeeded, b.probedAt, b.server);
    });
    due.resize(std::min(due.size(), kMaxProbesPerRound));
    std::vector<ServerKey> servers;
    for (const Due &probe : due) {
        this->failures[probe.server].probedAt = now;
        servers.push_back(probe.server);
    }
    return servers;
}

bool Reachability::isDomainUnreachable(const FailureDomainId &domain) const
{
    const auto found = this->failuresByDomain.find(domain);
    return found != this->failuresByDomain.end() && found->second >= kFailedServersForDomain;
}

} // namespace foxtailtally
