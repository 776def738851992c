#include "main/gateway/gateway_context.h"

#include "core/hash.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Time between two ticks beyond which the process counts as paused: ticks are 250 ms apart. */
constexpr absl::Duration kMinPause = absl::Milliseconds(500);

} // namespace

std::uint64_t GatewayContext::stableSeed(const GatewaySettings &settings)
{
    return stableHash(settings.id.str());
}

void GatewayContext::onTick(absl::Time now)
{
    // This tick may come before all that has arrived during the pause has been read.
    this->pausedSince = now - this->tickedAt > kMinPause ? this->tickedAt : absl::InfiniteFuture();
    this->tickedAt = now;
    this->responses.setServers(this->directory.size());
}

absl::Time GatewayContext::inputSince(absl::Time now) const
{
    const absl::Time lastSign = now - this->tickedAt > kMinPause ? this->tickedAt : now;
    return std::min(this->pausedSince, lastSign);
}

} // namespace foxtailtally
