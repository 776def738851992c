#include "load/commands.h"
#include "load/experiment/simulation.h"
#include "load/report/experiment_page.h"
#include "load/report/report_file.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace foxtailtally {

CommandStatus runExperiment(const ExperimentCommand &command)
{
    std::vector<SettingsProblem> problems;
    const auto options = loadExperiment(command.file, problems);
    for (const SettingsProblem &problem : problems)
        std::cerr << problem.describe() << '\n';
    if (!options)
        return CommandStatus::BadInput;
    const ExperimentResult result = runPolicies(*options);
    std::cout << toText(result);
    const bool isWritten = writeReportFile(command.jsonFile, toJson(result).dump(2) + "\n")
        && writeReportFile(command.htmlFile, experimentPage(result));
    return isWritten ? CommandStatus::Done : CommandStatus::Failed;
}

} // namespace foxtailtally
