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
    double ratePerSecond = 0;
    double meanPromptTokens = 0;
    double promptTokensSigma = 0;
    double maxPromptTokens = 0;
    double meanEvents = 0;
    double eventsSigma = 0;
    double objectiveMs = 0;
    double eventGapObjectiveMs = 0;
    double deadlineMs = 0;
    double value = 0;
    double lateValue = 0;
};

/** A stretch of time with another load. */
struct TrialPhase
{
    double endS = 0;
    /** Factor of each kind's rate. */
    std::vector<double> rateFactors;
};

struct TrialSetup
{
    EngineTiming engine;
    std::size_t engines = 1;
    std::size_t instances = 1;
    std::size_t domains = 1;
    /** Time until the aggregator of a domain knows what an instance has placed, and the pauses
     * between the sums that it tells within its domain and to other domains. */
    double reportDelayMs = 2;
    double bundleIntervalMs = 4;
    double otherDomainsIntervalMs = 8;
    std::vector<TrialKind> kinds;
    std::vector<TrialPhase> phases;
};

struct TrialKindResult
{
    int requests = 0;
    int onTime = 0;
    int late = 0;
    int lost = 0;
    /** Of the late ones: first event late, and pauses too long. */
    int lateFirstEvents = 0;
    int longEventGaps = 0;
    double totalValue = 0;
    double earnedValue = 0;
};

struct TrialResult
{
    std::vector<TrialKindResult> kinds;
    double earnedShare() const;
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
