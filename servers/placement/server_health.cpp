#include "servers/placement/server_health.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Duration of the first suspicion after a broken connection; doubles with each further failure. A
 * crashed server is back after a few seconds, one that only broke off a call is available at once.
 */
constexpr absl::Duration kFirstSuspicion = absl::Milliseconds(400);
constexpr absl::Duration kMaxSuspicion = absl::Seconds(4);

/** Consecutive failures after which a failure response makes a server suspect; a broken connection
 * or silence does so at once. */
constexpr int kFailuresForSuspicion = 3;

/** Weight of the newest observation in moving averages. */
constexpr double kSampleWeight = 0.25;
constexpr double kOutcomeWeight = 0.1;

constexpr double kMinSlowdown = 0.8;
constexpr double kMaxSlowdown = 20.0;

constexpr absl::Duration kRetention = absl::Minutes(1);

} // namespace

void ServerHealth::onOutcome(ServerKey server, Outcome outcome, absl::Time now)
{
    State &state = this->servers[server];
    state.updatedAt = now;
    const bool isSuccess = outcome == Outcome::Answered;
    state.failureRatio += kOutcomeWeight * ((isSuccess ? 0.0 : 1.0) - state.failureRatio);
    if (isSuccess) {
        state.consecutiveFailures = 0;
        state.suspectUntil = absl::InfinitePast();
        return;
    }
    ++state.consecutiveFailures;
    const int threshold = outcome == Outcome::Failed ? kFailuresForSuspicion : 1;
    if (state.consecutiveFailures < threshold)
        return;
    const int doublings = std::min(state.consecutiveFailures - threshold, 4);
    state.suspectUntil = now + std::min(kMaxSuspicion, kFirstSuspicion * (1 << doublings));
}

void ServerHealth::onSlowdown(ServerKey server, double ratio, absl::Time now)
{
    State &state = this->servers[server];
    state.updatedAt = now;
    const double bounded = std::clamp(ratio, kMinSlowdown, kMaxSlowdown);
    state.slowdown += kSampleWeight * (bounded - state.slowdown);
}

void ServerHealth::onLatency(ServerKey server, absl::Duration latency, absl::Time now)
{
    State &state = this->servers[server];
    state.updatedAt = now;
    if (state.latency == absl::ZeroDuration())
        state.latency = latency;
    else
        state.latency += kSampleWeight * (latency - state.latency);
}

void ServerHealth::onPeerSuspicion(ServerKey server, absl::Duration left, absl::Time now)
{
    State &state = this->servers[server];
    state.updatedAt = now;
    state.suspectUntil = std::max(state.suspectUntil, now + std::min(left, kFirstSuspicion));
}

bool ServerHealth::isSuspect(ServerKey server, absl::Time now) const
{
    return this->suspicionLeft(server, now) > absl::ZeroDuration();
}

absl::Duration ServerHealth::suspicionLeft(ServerKey server, absl::Time now) const
{
    const State *state = this->find(server);
    return state ? std::max(absl::ZeroDuration(), state->suspectUntil - now) : absl::ZeroDuration();
}

double ServerHealth::failureRatio(ServerKey server) const
{
    const State *state = this->find(server);
    return state ? state->failureRatio : 0.0;
}

double ServerHealth::slowdown(ServerKey server) const
{
    const State *state = this->find(server);
    return state ? std::max(1.0, state->slowdown) : 1.0;
}

absl::Duration ServerHealth::latency(ServerKey server) const
{
    const State *state = this->find(server);
    return state ? state->latency : absl::ZeroDuration();
}

void ServerHealth::onTick(absl::Time now)
{
    absl::erase_if(this->servers,
                   [now](const auto &item) { return now - item.second.updatedAt > kRetention; });
}

const ServerHealth::State *ServerHealth::find(ServerKey server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? nullptr : &found->second;
}

} // namespace foxtailtally
