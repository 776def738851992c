#pragma once

#include "main/gateway/gateway_context.h"

#include <memory>
#include <vector>

namespace foxtailtally {

/** Opens connections to servers that could not be reached, to learn when they can be again, and to
 * silent ones, to learn whether they are there. */
class ServerProber
{
public:
    explicit ServerProber(GatewayContext &context)
        : context(context)
    { }

    /** Judges the probes under way and starts those that are due. */
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
    /** The probe's connection hangs. */
    void recordTimeout(const Probe &probe, absl::Time now);

    GatewayContext &context;
    std::vector<Probe> probes;
};

} // namespace foxtailtally
