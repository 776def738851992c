#include "load/commands.h"
#include "load/limits/limit_experiment.h"
#include "load/report/report_file.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace foxtailtally {

CommandStatus runLimitExperimentCommand(const LimitExperimentCommand &command)
{
    const std::vector<LimitScenarioResult> results = runLimitExperiment(command.seed);
    std::cout << toText(results);
    const bool isWritten = writeReportFile(command.jsonFile, toJson(results).dump(2) + "\n")
        && writeReportFile(command.htmlFile, limitExperimentPage(results));
    if (!isWritten)
        return CommandStatus::Failed;
    const bool breaksRule = std::any_of(results.begin(), results.end(), [](const auto &entry) {
        return entry.result.worstOfRule > 1;
    });
    return breaksRule ? CommandStatus::FaultFound : CommandStatus::Done;
}

} // namespace foxtailtally
