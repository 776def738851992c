#pragma once

#include "servers/catalog/serving_config.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailtally {

/** One kind of stream in a trial. */
struct TrialKind
{
    std::string name;
    double perSecond = 0;
    double promptMean = 0;
    double promptSpread = 0;
    double promptMost = 0;
    double eventsMean = 0;
    double eventsSpread = 0;
    double objectiveMs = 0;
    double eventGapObjectiveMs = 0;
    double deadlineMs = 0;
    double worth = 0;
    double lateWorth = 0;
};

/** A stretch of time with another load. */
struct TrialPhase
{
    double untilS = 0;
    /** Factor of each kind's rate. */
    std::vector<double> factors;
};

struct TrialSetup
{
    EngineTiming engine;
    std::size_t engines = 1;
    std::size_t instances = 1;
    std::size_t domains = 1;
    /** Time until the aggregator of a domain knows what an instance has placed, and the pauses
     * between the sums that it tells within its domain and to other domains. */
    double reportMs = 2;
    double bundleMs = 4;
    double outsideMs = 8;
    std::vector<TrialKind> kinds;
    std::vector<TrialPhase> phases;
};

struct TrialKindResult
{
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int lost = 0;
    /** Of the late ones: first event late, and pauses too long. */
    int firstLate = 0;
    int pausesLate = 0;
    double worthOwed = 0;
    double worthEarned = 0;
};

struct TrialResult
{
    std::vector<TrialKindResult> kinds;
    double share() const;
};

/** The users' deployments, by name: "himrekha", "fotocheck", "himrekha-grown", "fotocheck-grown",
 * "himrekha-large". */
TrialSetup trialSetup(const std::string &name);

/**
 * Plays a load against engines in virtual time, with the placement that the gateway uses. The same
 * seed gives the same result.
 */
TrialResult runPlacementTrial(const TrialSetup &setup, std::uint64_t seed);

} // namespace foxtailtally
