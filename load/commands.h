#pragma once

#include <cstdint>
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

/** Options of the `load` command. */
struct LoadCommand
{
    /** Base URLs of entry instances or load balancers, used in turn. */
    std::vector<std::string> entries;
    std::string deployment = "himrekha";
    double requestsPerSecond = 10;
    double seconds = 60;
    bool isSurge = false;
    bool withActions = true;
    /** Prompt lengths are multiplied by this, above 0 and at most 1. */
    double promptScale = 1;
    std::uint64_t seed = 1;
    /** Bearer token for customers that customerTokens does not name. */
    std::string token;
    /** Pairs "customer=token"; customers are named customer-0, customer-1 and so on. */
    std::vector<std::string> customerTokens;
    /** Model to ask for; empty takes the deployment's. */
    std::string model;
    int threads = 2;
    /** Files to write: one JSON line per request, and the summary; empty leaves one out. */
    std::string linesFile;
    std::string summaryFile;
};

/** Options of the `burn` command. */
struct BurnCommand
{
    /** Base URLs of the instances' operator interfaces; read at the given interval. */
    std::vector<std::string> instances;
    std::string token;
    /**
     * Length of the observation and time between two reads, in seconds. Without an observation the
     * report covers the time since the instances were started.
     */
    double seconds = 300;
    double interval = 10;
    /** Part of the requests that must be neither late nor failed. */
    double objective = 0.999;
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
CommandStatus runLoad(const LoadCommand &command);
CommandStatus runBurnReport(const BurnCommand &command);

} // namespace foxtailtally
