#include "servers/limits/server_rate_limits.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Minimum interval between two reports of a changed limit of a server. */
constexpr absl::Duration kChangeReportInterval = absl::Seconds(1);

} // namespace

RateLimitChange ServerRateLimits::onNamed(ServerKey server, double requestsPerSecond,
                                          absl::Time now)
{
    if (this->limits.size() >= kMaxLimits && !this->limits.contains(server))
        this->dropOldest();
    const auto [found, isNew] = this->limits.try_emplace(server);
    Limit &limit = found->second;
    limit.requestsPerSecond = requestsPerSecond;
    limit.namedAt = now;
    const bool isReported = isNew
        || (limit.reportedLimit != requestsPerSecond
            && now - limit.reportedAt >= kChangeReportInterval);
    if (!isReported)
        return RateLimitChange::None;
    limit.reportedLimit = requestsPerSecond;
    limit.reportedAt = now;
    return isNew ? RateLimitChange::Named : RateLimitChange::Changed;
}

RateLimitChange ServerRateLimits::onNotNamed(ServerKey server, absl::Time requestSentAt)
{
    const auto found = this->limits.find(server);
    if (found == this->limits.end() || requestSentAt <= found->second.namedAt)
        return RateLimitChange::None;
    this->limits.erase(found);
    return RateLimitChange::Ended;
}

std::optional<double> ServerRateLimits::limitOf(ServerKey server) const
{
    const auto found = this->limits.find(server);
    return found == this->limits.end() ? std::nullopt
                                       : std::optional(found->second.requestsPerSecond);
}

void ServerRateLimits::onTick(absl::Time now)
{
    absl::erase_if(this->limits,
                   [now](const auto &item) { return now - item.second.namedAt > kRetention; });
}

void ServerRateLimits::dropOldest()
{
    const auto oldest = std::min_element(
        this->limits.begin(), this->limits.end(),
        [](const auto &a, const auto &b) { return a.second.namedAt < b.second.namedAt; });
    this->limits.erase(oldest);
}

} // namespace foxtailtally
