#pragma once

#include "load/limits/limit_trial.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace foxtailtally {

/** One setup of the limit experiment, named by what it varies. */
struct LimitScenario
{
    /** "one", "third" or "all" of the servers have a limit. */
    std::string part;
    /** "even" or "one instance". */
    std::string demand;
    /** "none", or what fails or changes. */
    std::string fault;
    LimitTrialSetup setup;
};

struct LimitScenarioResult
{
    LimitScenario scenario;
    LimitTrialResult result;
};

/** Fleets of @p instances without faults: parts of the servers, limits and demands. */
std::vector<LimitScenario> steadyLimitScenarios(std::size_t instances);
/** The same fleets with changes of the limit, and with faults of issuers and links. */
std::vector<LimitScenario> faultyLimitScenarios(std::size_t instances);

/** Runs all scenarios at 6, 30, 100 and 295 instances. */
std::vector<LimitScenarioResult> runLimitExperiment(std::uint64_t seed);

std::string toText(const std::vector<LimitScenarioResult> &results);
nlohmann::json toJson(const std::vector<LimitScenarioResult> &results);
/** Page with tables and plots. */
std::string limitExperimentPage(const std::vector<LimitScenarioResult> &results);

} // namespace foxtailtally
