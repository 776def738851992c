#include "servers/retry/connection_reuse.h"

#include <algorithm>

namespace foxtailtally {

void ConnectionReuse::onDropped(ServerKey server, const std::string &service,
                                absl::Duration idleTime, absl::Time now)
{
    tighten(this->servers[server], idleTime, now);
    ServiceBound &common = this->services[service];
    const bool isRecent = common.bound.until > now;
    common.isOfSeveral = isRecent && (common.isOfSeveral || common.server != server);
    common.server = server;
    tighten(common.bound, idleTime, now);
}

absl::Duration ConnectionReuse::maxIdleTime(ServerKey server, const std::string &service,
                                            absl::Time now) const
{
    absl::Duration longest = this->usual;
    const auto own = this->servers.find(server);
    if (own != this->servers.end() && own->second.until > now)
        longest = std::min(longest, own->second.idleTime);
    const auto common = this->services.find(service);
    if (common != this->services.end() && common->second.isOfSeveral
        && common->second.bound.until > now)
        longest = std::min(longest, common->second.bound.idleTime);
    return longest;
}

void ConnectionReuse::onTick(absl::Time now)
{
    absl::erase_if(this->servers, [now](const auto &item) { return item.second.until <= now; });
    absl::erase_if(this->services,
                   [now](const auto &item) { return item.second.bound.until <= now; });
}

void ConnectionReuse::tighten(Bound &bound, absl::Duration idleTime, absl::Time now)
{
    if (bound.until <= now)
        bound.idleTime = absl::InfiniteDuration();
    bound.idleTime = std::min(bound.idleTime, std::max(kMinBound, idleTime * kUsableShare));
    bound.until = now + kRetention;
}

} // namespace foxtailtally
