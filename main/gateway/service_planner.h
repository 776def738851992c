#pragma once

#include "main/gateway/gateway_context.h"

#include <absl/time/time.h>
#include <span>

namespace foxtailtally {

/** Chooses servers for calls of plain services, with what this instance knows. */
class ServicePlanner
{
public:
    explicit ServicePlanner(const GatewayContext &context)
        : context(context)
    { }

    /** Null when no server may get the call. @p tried: servers that had it before. */
    const ServerDirectory::Server *choose(const Service &service, std::span<const ServerKey> tried,
                                          absl::Time now) const;

private:
    const GatewayContext &context;
};

} // namespace foxtailtally
