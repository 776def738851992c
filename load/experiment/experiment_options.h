#pragma once

#include "core/result.h"
#include "core/settings.h"
#include "load/workload/trace.h"

#include <absl/time/time.h>
#include <string>
#include <vector>

namespace foxtailtally {

enum class FaultKind {
    /** The engines and instances of a domain are unreachable until the end and lose their state. */
    DomainLost,
    /** Operators take a domain out of service until the end. */
    DomainOut,
    /** A server dies and restarts cold at the end. */
    ServerLost,
    /** A server turns cold without a notification. */
    ServerCold,
};

/** One fault; times are relative to the start of the trace. */
struct ExperimentFault
{
    FaultKind kind = FaultKind::DomainLost;
    /** Index of the domain or server. */
    int target = 0;
    absl::Duration begin;
    absl::Duration end;
};

/** A routing policy and the admission policy that it is combined with. */
struct PolicyPair
{
    std::string routing;
    std::string admission;

    std::string name() const { return this->routing + "/" + this->admission; }
};

/** One experiment, as read from an INI file. */
struct ExperimentOptions
{
    std::string title;
    std::string deploymentName;
    /** Offered load as a ratio of the deployment's capacity. */
    double load = 0.8;
    absl::Duration length = absl::Minutes(10);
    RateShape shape = RateShape::Steady;
    /** Requests with more prompt tokens are omitted from the trace. */
    std::int64_t largestPrompt = 1000000;
    std::vector<PolicyPair> policies;
    std::vector<ExperimentFault> faults;
    std::uint64_t seed = 1;
};

/** Settings that an experiment file may contain. */
const std::vector<SettingSpec> &experimentSchema();

/** Reads @p file; every problem is appended to @p problems. */
Result<ExperimentOptions> loadExperiment(const std::string &file,
                                         std::vector<SettingsProblem> &problems);
Result<ExperimentOptions> parseExperiment(const std::string &text, const std::string &name,
                                          std::vector<SettingsProblem> &problems);

} // namespace foxtailtally
