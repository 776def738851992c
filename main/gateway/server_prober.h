#pragma once

#include "main/gateway/gateway_context.h"

#include <memory>
#include <vector>

namespace foxtailtally {

/** Opens connections to unreachable servers, to detect when they are reachable again, and to silent
 * ones, to detect whether they still accept connections. */
class ServerProber
{
public:
    explicit ServerProber(GatewayContext &context)
        : context(context)
    { }

    /** Evaluates the probes in flight and starts those that are due. */
    void onTick(absl::Time now);

private:
    struct Probe
    {
        ServerKey key = 0;
        std::string address;
        FailureDomainId domain;
        absl::Time startedAt;
        std::unique_ptr<OutboundConnection> connection;
    };

    void evaluateProbes(absl::Time now);
    /** The connection of @p probe was neither established nor refused in time. */
    void recordTimeout(const Probe &probe, absl::Time now);

    GatewayContext &context;
    std::vector<Probe> probes;
};

} // namespace foxtailtally
