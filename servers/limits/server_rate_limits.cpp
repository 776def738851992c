#include "servers/limits/server_rate_limits.h"

#include <algorithm>
#include <cmath>

namespace foxtailtally {

namespace {

/** Minimum interval between two reports of a changed limit of a server. */
constexpr absl::Duration kChangeReportInterval = absl::Seconds(1);

/** Relative change of a limit that is news for other instances. */
constexpr double kSignificantChange = 0.05;

/** An end that follows the last naming of a limit within kUnclearEnd is told again when it is
 * confirmed kClearerEnd later. */
constexpr absl::Duration kUnclearEnd = absl::Seconds(1);
constexpr absl::Duration kClearerEnd = absl::Milliseconds(200);

} // namespace

RateLimitChange ServerRateLimits::onNamed(ServerKey server, double requestsPerSecond,
                                          absl::Time now)
{
    return this->onNews({server, requestsPerSecond, now, absl::InfinitePast()}, now);
}

RateLimitChange ServerRateLimits::onNotNamed(ServerKey server, absl::Time requestSentAt,
                                             absl::Time now)
{
    return this->onNews({server, 0.0, absl::InfinitePast(), requestSentAt}, now);
}

RateLimitChange ServerRateLimits::onNews(const LimitNews &news, absl::Time now)
{
    // The end of a limit that is not known here changes nothing.
    if (news.namedAt == absl::InfinitePast() && !this->servers.contains(news.server))
        return RateLimitChange::None;
    State &state = this->stateOf(news.server, now);
    const bool wasInForce = state.news.isInForce();
    if (news.namedAt != absl::InfinitePast() && news.namedAt >= state.news.namedAt) {
        state.news.namedAt = news.namedAt;
        state.news.requestsPerSecond = news.requestsPerSecond;
    }
    state.news.endedAt = std::max(state.news.endedAt, news.endedAt);
    // Instances that know only what was taken last would take the limit for ended.
    if (state.news.isInForce() && state.news.endedAt > state.taken.namedAt)
        state.wasTaken = false;
    return this->report(state, wasInForce, now);
}

RateLimitChange ServerRateLimits::report(State &state, bool wasInForce, absl::Time now)
{
    const bool isInForce = state.news.isInForce();
    if (!isInForce)
        return wasInForce ? RateLimitChange::Ended : RateLimitChange::None;
    const bool isDue = state.reportedLimit != state.news.requestsPerSecond
        && now - state.reportedAt >= kChangeReportInterval;
    if (wasInForce && !isDue)
        return RateLimitChange::None;
    state.reportedLimit = state.news.requestsPerSecond;
    state.reportedAt = now;
    return wasInForce ? RateLimitChange::Changed : RateLimitChange::Named;
}

std::optional<double> ServerRateLimits::limitOf(ServerKey server) const
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || !found->second.news.isInForce())
        return std::nullopt;
    return found->second.news.requestsPerSecond;
}

std::optional<LimitNews> ServerRateLimits::takeFrom(State &state)
{
    const double change = std::abs(state.news.requestsPerSecond - state.taken.requestsPerSecond);
    const bool isOther =
        state.news.isInForce() && change > kSignificantChange * state.taken.requestsPerSecond;
    // An end soon after the limit was named may look older than that to other instances.
    const bool isClearer = !state.news.isInForce()
        && state.news.endedAt - state.taken.endedAt >= kClearerEnd
        && state.taken.endedAt - state.news.namedAt < kUnclearEnd;
    const bool isChanged = !state.wasTaken || isOther || isClearer
        || state.news.isInForce() != state.taken.isInForce();
    if (!isChanged)
        return std::nullopt;
    state.taken = state.news;
    state.wasTaken = true;
    return state.news;
}

std::optional<LimitNews> ServerRateLimits::takeChange(ServerKey server)
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? std::nullopt : takeFrom(found->second);
}

std::vector<LimitNews> ServerRateLimits::takeChanges()
{
    std::vector<LimitNews> changes;
    for (auto &[server, state] : this->servers) {
        if (const std::optional<LimitNews> news = takeFrom(state))
            changes.push_back(*news);
    }
    return changes;
}

std::vector<ServerLimit> ServerRateLimits::inForce() const
{
    std::vector<ServerLimit> result;
    for (const auto &[server, state] : this->servers) {
        if (state.news.isInForce())
            result.push_back({server, state.news.requestsPerSecond});
    }
    return result;
}

std::vector<LimitNews> ServerRateLimits::all() const
{
    std::vector<LimitNews> news;
    for (const auto &[server, state] : this->servers)
        news.push_back(state.news);
    return news;
}

void ServerRateLimits::onTick(absl::Time now)
{
    absl::erase_if(this->servers, [now](const auto &item) {
        const State &state = item.second;
        return now - state.heardAt > (state.news.isInForce() ? kRetention : kEndedRetention);
    });
}

ServerRateLimits::State &ServerRateLimits::stateOf(ServerKey server, absl::Time now)
{
    if (this->servers.size() >= kMaxServers && !this->servers.contains(server)) {
        const auto oldest = std::min_element(
            this->servers.begin(), this->servers.end(),
            [](const auto &a, const auto &b) { return a.second.heardAt < b.second.heardAt; });
        this->servers.erase(oldest);
    }
    State &state = this->servers[server];
    state.news.server = server;
    state.heardAt = now;
    return state;
}

} // namespace foxtailtally
