#pragma once

#include "main/gateway/gateway_context.h"

#include <absl/time/time.h>
#include <span>
#include <vector>

namespace foxtailtally {

/** Server for a call to a plain service. */
struct ServiceChoice
{
    /** Null when no server may get the call. */
    const ServerDirectory::Server *server = nullptr;
    /** If the server has a rate limit: it and others with one, of which a token of any will do. */
    std::vector<ServerKey> limited;
};

/** Chooses servers for calls to plain services from what this instance knows about them. */
class ServicePlanner
{
public:
    explicit ServicePlanner(GatewayContext &context)
        : context(context)
    { }

    /** @p tried: servers that the call has been sent to before. @p tokenPatience: longest time that
     * it can wait for a token. */
    ServiceChoice choose(const Service &service, std::span<const ServerKey> tried,
                         absl::Duration tokenPatience, absl::Time now) const;

private:
    GatewayContext &context;
};

} // namespace foxtailtally
