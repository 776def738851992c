#include "main/gateway/gateway_context.h"

#include "core/hash.h"

namespace foxtailtally {

std::uint64_t GatewayContext::stableSeed(const GatewaySettings &settings)
{
    return stableHash(settings.id.str());
}

} // namespace foxtailtally
