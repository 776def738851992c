#include "main/gateway/gateway_context.h"

#include "core/hash.h"

#include <utility>

namespace foxtailtally {

std::uint64_t GatewayContext::stableSeed(const GatewaySettings &settings)
{
    return stableHash(settings.id.str());
}

void GatewayContext::onTick(absl::Time now)
{
    // The first tick after a pause may come before all that has arrived meanwhile has been read.
    this->inputSince = std::exchange(this->tickedAt, now);
}

} // namespace foxtailtally
