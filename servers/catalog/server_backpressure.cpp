#include "servers/catalog/server_backpressure.h"

#include <algorithm>

namespace foxtailtally {

bool ServerBackpressure::onDraining(ServerKey server, absl::Time now)
{
    State &state = this->stateOf(server, now);
    const bool isNew = state.leavingSince == absl::InfiniteFuture();
    state.leavingSince = std::min(state.leavingSince, now);
    return isNew;
}

bool ServerBackpressure::onPause(ServerKey server, absl::Duration pause, absl::Time now)
{
    if (pause <= absl::ZeroDuration())
        return false;
    State &state = this->stateOf(server, now);
    const bool isNew = state.pausedUntil <= now;
    state.pausedUntil = std::max(state.pausedUntil, now + std::min(pause, kMaxPause));
    return isNew;
}

bool ServerBackpressure::isLeaving(ServerKey server) const
{
    const auto found = this->servers.find(server);
    return found != this->servers.end() && found->second.leavingSince != absl::InfiniteFuture();
}

absl::Time ServerBackpressure::pausedUntil(ServerKey server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? absl::InfinitePast() : found->second.pausedUntil;
}

bool ServerBackpressure::mayGetWork(ServerKey server, absl::Time now) const
{
    return !this->isLeaving(server) && this->pausedUntil(server) <= now;
}

void ServerBackpressure::onTick(absl::Time now)
{
    absl::erase_if(this->servers, [now](const auto &item) {
        const State &state = item.second;
        const bool isLeaving = state.leavingSince != absl::InfiniteFuture();
        return isLeaving ? now - state.heardAt > kDrainingRetention : state.pausedUntil <= now;
    });
}

ServerBackpressure::State &ServerBackpressure::stateOf(ServerKey server, absl::Time now)
{
    if (this->servers.size() >= kMaxServers && !this->servers.contains(server)) {
        const auto oldest = std::min_element(
            this->servers.begin(), this->servers.end(),
            [](const auto &a, const auto &b) { return a.second.heardAt < b.second.heardAt; });
        this->servers.erase(oldest);
    }
    State &state = this->servers[server];
    state.heardAt = now;
    return state;
}

} // namespace foxtailtally
