#pragma once

#include "main/gateway/gateway_context.h"
#include "servers/placement/stream_placement.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** What is to be done with a stream now. */
struct StreamDecision
{
    enum class Kind {
        Place,
        /** No plan is without harm to others, and there is time to wait for one. */
        Wait,
        /** Its caller would leave before the first event, or it costs others more than it brings.
         */
        NotWorthwhile,
        /** No engine can take it. */
        NoServer,
    };

    Kind kind = Kind::NoServer;
    /** plan is set, whatever kind says of it. */
    bool hasPlan = false;
    StreamPlan plan;
    /** The engine and its helpers, as plan names them. */
    std::vector<const ServerDirectory::Server *> servers;
    std::vector<EngineCandidate> candidates;
    /** Load of the chosen engine when the decision was made. */
    double readLeftMs = 0;
    std::int64_t writers = 0;
};

/** Share of its caller's patience after which a stream is moved to another engine, and within which
 * that one must bring the next event. */
inline constexpr double kMigrationTimeoutShare = 0.6;

/** Brings together what this instance knows of the engines of a service, and decides. */
class StreamPlanner
{
public:
    explicit StreamPlanner(GatewayContext &context)
        : context(context)
    { }

    /** @p tried: engines that the stream has been sent to before. */
    StreamDecision decide(const Service &service, const StreamDemand &demand,
                          std::span<const ServerKey> tried, absl::Time now) const;
    /** An engine would bring the stream's next event in good time. */
    bool hasTimelyPlan(const Service &service, const StreamDemand &demand,
                       std::span<const ServerKey> tried, absl::Time now) const;

private:
    void collect(const Service &service, std::span<const ServerKey> tried, const ServerLoads &loads,
                 absl::Time now, StreamDecision &decision) const;

    GatewayContext &context;
};

/**
 * True when @p server may get no further request this second because it is cold, or might be: a
 * server can turn cold without notice. @p knownArrivals: what all instances sent it in the last
 * second, as far as is known.
 */
bool isRateBound(const GatewayContext &context, const Service &service,
                 const ServerDirectory::Server &server, std::int64_t knownArrivals, absl::Time now);

} // namespace foxtailtally
