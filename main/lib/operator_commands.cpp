#include "main/lib/operator_commands.h"

#include "peers/http/http_client.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

namespace foxtailtally {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;
constexpr absl::Duration kCallTimeout = absl::Seconds(15);

/** Address of the instance, and name and credentials of the operator. */
struct OperatorOptions
{
    std::string url;
    std::string tokenVariable = "FOXTAILTALLY_OPERATOR_TOKEN";
    std::string name;
    std::string argument;
};

int callInstance(const OperatorOptions &options, const std::string &method, const std::string &path,
                 const std::string &body)
{
    // The token comes from the environment, because other users can see command-line arguments.
    const char *token = std::getenv(options.tokenVariable.c_str());
    if (token == nullptr) {
        std::cerr << "environment variable " << options.tokenVariable << " is not set\n";
        return kExitSettings;
    }
    HttpCall call;
    call.method = method;
    call.url = options.url + path;
    call.headers = {"Authorization: Bearer " + std::string(token),
                    "Content-Type: application/json"};
    if (!options.name.empty())
        call.headers.push_back("X-Operator: " + options.name);
    call.body = body;
    call.timeout = kCallTimeout;
    HttpClient client(1);
    const Result<HttpReply> reply = client.perform(call);
    if (!reply.ok()) {
        std::cerr << "no answer from " << options.url << ": " << errorName(reply.error()) << '\n';
        return kExitFailed;
    }
    std::cout << reply->body << '\n';
    return reply->status == 200 ? 0 : kExitFailed;
}

int sendFile(const OperatorOptions &options, const std::string &path)
{
    std::ifstream stream(options.argument);
    if (!stream) {
        std::cerr << options.argument << ": cannot be read\n";
        return kExitSettings;
    }
    std::stringstream text;
    text << stream.rdbuf();
    return callInstance(options, "POST", path, text.str());
}

using Action = std::function<int(const OperatorOptions &)>;

void addCommand(CLI::App &parent, const std::string &name, const std::string &help,
                const std::string &argument, const Action &action, int &exitCode)
{
    CLI::App *command = parent.add_subcommand(name, help);
    auto options = std::make_shared<OperatorOptions>();
    command
        ->add_option("--admin", options->url, "Administration URL of an instance, http://ip:port")
        ->required();
    command->add_option("--token-env", options->tokenVariable,
                        "Environment variable that holds the operator token");
    command->add_option("--operator", options->name, "Name for the audit log");
    if (!argument.empty())
        command->add_option(argument, options->argument)->required();
    command->callback([options, action, &exitCode] { exitCode = action(*options); });
}

void addOutInCommands(CLI::App &app, const std::string &name, const std::string &help,
                      const std::string &path, int &exitCode)
{
    CLI::App *group = app.add_subcommand(name, help);
    group->require_subcommand(1);
    for (const std::string order : {"out", "in"}) {
        const std::string text = order == "out" ? "Take it out of service; running requests finish"
                                                : "Return it to service";
        addCommand(
            *group, order, text, "id",
            [path, order](const OperatorOptions &options) {
                return callInstance(
                    options, "POST",
                    std::string(path).append(options.argument).append("/").append(order), "");
            },
            exitCode);
    }
}

} // namespace

void addOperatorCommands(CLI::App &app, int &exitCode)
{
    CLI::App *note = app.add_subcommand("note", "Release notes");
    note->require_subcommand(1);
    addCommand(
        *note, "publish", "Publish a change set as the next release note", "file",
        [](const OperatorOptions &options) { return sendFile(options, "/admin/v1/notes"); },
        exitCode);
    addCommand(
        *note, "validate", "Check a change set against the current release note", "file",
        [](const OperatorOptions &options) {
            return sendFile(options, "/admin/v1/notes/validate");
        },
        exitCode);
    addCommand(
        *note, "show", "Print the release note in force at the instance", "",
        [](const OperatorOptions &options) {
            return callInstance(options, "GET", "/admin/v1/notes/current", "");
        },
        exitCode);
    addCommand(
        *note, "history", "Print the latest publications", "",
        [](const OperatorOptions &options) {
            return callInstance(options, "GET", "/admin/v1/notes/history", "");
        },
        exitCode);
    addOutInCommands(app, "domain", "Failure domains", "/admin/v1/failure-domains/", exitCode);
    addOutInCommands(app, "instance", "Instances", "/admin/v1/instances/", exitCode);
    addCommand(
        app, "status", "Print the state of an instance", "",
        [](const OperatorOptions &options) {
            return callInstance(options, "GET", "/admin/v1/status", "");
        },
        exitCode);
}

} // namespace foxtailtally
