#pragma once

#include "servers/catalog/server_directory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

namespace foxtailtally {

/**
 * What the answers of real calls say of servers. Health checks are no evidence: a server may pass
 * them and answer nothing, or fail them and serve.
 */
class ServerHealth
{
public:
    /** How a call ended, as far as it speaks for or against the server. */
    enum class Outcome {
        Answered,
        /** The server answered that it failed. */
        Failed,
        /** No connection came about, or it broke. */
        Lost,
        /** Nothing came for much longer than planned. */
        Silent,
    };

    void onOutcome(ServerKey server, Outcome outcome, absl::Time now);
    /** The server took @p ratio times the planned time for a piece of work. */
    void onSlowdown(ServerKey server, double ratio);
    void onLatency(ServerKey server, absl::Duration latency);
    /** Another instance holds the server for suspect for @p left. */
    void onPeerSuspicion(ServerKey server, absl::Duration left, absl::Time now);

    bool isSuspect(ServerKey server, absl::Time now) const;
    /** Time until the suspicion ends; zero when there is none. */
    absl::Duration suspicionLeft(ServerKey server, absl::Time now) const;
    /** Share of recent calls that failed. */
    double failureRatio(ServerKey server) const;
    double slowdown(ServerKey server) const;
    /** Mean time of recent answers; zero before the first one. */
    absl::Duration latency(ServerKey server) const;
    /** Forgets servers without evidence for a minute. */
    void onTick(absl::Time now);

private:
    struct State
    {
        int strikes = 0;
        absl::Time suspectUntil = absl::InfinitePast();
        double failures = 0;
        double pace = 1.0;
        absl::Duration latency = absl::ZeroDuration();
        absl::Time touchedAt = absl::InfinitePast();
    };

    const State *find(ServerKey server) const;

    absl::flat_hash_map<ServerKey, State> servers;
};

} // namespace foxtailtally
