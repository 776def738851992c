#include "standins/lib/standin_program.h"

#include "core/log.h"
#include "standins/lib/balancer_standin.h"
#include "standins/lib/engine_standin.h"
#include "standins/lib/platform_standin.h"
#include "standins/lib/service_standin.h"

#include <CLI/CLI.hpp>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace foxtailtally {

namespace {

constexpr int kExitFailure = 1;

/** Options that several subcommands share. */
struct CommonOptions
{
    ListenOptions listen;
    InstanceEntry entry;
    std::string domain;
    std::string platformUrl;
    /** There is no option for the token itself, since arguments are visible to other users. */
    std::string tokenVariable;
    std::string tokenFile;
};

absl::Duration fromMilliseconds(double value)
{
    return absl::Milliseconds(value);
}

bool readToken(CommonOptions &common)
{
    if (!common.tokenFile.empty()) {
        std::ifstream file(common.tokenFile);
        const std::string text {std::istreambuf_iterator<char>(file), {}};
        common.listen.token = std::string(absl::StripAsciiWhitespace(text));
        return file.good() && !common.listen.token.empty();
    }
    if (!common.tokenVariable.empty()) {
        const char *value = std::getenv(common.tokenVariable.c_str());
        common.listen.token = value == nullptr ? "" : value;
        return !common.listen.token.empty();
    }
    return true;
}

void addListenOptions(CLI::App &app, CommonOptions &common)
{
    app.add_option("--address", common.listen.address, "Address to listen on");
    app.add_option("--port", common.listen.port, "Port to listen on; 0 lets the system choose one");
    app.add_option("--token-env", common.tokenVariable,
                   "Environment variable that contains the token");
    app.add_option("--token-file", common.tokenFile, "File that contains the token");
}

void addEntryOptions(CLI::App &app, CommonOptions &common)
{
    app.add_option("--id", common.entry.id, "Id in the platform's instance list")->required();
    app.add_option("--domain", common.domain, "Failure domain");
    app.add_option("--platform", common.platformUrl, "URL of the platform, http://ip:port");
}

/** Completes the entry from the parsed options and returns the platform access. */
PlatformAccess finishCommon(CommonOptions &common)
{
    common.entry.domain = FailureDomainId(common.domain);
    PlatformAccess access;
    access.url = common.platformUrl;
    access.token = common.listen.token;
    return access;
}

/** Waits for SIGTERM or SIGINT, which runStandinProgram() has blocked for all threads. */
void waitForStop(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

template <typename T>
int serve(const Result<std::unique_ptr<T>> &standin, const CommonOptions &common,
          const sigset_t &signals)
{
    if (!standin.ok()) {
        logEvent(LogLevel::Error, "start_failed", {{"error", errorName(standin.error())}});
        return kExitFailure;
    }
    std::cout << "listening " << common.listen.address << ":" << standin.value()->port()
              << std::endl;
    waitForStop(signals);
    return 0;
}

int invalidOptions()
{
    logEvent(LogLevel::Error, "options_invalid");
    return kExitFailure;
}

/** Subcommand "engine". */
class EngineCommandLine
{
public:
    explicit EngineCommandLine(CLI::App &app)
        : command(app.add_subcommand("engine", "Model engine"))
    {
        CLI::App &engine = *this->command;
        addListenOptions(engine, this->common);
        addEntryOptions(engine, this->common);
        engine.add_option("--group", this->group, "Server group")->required();
        engine.add_option("--model", this->model, "Served model")->required();
        engine.add_option("--restart-after-ms", this->restartAfterMs,
                          "Delay from a crash to the restart; negative for never");
        engine.add_option("--poison", this->poisonMarker,
                          "A prompt that contains this text crashes the engine");
        this->addModelOptions(engine);
        this->addReportOptions(engine);
    }

    CLI::App *command;

    int run(const sigset_t &signals)
    {
        const PlatformAccess platform = finishCommon(this->common);
        this->common.entry.group = GroupId(this->group);
        this->common.entry.model = ModelId(this->model);
        const Result<EngineOptions> engine = this->builder.build();
        if (!engine.ok()) {
            return invalidOptions();
        }
        EngineStandinOptionsBuilder standin;
        standin.setListen(this->common.listen)
            .setEntry(this->common.entry)
            .setEngine(*engine)
            .setPlatform(platform)
            .setPoisonMarker(this->poisonMarker)
            .setRestartAfter(this->restartAfterMs < 0 ? absl::InfiniteDuration()
                                                      : fromMilliseconds(this->restartAfterMs));
        const Result<EngineStandinOptions> options = standin.build();
        if (!options.ok()) {
            return invalidOptions();
        }
        return serve(EngineStandin::start(*options), this->common, signals);
    }

    CommonOptions common;

private:
    template <typename T, typename F>
    void add(CLI::App &engine, const std::string &name, const std::string &help, F set)
    {
        engine.add_option_function<T>(
            name, [this, set](const T &value) { set(this->builder, value); }, help);
    }

    void addModelOptions(CLI::App &engine)
    {
        using Builder = EngineOptionsBuilder;
        this->add<double>(engine, "--speed", "Factor by which all step times are divided",
                          [](Builder &b, double v) { b.setSpeed(v); });
        this->add<double>(engine, "--prefill-rate", "Prefill rate in tokens per second",
                          [](Builder &b, double v) { b.setPrefillRate(v); });
        this->add<std::int64_t>(engine, "--prefill-chunk",
                                "Maximum prompt tokens prefilled in one step",
                                [](Builder &b, std::int64_t v) { b.setPrefillChunkTokens(v); });
        this->add<double>(engine, "--step-ms", "Base time of a step",
                          [](Builder &b, double v) { b.setStepTime(fromMilliseconds(v)); });
        this->add<double>(
            engine, "--step-per-request-ms", "Time added to a step for each running request",
            [](Builder &b, double v) { b.setStepTimePerRequest(fromMilliseconds(v)); });
        this->add<std::int64_t>(engine, "--memory-tokens", "Memory in tokens",
                                [](Builder &b, std::int64_t v) { b.setMemoryTokens(v); });
        this->add<std::int64_t>(engine, "--cache-tokens", "Maximum prefix cache size in tokens",
                                [](Builder &b, std::int64_t v) { b.setCacheTokens(v); });
        this->add<std::int64_t>(engine, "--cold-limit",
                                "Maximum concurrent requests of a cold engine; more crash it",
                                [](Builder &b, std::int64_t v) { b.setColdLimit(v); });
        this->add<std::int64_t>(engine, "--warm-limit", "Maximum batch size",
                                [](Builder &b, std::int64_t v) { b.setWarmLimit(v); });
        this->add<std::int64_t>(engine, "--queue-limit", "Maximum queue length of the engine",
                                [](Builder &b, std::int64_t v) { b.setQueueLimit(v); });
        this->add<std::int64_t>(engine, "--cold-requests",
                                "Requests to serve before the engine is warm",
                                [](Builder &b, std::int64_t v) { b.setColdRequests(v); });
        this->add<double>(engine, "--cold-slowdown",
                          "Factor applied to step times while the engine is cold",
                          [](Builder &b, double v) { b.setColdSlowdown(v); });
    }

    void addReportOptions(CLI::App &engine)
    {
        using Builder = EngineOptionsBuilder;
        this->add<double>(engine, "--report-interval-ms", "Interval of load reports",
                          [](Builder &b, double v) { b.setReportInterval(fromMilliseconds(v)); });
        this->add<double>(engine, "--report-lag-ms", "Minimum age of a visible load report",
                          [](Builder &b, double v) { b.setReportLag(fromMilliseconds(v)); });
        this->add<double>(engine, "--event-delay-ms", "Age at which cache events are visible",
                          [](Builder &b, double v) { b.setEventDelay(fromMilliseconds(v)); });
        this->add<double>(engine, "--event-loss", "Probability that a cache event is lost",
                          [](Builder &b, double v) { b.setEventLoss(v); });
        this->add<bool>(engine, "--checks-fence", "Whether stale fences are rejected",
                        [](Builder &b, bool v) { b.setChecksFence(v); });
        this->add<std::uint64_t>(engine, "--seed", "Seed of the random number generator",
                                 [](Builder &b, std::uint64_t v) { b.setSeed(v); });
    }

    EngineOptionsBuilder builder;
    std::string group;
    std::string model;
    std::string poisonMarker = "<<poison>>";
    double restartAfterMs = 2000;
};

/** Subcommand "platform". */
class PlatformCommandLine
{
public:
    explicit PlatformCommandLine(CLI::App &app)
        : command(app.add_subcommand("platform", "Platform with objects and instance list"))
    {
        addListenOptions(*this->command, this->common);
        this->command->add_option("--reads", this->limits.reads, "Maximum reads per second");
        this->command->add_option("--writes", this->limits.writes, "Maximum writes per second");
        this->command->add_option("--weights", this->limits.weights,
                                  "Maximum weight fetches per second");
        this->command->add_option("--list-lag-ms", this->listLagMs, "Lag of the instance list");
    }

    CLI::App *command;

    int run(const sigset_t &signals)
    {
        return serve(PlatformStandin::start(
                         {this->common.listen, this->limits, fromMilliseconds(this->listLagMs)}),
                     this->common, signals);
    }

    CommonOptions common;

private:
    PlatformLimits limits;
    double listLagMs = 1000;
};

/** Subcommand "service". */
class ServiceCommandLine
{
public:
    explicit ServiceCommandLine(CLI::App &app)
        : command(app.add_subcommand("service", "Plain service"))
    {
        addListenOptions(*this->command, this->common);
        addEntryOptions(*this->command, this->common);
        this->command->add_option("--service", this->common.entry.service, "Name of the service")
            ->required();
        this->command->add_flag("--checks-fence", this->common.entry.checksFence,
                                "Reject stale fences");
        this->command->add_option("--work-ms", this->workMs, "Processing time of one call");
    }

    CLI::App *command;

    int run(const sigset_t &signals)
    {
        const PlatformAccess platform = finishCommon(this->common);
        ServiceStandinOptionsBuilder builder;
        builder.setListen(this->common.listen)
            .setEntry(this->common.entry)
            .setPlatform(platform)
            .setWorkTime(fromMilliseconds(this->workMs));
        const Result<ServiceStandinOptions> options = builder.build();
        if (!options.ok()) {
            return invalidOptions();
        }
        return serve(ServiceStandin::start(*options), this->common, signals);
    }

    CommonOptions common;

private:
    double workMs = 5;
};

/** Subcommand "balancer". */
class BalancerCommandLine
{
public:
    explicit BalancerCommandLine(CLI::App &app)
        : command(
            app.add_subcommand("balancer", "TCP load balancer in front of the entry instances"))
    {
        addListenOptions(*this->command, this->common);
        this->command
            ->add_option("--backend", this->backends, "Address of an entry instance, ip:port")
            ->required();
        this->command->add_option("--poll-ms", this->pollMs, "Interval of the health checks");
    }

    CLI::App *command;

    int run(const sigset_t &signals)
    {
        const BalancerOptions options {this->common.listen.address, this->common.listen.port,
                                       fromMilliseconds(this->pollMs)};
        return serve(BalancerStandin::start(options, this->backends), this->common, signals);
    }

    CommonOptions common;

private:
    std::vector<std::string> backends;
    double pollMs = 500;
};

template <typename T>
int runIfParsed(T &commandLine, const sigset_t &signals)
{
    if (!commandLine.command->parsed()) {
        return -1;
    }
    if (!readToken(commandLine.common)) {
        return invalidOptions();
    }
    return commandLine.run(signals);
}

} // namespace

int runStandinProgram(int argc, char **argv)
{
    CLI::App app("Stand-ins for the peers of foxtailtally");
    app.require_subcommand(1);
    EngineCommandLine engine(app);
    PlatformCommandLine platform(app);
    ServiceCommandLine service(app);
    BalancerCommandLine balancer(app);
    CLI11_PARSE(app, argc, argv);

    // Blocked before any thread is started, so that only sigwait() receives them.
    sigset_t signals {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
    configureLog(LogLevel::Info, "");

    int status = runIfParsed(engine, signals);
    if (status < 0) {
        status = runIfParsed(platform, signals);
    }
    if (status < 0) {
        status = runIfParsed(service, signals);
    }
    return status < 0 ? runIfParsed(balancer, signals) : status;
}

} // namespace foxtailtally
