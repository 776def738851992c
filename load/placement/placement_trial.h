#pragma once

#include "load/placement/trial_servers.h"
#include "servers/catalog/serving_config.h"
#include "servers/placement/admission_order.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailtally {

/** A kind of stream in a trial; its prompt lengths and numbers of events are log-normally
 * distributed. */
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

/** A period with its own request rates. */
struct TrialPhase
{
    double endS = 0;
    /** Factor on the rate of each kind. */
    std::vector<double> rateFactors;
};

struct TrialSetup
{
    EngineTiming engine;
    std::size_t engines = 1;
    std::size_t instances = 1;
    std::size_t domains = 1;
    /** Time until the aggregator of a domain learns of an instance's placements, and the intervals
     * at which it sends sums within its domain and to other domains. */
    double reportDelayMs = 2;
    double bundleIntervalMs = 4;
    double otherDomainsIntervalMs = 8;
    std::vector<TrialKind> kinds;
    std::vector<TrialPhase> phases;
    /** Decides which of the engines are present; all are if null. */
    TrialServers *servers = nullptr;
    AdmissionOrder order = AdmissionOrder::Arrival;
    /** Streams are queued and refused as by the gateway, engines reject requests beyond their
     * queues, and the objective of a retry counts from the retry. */
    bool hasEngineQueues = false;
};

/** Outcome of the first attempt of a stream. */
struct TrialOutcome
{
    int kind = 0;
    double arrivalS = 0;
    bool isOnTime = false;
};

struct TrialKindResult
{
    int requests = 0;
    int onTime = 0;
    int late = 0;
    int lost = 0;
    /** Streams with a late first event that were not deferred. */
    int lateTimely = 0;
    /** Attempts that were refused, and those of them that were retries; counted only with engine
     * queues. */
    int refused = 0;
    int refusedAgain = 0;
    /** Streams with a late first event, and with an event gap beyond the objective; both for
     * finished streams only. */
    int lateFirstEvents = 0;
    int longEventGaps = 0;
    /** Value of all requests if served on time, and the value that was achieved. */
    double totalValue = 0;
    double earnedValue = 0;
};

struct TrialResult
{
    std::vector<TrialKindResult> kinds;
    /** One for each stream, in no order. */
    std::vector<TrialOutcome> outcomes;
    /** Achieved share of the total value. */
    double earnedShare() const;
    /** Share of the streams of @p kind that arrived from @p fromS to @p toS and were on time. */
    double onTimeShare(int kind, double fromS, double toS) const;
    /** Seconds after @p endS until at least @p share of the streams of @p kind are on time that
     * arrive within a second; up to @p untilS. */
    double recoveryS(int kind, double endS, double untilS, double share) const;
};

/** Length of the phase before the burst of burstSetup(), and of the burst, in seconds. */
inline constexpr double kBurstStartS = 6;
inline constexpr double kBurstEndS = 26;
/** End of the trial, after a phase with the usual rates. */
inline constexpr double kBurstTrialEndS = 38;

/**
 * A service of which one of three failure domains is evacuated, so 40 engines remain, with the
 * usual rates of medium and long streams, and a burst in which short streams arrive at
 * @p shortFactor times their usual rate of 85 a second.
 */
TrialSetup burstSetup(std::size_t instances, double shortFactor, AdmissionOrder order);

/** The users' deployments, by name: "himrekha", "fotocheck", "himrekha-grown", "fotocheck-grown",
 * "himrekha-large". */
TrialSetup trialSetup(const std::string &name);

/**
 * Simulates a load on engines in virtual time, with the placement that the gateway uses. The same
 * seed gives the same arrivals; results of two processes may differ, most under overload.
 */
TrialResult runPlacementTrial(const TrialSetup &setup, std::uint64_t seed);

} // namespace foxtailtally
