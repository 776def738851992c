#include "main/gateway/service_planner.h"

#include "main/gateway/stream_planner.h"
#include "servers/placement/service_placement.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** The load that a server reported is used for this long. */
constexpr absl::Duration kLoadReportTtl = absl::Seconds(1);

} // namespace

ServiceChoice ServicePlanner::choose(const Service &service, std::span<const ServerKey> tried,
                                     absl::Duration tokenPatience, absl::Time now) const
{
    const std::vector<const ServerDirectory::Server *> servers =
        this->context.directory.usable(service.name, now);
    std::vector<ServiceCandidate> candidates;
    for (const ServerDirectory::Server *server : servers) {
        ServiceCandidate candidate;
        candidate.server = server->key;
        candidate.slots = server->entry.slots;
        candidate.isSameDomain = server->entry.domain == this->context.settings.domain;
        const auto activity = this->context.activity.find(candidate.server);
        if (activity != this->context.activity.end()) {
            candidate.outstanding = activity->second.outstanding;
            if (now - activity->second.reportedAt < kLoadReportTtl)
                candidate.reportedCalls = activity->second.reportedCalls;
        }
        candidate.wasTried = std::find(tried.begin(), tried.end(), server->key) != tried.end();
        candidate.exceedsColdRate = exceedsColdRate(this->context, service, *server, 0, now);
        candidate.isUnreachable =
            !this->context.reachability.isReachable(candidate.server, server->entry.domain);
        candidate.isLimited = this->context.limits.isLimited(candidate.server);
        candidate.lacksToken = candidate.isLimited
            && this->context.limits.tokenExpectedAt(candidate.server) > now + tokenPatience;
        candidates.push_back(candidate);
    }
    const std::optional<std::size_t> best =
        chooseServiceServer(candidates, this->context.health, now);
    ServiceChoice choice;
    if (!best)
        return choice;
    choice.server = servers[*best];
    if (!candidates[*best].isLimited)
        return choice;
    std::vector<ServerKey> others;
    const ServerKey chosen = candidates[*best].server;
    const std::string group = this->context.limits.issuerGroup(chosen);
    for (const ServiceCandidate &candidate : candidates) {
        const bool isAlternative = candidate.isLimited && !candidate.lacksToken
            && !candidate.wasTried && !candidate.isUnreachable && !candidate.exceedsColdRate
            && this->context.limits.issuerGroup(candidate.server) == group;
        if (isAlternative && candidate.server != chosen)
            others.push_back(candidate.server);
    }
    choice.limited = serversToClaim(chosen, std::move(others), this->context.random);
    return choice;
}

} // namespace foxtailtally
