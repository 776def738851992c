#pragma once

#include "main/gateway/gateway_context.h"
#include "peers/http/loop_timer.h"

#include <memory>
#include <vector>

namespace foxtailtally {

/** Opens connections to unreachable servers, to detect when they are reachable again, and to silent
 * ones, to detect whether they still accept connections. */
class ServerProber final : public ProcessProber
{
public:
    explicit ServerProber(GatewayContext &context);
    ~ServerProber() override;
    ServerProber(const ServerProber &) = delete;
    ServerProber &operator=(const ServerProber &) = delete;

    /** Evaluates the probes in flight and starts those that are due. */
    void onTick(absl::Time now);
    void probe(ServerKey server, absl::Time now) override;

private:
    struct Probe
    {
        ServerKey key = 0;
        std::string address;
        FailureDomainId domain;
        absl::Time startedAt;
        std::unique_ptr<OutboundConnection> connection;
    };

    void start(ServerKey key, const ServerDirectory::Server &server, absl::Time now);
    void evaluateProbes(absl::Time now);
    void onCheckTimer();
    /** The connection of @p probe was neither established nor refused in time. */
    void recordTimeout(const Probe &probe, absl::Time now);

    GatewayContext &context;
    LoopTimer checkTimer;
    std::vector<Probe> probes;
};

} // namespace foxtailtally
