#include "servers/placement/server_health.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** First suspicion after a broken connection; doubles with each further one. A crashed server is
 * back after some seconds, one that only cut a call is back at once. */
constexpr absl::Duration kFirstSuspicion = absl::Milliseconds(400);
constexpr absl::Duration kLongestSuspicion = absl::Seconds(4);

/** Failed answers in a row after which a server is suspect. */
constexpr int kFailuresInRow = 3;

/** Weight of the newest observation in moving means. */
constexpr double kNewWeight = 0.25;
constexpr double kNewFailureWeight = 0.1;

constexpr double kLowestPace = 0.8;
constexpr double kHighestPace = 20.0;

constexpr absl::Duration kForgetAfter = absl::Minutes(1);

} // namespace

void ServerHealth::onOutcome(ServerKey server, Outcome outcome, absl::Time now)
{
    State &state = this->servers[server];
    state.touchedAt = now;
    const bool isGood = outcome == Outcome::Answered;
    state.failures += kNewFailureWeight * ((isGood ? 0.0 : 1.0) - state.failures);
    if (isGood) {
        state.strikes = 0;
        state.suspectUntil = absl::InfinitePast();
        return;
    }
    ++state.strikes;
    const int free = outcome == Outcome::Failed ? kFailuresInRow : 1;
    if (state.strikes < free)
        return;
    const int doublings = std::min(state.strikes - free, 4);
    state.suspectUntil = now + std::min(kLongestSuspicion, kFirstSuspicion * (1 << doublings));
}

void ServerHealth::onSlowdown(ServerKey server, double ratio)
{
    State &state = this->servers[server];
    const double bounded = std::clamp(ratio, kLowestPace, kHighestPace);
    state.pace += kNewWeight * (bounded - state.pace);
}

void ServerHealth::onLatency(ServerKey server, absl::Duration latency)
{
    State &state = this->servers[server];
    if (state.latency == absl::ZeroDuration())
        state.latency = latency;
    else
        state.latency += kNewWeight * (latency - state.latency);
}

void ServerHealth::onPeerSuspicion(ServerKey server, absl::Duration left, absl::Time now)
{
    State &state = this->servers[server];
    state.touchedAt = now;
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
    return state ? state->failures : 0.0;
}

double ServerHealth::slowdown(ServerKey server) const
{
    const State *state = this->find(server);
    return state ? std::max(1.0, state->pace) : 1.0;
}

absl::Duration ServerHealth::latency(ServerKey server) const
{
    const State *state = this->find(server);
    return state ? state->latency : absl::ZeroDuration();
}

void ServerHealth::onTick(absl::Time now)
{
    absl::erase_if(this->servers,
                   [now](const auto &item) { return now - item.second.touchedAt > kForgetAfter; });
}

const ServerHealth::State *ServerHealth::find(ServerKey server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? nullptr : &found->second;
}

} // namespace foxtailtally
