#include "main/lib/tool_commands.h"

#include "load/commands.h"

#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

namespace {

std::string fromEnvironment(const std::string &variable)
{
    const char *value = std::getenv(variable.c_str());
    return value == nullptr ? "" : value;
}

/** Non-empty lines of @p file; none if the file name is empty. */
std::vector<std::string> readLines(const std::string &file)
{
    std::vector<std::string> lines;
    std::ifstream stream(file);
    std::string line;
    while (std::getline(stream, line)) {
        if (!line.empty())
            lines.push_back(line);
    }
    return lines;
}

void addLoadCommand(CLI::App &app, int &exitCode)
{
    CLI::App *load = app.add_subcommand("load", "Send an open-loop load to entry instances");
    auto options = std::make_shared<LoadCommand>();
    auto tokenVariable = std::make_shared<std::string>("FOXTAILTALLY_API_KEY");
    auto withoutActions = std::make_shared<bool>(false);
    auto keysFile = std::make_shared<std::string>();
    load->add_option("--entry", options->entries, "Base URL of an entry instance or load balancer")
        ->required();
    load->add_option("--deployment", options->deployment, "Mix of requests: himrekha or fotocheck");
    load->add_option("--rate", options->requestsPerSecond, "Requests per second");
    load->add_option("--seconds", options->seconds, "Length of the load in seconds");
    load->add_flag("--surge", options->isSurge, "Quiet stretches and a deadline surge");
    load->add_flag("--without-actions", *withoutActions, "No calls to plain services");
    load->add_option("--prompt-scale", options->promptScale,
                     "Scale factor for prompt lengths, above 0 and at most 1");
    load->add_option("--seed", options->seed, "Seed of the trace");
    load->add_option("--token-env", *tokenVariable, "Environment variable with the API key");
    load->add_option(
        "--customer-keys", *keysFile,
        "File with lines customer-N=key; arguments would show the keys to other users");
    load->add_option("--model", options->model, "Model to ask for");
    load->add_option("--threads", options->threads, "Client threads");
    load->add_option("--lines", options->linesFile, "File for one JSON line per request");
    load->add_option("--summary", options->summaryFile, "File for the summary as JSON");
    load->callback([options, tokenVariable, withoutActions, keysFile, &exitCode] {
        options->token = fromEnvironment(*tokenVariable);
        options->customerTokens = readLines(*keysFile);
        options->withActions = !*withoutActions;
        exitCode = static_cast<int>(runLoad(*options));
    });
}

void addExperimentCommand(CLI::App &app, int &exitCode)
{
    CLI::App *experiment =
        app.add_subcommand("experiment", "Compare policies on one trace in virtual time");
    auto options = std::make_shared<ExperimentCommand>();
    experiment->add_option("file", options->file, "INI file, see docs/experiments.md")->required();
    experiment->add_option("--json", options->jsonFile, "File for the result as JSON");
    experiment->add_option("--html", options->htmlFile, "File for the page with plots");
    experiment->callback(
        [options, &exitCode] { exitCode = static_cast<int>(runExperiment(*options)); });
}

void addLimitExperimentCommand(CLI::App &app, int &exitCode)
{
    CLI::App *experiment =
        app.add_subcommand("limit-experiment",
                           "Keep rate limits of servers over fleets of 6 to 295 instances, in "
                           "virtual time");
    auto options = std::make_shared<LimitExperimentCommand>();
    experiment->add_option("--seed", options->seed, "Seed of the calls and delays");
    experiment->add_option("--json", options->jsonFile, "File for the result as JSON");
    experiment->add_option("--html", options->htmlFile, "File for the page with plots");
    experiment->callback(
        [options, &exitCode] { exitCode = static_cast<int>(runLimitExperimentCommand(*options)); });
}

void addScalingExperimentCommand(CLI::App &app, int &exitCode)
{
    CLI::App *experiment = app.add_subcommand(
        "scaling-experiment", "Compare decisions on the number of servers in virtual time");
    auto options = std::make_shared<ScalingExperimentCommand>();
    experiment->add_option("--seconds", options->seconds, "Length of the simulated day");
    experiment->add_option("--seeds", options->seeds, "Number of seeds");
    experiment->add_option("--html", options->htmlFile, "File for the page with plots");
    experiment->callback([options, &exitCode] {
        exitCode = static_cast<int>(runScalingExperimentCommand(*options));
    });
}

void addReportCommand(CLI::App &app, int &exitCode)
{
    CLI::App *report = app.add_subcommand("report", "Reports from the instances' metrics");
    report->require_subcommand(1);
    CLI::App *burn =
        report->add_subcommand("burn", "Service-level burn by customer, class and domain");
    auto options = std::make_shared<BurnCommand>();
    auto tokenVariable = std::make_shared<std::string>("FOXTAILTALLY_OPERATOR_TOKEN");
    burn->add_option("--admin", options->instances, "Administration URL of an instance")
        ->required();
    burn->add_option("--token-env", *tokenVariable, "Environment variable with the operator token");
    burn->add_option("--seconds", options->seconds, "Length of the observation in seconds");
    burn->add_option("--interval", options->interval, "Seconds between two reads");
    burn->add_option("--objective", options->objective,
                     "Fraction of the requests that must be neither late nor failed");
    burn->add_option("--json", options->jsonFile, "File for the report as JSON");
    burn->add_option("--html", options->htmlFile, "File for the page with plots");
    burn->callback([options, tokenVariable, &exitCode] {
        options->token = fromEnvironment(*tokenVariable);
        exitCode = static_cast<int>(runBurnReport(*options));
    });
}

} // namespace

void addToolCommands(CLI::App &app, int &exitCode)
{
    addLoadCommand(app, exitCode);
    addExperimentCommand(app, exitCode);
    addLimitExperimentCommand(app, exitCode);
    addScalingExperimentCommand(app, exitCode);
    addReportCommand(app, exitCode);
}

} // namespace foxtailtally
