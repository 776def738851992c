#pragma once

#include "main/gateway/gateway_context.h"
#include "servers/placement/stream_placement.h"

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** What to do with a stream now. */
struct StreamDecision
{
    enum class Kind {
        Place,
        /** No plan is without harm to other streams, and there is time to wait for one. */
        Wait,
        /** Its caller would disconnect before the first event, or it costs others more than it
         * gains. */
        NotWorthwhile,
        /** No engine can take it. */
        NoServer,
    };

    Kind kind = Kind::NoServer;
    /** plan is set, whatever the kind. */
    bool hasPlan = false;
    StreamPlan plan;
    /** The servers of the candidates, in the same order; plan refers to both by index. */
    std::vector<const ServerDirectory::Server *> servers;
    std::vector<EngineCandidate> candidates;
    /** If the plan has a single engine, which has a rate limit: it and others with one, of which a
     * token of any will do. */
    std::vector<ServerKey> limited;
    /** Load of the chosen engine when the decision was made. */
    double prefillLeftMs = 0;
    std::int64_t decodingStreams = 0;
    /** Set when streams are admitted in the order of their objectives. */
    std::optional<int> admissionPriority;
    /** When the queues of the engines are expected to end, if they are too long for the stream;
     * InfinitePast otherwise. */
    absl::Time queuesEndAt = absl::InfinitePast();
};

/** Share of the time that a caller waits for an event after which a stream is migrated to another
 * engine, and within which that engine must deliver the next event. */
inline constexpr double kMigrationTimeoutShare = 0.6;

/** Share of the time left to its objective for which a call waits for a token or for the end of a
 * pause; the rest must suffice for the work. */
inline constexpr double kMaxTokenWaitShare = 0.5;

/** Longest time for which a call waits for a token. @p left: until its objective. */
absl::Duration tokenPatience(absl::Duration left, absl::Duration objective);

/** Decides on the placement of streams from what this instance knows about the engines. */
class StreamPlanner
{
public:
    explicit StreamPlanner(GatewayContext &context)
        : context(context)
    { }

    /** @p tried: engines that the stream has been sent to before. */
    StreamDecision decide(const Service &service, const StreamDemand &demand,
                          std::span<const ServerKey> tried, absl::Time now) const;
    /** The same with these engines only, for which there are tokens where they are needed. */
    StreamDecision decideAmong(const Service &service, const StreamDemand &demand,
                               std::span<const ServerKey> engines, absl::Time now) const;
    /** The engine of @p decision would deliver the stream's next event in time. */
    static bool isTimely(const StreamDecision &decision, const StreamDemand &demand);

private:
    StreamDecision decide(const Service &service, const StreamDemand &demand,
                          absl::FunctionRef<bool(ServerKey)> isCandidate, bool hasTokens,
                          absl::Time now) const;
    void collect(const Service &service, absl::FunctionRef<bool(ServerKey)> isCandidate,
                 const ServerLoads &loads, absl::Time now, StreamDecision &decision) const;
    /** Excludes the engines of which no token is expected in time. */
    void excludeWithoutToken(const StreamDemand &demand, absl::Time now,
                             StreamDecision &decision) const;
    std::optional<StreamPlan> choose(const Service &service, const StreamDemand &demand,
                                     std::span<const EngineCandidate> candidates,
                                     const ServerLoads &loads, absl::Time now) const;
    void findAlternatives(const ServerLoads &loads, StreamDecision &decision) const;

    GatewayContext &context;
};

/**
 * True when @p server may get no further request this second because it is cold, or might be: a
 * server can turn cold without notice. @p knownArrivals: requests that all instances sent it in
 * the last second, as far as is known.
 */
bool exceedsColdRate(const GatewayContext &context, const Service &service,
                     const ServerDirectory::Server &server, std::int64_t knownArrivals,
                     absl::Time now);

} // namespace foxtailtally
