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
    /** Report files to write; none if empty. The text report goes to standard output. */
    std::string jsonFile;
    std::string htmlFile;
};

/** Options of the `limit-experiment` command. */
struct LimitExperimentCommand
{
    std::uint64_t seed = 1;
    /** Report files to write; none if empty. The text report goes to standard output. */
    std::string jsonFile;
    std::string htmlFile;
};

/** Options of the `scaling-experiment` command. */
struct ScalingExperimentCommand
{
    /** Length of the day that is simulated. */
    double seconds = 34;
    /** Number of seeds over which means are taken. */
    int seeds = 3;
    /** Report file to write; none if empty. The text report goes to standard output. */
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
    /** Factor on the prompt lengths, above 0 and at most 1. */
    double promptScale = 1;
    std::uint64_t seed = 1;
    /** Bearer token for customers that customerTokens does not name. */
    std::string token;
    /** Pairs "customer=token"; customers are named customer-0, customer-1 and so on. */
    std::vector<std::string> customerTokens;
    /** Model of the requests; empty for the model of the deployment. */
    std::string model;
    int threads = 2;
    /** Files to write: one JSON line per request, and the summary. None if empty. */
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
     * Length of the observation and interval between readings, in seconds. With an observation of
     * 0 s the report covers the time since the start of the instances.
     */
    double seconds = 300;
    double interval = 10;
    /** Ratio of admitted requests that must be neither late nor failed. */
    double objective = 0.999;
    std::string jsonFile;
    std::string htmlFile;
};

/** Exit statuses of all commands. */
enum class CommandStatus : int {
    Done = 0,
    /** The run was completed and found a fault, for example a response with the text of another. */
    FaultFound = 1,
    /** Settings or arguments are invalid; the problems are printed to standard error. */
    BadInput = 2,
    /** A file could not be written or no instance could be reached. */
    Failed = 3,
};

CommandStatus runExperiment(const ExperimentCommand &command);
CommandStatus runLimitExperimentCommand(const LimitExperimentCommand &command);
CommandStatus runScalingExperimentCommand(const ScalingExperimentCommand &command);
CommandStatus runLoad(const LoadCommand &command);
CommandStatus runBurnReport(const BurnCommand &command);

} // namespace foxtailtally
