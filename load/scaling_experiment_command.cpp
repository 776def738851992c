#include "load/commands.h"
#include "load/report/report_file.h"
#include "load/scaling/scaling_experiment.h"

#include <iostream>

namespace foxtailtally {

CommandStatus runScalingExperimentCommand(const ScalingExperimentCommand &command)
{
    const std::vector<ScalingExperimentRow> rows =
        runScalingExperiment(command.seconds, command.seeds);
    std::cout << toText(rows);
    return writeReportFile(command.htmlFile, scalingExperimentPage(rows)) ? CommandStatus::Done
                                                                          : CommandStatus::Failed;
}

} // namespace foxtailtally
