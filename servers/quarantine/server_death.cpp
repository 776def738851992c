#include "servers/quarantine/server_death.h"

#include <algorithm>
#include <tuple>

namespace foxtailtally {

bool isNewer(const ServerDeath &a, const ServerDeath &b)
{
    return std::tie(b.diedAt, a.server, a.incarnation)
        < std::tie(a.diedAt, b.server, b.incarnation);
}

std::size_t leastUseful(std::span<const ServerDeath> deaths)
{
    absl::Time lastCounted = absl::InfinitePast();
    std::size_t victim = deaths.size() - 1;
    for (std::size_t i = deaths.size(); i-- > 0;) {
        if (deaths[i].causeSince >= lastCounted)
            lastCounted = deaths[i].diedAt;
        else
            victim = i;
    }
    return victim;
}

CrashReport toReport(const Fingerprint &fingerprint, const ServerDeath &death)
{
    return {fingerprint,  death.server,     death.incarnation,
            death.diedAt, death.causeSince, death.wasTrial};
}

DeadServers deadServers(std::span<const ServerDeath> deaths, absl::Time now)
{
    DeadServers servers;
    for (const ServerDeath &death : deaths) {
        if (isCurrent(death.diedAt, now))
            servers.insert(incarnationHash(death.server, death.incarnation));
    }
    return servers;
}

std::size_t lostTrials(std::span<const ServerDeath> deaths, absl::Time now)
{
    return static_cast<std::size_t>(
        std::count_if(deaths.begin(), deaths.end(), [now](const ServerDeath &death) {
            return death.wasTrial && isCurrent(death.diedAt, now);
        }));
}

std::size_t sharedCount(const DeadServers &a, const DeadServers &b)
{
    return static_cast<std::size_t>(std::count_if(
        a.begin(), a.end(), [&b](std::uint64_t server) { return b.contains(server); }));
}

} // namespace foxtailtally
