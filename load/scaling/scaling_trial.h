#pragma once

#include "load/placement/placement_trial.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailtally {

/** How the number of servers is decided in a trial. */
enum class ScalingPolicy : std::uint8_t {
    /** No orders: the number at the start stays. */
    Fixed,
    /** DemandMeter, DemandHistory and ReplicaPlanner. */
    Planner,
    /** The same need, known in advance: servers are ordered so that they are warm when they are
     * needed, and drain as soon as they are not. */
    PerfectKnowledge,
};

struct ScalingTrialSetup
{
    ScalingPolicy policy = ScalingPolicy::Planner;
    double targetUtilisation = 0.6;
    /** Servers at the start, in all domains together. */
    std::int64_t servers = 60;
    double seconds = 34;
};

struct ScalingTrialResult
{
    /** Shares of the requests that were on time: of all, and by kind. */
    double onTimeShare = 0;
    std::vector<double> onTimeShares;
    /** Share of the value of all requests that was achieved. */
    double earnedShare = 0;
    /** Time of servers from the order to the end of the last stream, within the day. */
    double serverSeconds = 0;
    double orders = 0;
    /** Servers that are paid, at each second. */
    std::vector<double> servers;
};

/** Load and engines of the trial, for a day of @p seconds: swings of 20% every 11 s, and a burst of
 * 1.7 times the rates for 3 s. */
TrialSetup scalingDay(double seconds);

/** Runs one day in virtual time. The same seed gives the same result. */
ScalingTrialResult runScalingTrial(const ScalingTrialSetup &setup, std::uint64_t seed);

/** Mean over the seeds from 1 to @p seeds. */
ScalingTrialResult meanScalingTrial(const ScalingTrialSetup &setup, int seeds);

} // namespace foxtailtally
