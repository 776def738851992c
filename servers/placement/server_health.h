#pragma once

#include "servers/catalog/server_directory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace foxtailtally {

/**
 * Evidence about servers from the outcomes of real calls. Health checks are not used: a server may
 * pass them and answer no call, or fail them and still serve.
 */
class ServerHealth
{
public:
    /** How a call ended, as far as it is evidence for or against the server. */
    enum class Outcome {
        Answered,
        /** The server replied that it failed. */
        Failed,
        /** The connection could not be established, or it broke. */
        Lost,
        /** No data arrived for much longer than planned. */
        Silent,
    };

    void onOutcome(ServerKey server, Outcome outcome, absl::Time now);
    /** The server took @p ratio times the planned time for a piece of work. */
    void onSlowdown(ServerKey server, double ratio, absl::Time now);
    void onLatency(ServerKey server, absl::Duration latency, absl::Time now);
    /** Another instance suspects the server and will do so for another @p left. */
    void onPeerSuspicion(ServerKey server, absl::Duration left, absl::Time now);

    bool isSuspect(ServerKey server, absl::Time now) const;
    /** Time until the suspicion ends; zero when there is none. */
    absl::Duration suspicionLeft(ServerKey server, absl::Time now) const;
    /** Share of recent calls that failed. */
    double failureRatio(ServerKey server) const;
    /** Moving average of the ratios given to onSlowdown(), at least 1. */
    double slowdown(ServerKey server) const;
    /** Moving average of the response time; zero before the first response. */
    absl::Duration latency(ServerKey server) const;
    /** Removes servers of which nothing was observed or heard in the last minute. */
    void onTick(absl::Time now);

private:
    struct State
    {
        int consecutiveFailures = 0;
        absl::Time suspectUntil = absl::InfinitePast();
        double failureRatio = 0;
        double slowdown = 1.0;
        absl::Duration latency = absl::ZeroDuration();
        absl::Time updatedAt = absl::InfinitePast();
    };

    const State *find(ServerKey server) const;

    absl::flat_hash_map<ServerKey, State> servers;
};

} // namespace foxtailtally
