#pragma once

#include <string>
#include <vector>

namespace foxtailtally {

/** Options of the `experiment` command. */
struct ExperimentCommand
{
    /** INI file of the experiment. */
    std::string file;
    /** Files to write; empty leaves a form out. The text goes to standard output. */
    std::string jsonFile;
    std::string htmlFile;
};

/** Exit statuses of all commands. */
enum class CommandStatus : int {
    Done = 0,
    /** The run was completed and found a fault of the system, such as a mixed-up stream. */
    FaultFound = 1,
    /** Settings or arguments are wrong; the problems are on standard error. */
    BadInput = 2,
    /** A file could not be written or no instance could be reached. */
    Failed = 3,
};

CommandStatus runExperiment(const ExperimentCommand &command);

} // namespace foxtailtally
