#include "main/lib/command_line.h"

#include "core/log.h"
#include "core/settings.h"
#include "main/gateway/gateway.h"
#include "main/lib/entry_instance.h"
#include "main/lib/operator_commands.h"
#include "main/lib/settings_schema.h"
#include "main/lib/tool_commands.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <sodium.h>
#include <string>

namespace foxtailtally {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;

Result<Settings> readSettings(const std::string &file, const std::vector<SettingSpec> &schema)
{
    std::vector<SettingsProblem> problems;
    Result<Settings> settings = Settings::load(file, schema, problems);
    for (const SettingsProblem &problem : problems)
        std::cerr << problem.describe() << '\n';
    return settings;
}

int serve(const std::string &file)
{
    const Result<Settings> settings = readSettings(file, serveSettingsSchema());
    if (!settings.ok())
        return kExitSettings;
    configureLog(parseLogLevel(settings->text("log", "level")), settings->text("log", "file"));
    // The signals are blocked before any thread starts, so that only the wait below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    EntryInstance instance(*settings);
    if (const std::error_code error = instance.start()) {
        std::cerr << "cannot start: " << errorName(error) << '\n';
        return error == Error::SettingsInvalid ? kExitSettings : kExitFailed;
    }
    int received = 0;
    sigwait(&signals, &received);
    instance.stopGracefully();
    return 0;
}

int serveGateway(const std::string &file)
{
    // Settings are read at start only; a new file takes effect at the next start.
    std::signal(SIGHUP, SIG_IGN);
    const Result<Settings> settings = readSettings(file, gatewaySettingsSchema());
    if (!settings.ok())
        return kExitSettings;
    const GatewaySettings values = gatewaySettings(*settings);
    configureLog(values.logLevel, "");
    Gateway gateway(values);
    if (const std::error_code error = gateway.start()) {
        std::cerr << "cannot start: " << error.message() << '\n';
        return error == Error::SettingsInvalid ? kExitSettings : kExitFailed;
    }
    gateway.run();
    return 0;
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    if (sodium_init() < 0)
        return kExitFailed;
    CLI::App app(
        "foxtailtally: a serving layer for language-model prompts of widely varying length");
    app.set_version_flag("--version", std::string(FOXTAILTALLY_VERSION));
    app.require_subcommand(1);
    int result = 0;

    std::string settingsFile;
    CLI::App *serveCommand = app.add_subcommand("serve", "Run an entry instance");
    serveCommand->add_option("--settings", settingsFile, "INI file, see docs/settings.md")
        ->required();
    serveCommand->callback([&] { result = serve(settingsFile); });

    CLI::App *gatewayCommand =
        app.add_subcommand("gateway", "Run an entry instance on the users' platform");
    gatewayCommand->add_option("--settings", settingsFile, "INI file, see docs/settings.md")
        ->required();
    gatewayCommand->callback([&] { result = serveGateway(settingsFile); });

    CLI::App *check = app.add_subcommand("check-settings", "Check a settings file and exit");
    bool describe = false;
    check->add_option("--settings", settingsFile, "INI file to check");
    check->add_flag("--describe", describe, "Print every key with unit, default and range");
    bool isGateway = false;
    check->add_flag("--gateway", isGateway, "Check settings of the gateway command");
    check->callback([&] {
        const std::vector<SettingSpec> &schema =
            isGateway ? gatewaySettingsSchema() : serveSettingsSchema();
        if (describe)
            std::cout << describeSettings(schema);
        else
            result = readSettings(settingsFile, schema).ok() ? 0 : kExitSettings;
    });

    app.add_subcommand("key-digest",
                       "Print the digest of the API key on standard input, for release notes")
        ->callback([] {
            std::string key;
            std::getline(std::cin, key);
            std::cout << apiKeyDigest(key) << '\n';
        });
    addOperatorCommands(app, result);
    addToolCommands(app, result);

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int code = app.exit(error);
        return code == 0 ? 0 : kExitSettings;
    }
    return result;
}

} // namespace foxtailtally
