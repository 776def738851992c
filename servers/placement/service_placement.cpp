#include "servers/placement/service_placement.h"

#include <algorithm>
#include <tuple>

namespace foxtailtally {

namespace {

/** Expected response time of a server before its first response, in milliseconds. */
constexpr double kUnknownLatencyMs = 20.0;

/** Round-trip time that a hop to another failure domain adds, in milliseconds. */
constexpr double kOtherDomainRoundTripMs = 3.0;

/** Factor on the expected time of a server with a rate limit, which is in need; a call there first
 * needs a token. */
constexpr double kLimitedFactor = 1.5;

/** Weight of the share of failed calls in the expected time: a failed call is retried. */
constexpr double kFailureWeight = 6.0;

double expectedMs(const ServiceCandidate &candidate, const ServerHealth &health)
{
    const absl::Duration known = health.latency(candidate.server);
    const double latency =
        known == absl::ZeroDuration() ? kUnknownLatencyMs : absl::ToDoubleMilliseconds(known);
    const double busy =
        static_cast<double>(std::max(candidate.outstanding, candidate.reportedCalls))
        / static_cast<double>(candidate.slots);
    const double failures = 1.0 + kFailureWeight * health.failureRatio(candidate.server);
    const double limited = candidate.isLimited ? kLimitedFactor : 1.0;
    return latency * (1.0 + busy) * failures * limited
        + (candidate.isSameDomain ? 0.0 : kOtherDomainRoundTripMs);
}

} // namespace

std::optional<std::size_t> chooseServiceServer(std::span<const ServiceCandidate> candidates,
                                               const ServerHealth &health, absl::Time now)
{
    std::optional<std::size_t> best;
    std::tuple<bool, absl::Duration, double> bestRank;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const ServiceCandidate &candidate = candidates[i];
        if (candidate.wasTried || candidate.exceedsColdRate || candidate.lacksToken)
            continue;
        const std::tuple rank(candidate.isUnreachable, health.suspicionLeft(candidate.server, now),
                              expectedMs(candidate, health));
        if (!best || rank < bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace foxtailtally
