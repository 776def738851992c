#pragma once

#include "main/gateway/gateway_context.h"

#include <absl/time/time.h>
#include <span>

namespace foxtailtally {

/** Chooses servers for calls to plain services from what this instance knows about them. */
class ServicePlanner
{
public:
    explicit ServicePlanner(const GatewayContext &context)
        : context(context)
    { }

    /** Null when no server may get the call. @p tried: servers that it has been sent to before. */
    const ServerDirectory::Server *choose(const Service &service, std::span<const ServerKey> tried,
                                          absl::Time now) const;

private:
    const GatewayContext &context;
};

} // namespace foxtailtally
