#include "main/gateway/cold_servers.h"

#include "main/gateway/gateway_context.h"
#include "servers/limits/cold_limit.h"

#include <vector>

namespace foxtailtally {

void updateColdLimits(GatewayContext &context, absl::Time now)
{
    std::vector<ServerLimit> limits;
    const std::vector<const ServerDirectory::Server *> cold = context.directory.cold(now);
    for (const ServerDirectory::Server *server : cold) {
        const Service *service =
            context.config ? context.config->findService(server->entry.service) : nullptr;
        // The arrivals at engines are reported between instances and bound as a sum.
        if (!service || service->isEngine || service->coldRequestsPerSecond <= 0)
            continue;
        limits.push_back({server->key,
                          coldTokenRate(service->coldRequestsPerSecond, context.settings.coldFactor,
                                        context.settings.coldSlack)});
    }
    context.limits.setColdLimits(limits, now);
}

} // namespace foxtailtally
