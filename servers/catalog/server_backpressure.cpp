#include "servers/catalog/server_backpressure.h"

#include <algorithm>

namespace foxtailtally {

bool ServerBackpressure::onDraining(ServerKey server, absl::Time now)
{
    Wish &wish = this->wishOf(server, now);
    const bool isNews = wish.leavingSince == absl::InfiniteFuture();
    wish.leavingSince = std::min(wish.leavingSince, now);
    return isNews;
}

bool ServerBackpressure::onPause(ServerKey server, absl::Duration pause, absl::Time now)
{
    if (pause <= absl::ZeroDuration())
        return false;
    Wish &wish = this->wishOf(server, now);
    const bool isNews = wish.pausedUntil <= now;
    wish.pausedUntil = std::max(wish.pausedUntil, now + std::min(pause, kMaxPause));
    return isNews;
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
        const Wish &wish = item.second;
        const bool isLeaving = wish.leavingSince != absl::InfiniteFuture();
        return isLeaving ? now - wish.heardAt > kDrainingRetention : wish.pausedUntil <= now;
    });
}

ServerBackpressure::Wish &ServerBackpressure::wishOf(ServerKey server, absl::Time now)
{
    if (this->servers.size() >= kMaxServers && !this->servers.contains(server)) {
        const auto oldest = std::min_element(
            this->servers.begin(), this->servers.end(),
            [](const auto &a, const auto &b) { return a.second.heardAt < b.second.heardAt; });
        this->servers.erase(oldest);
    }
    Wish &wish = this->servers[server];
    wish.heardAt = now;
    return wish;
}

} // namespace foxtailtally
