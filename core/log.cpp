#include "core/log.h"

#include "core/clock.h"

#include <absl/time/time.h>
#include <atomic>
#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace foxtailtally {

namespace {

std::atomic<LogLevel> minimumLevel {LogLevel::Info};

/** Rate limit of log lines, so that a burst of events does not overload the process. */
constexpr std::int64_t kMaxLinesPerSecond = 500;

std::atomic<bool> writesToStandardOutput {true};
std::atomic<std::uint64_t> droppedLines {0};
std::atomic<std::int64_t> currentSecond {0};
std::atomic<std::int64_t> linesInSecond {0};

bool isWithinRateLimit(absl::Time now)
{
    const std::int64_t second = absl::ToUnixSeconds(now);
    if (currentSecond.exchange(second, std::memory_order_relaxed) != second)
        linesInSecond.store(0, std::memory_order_relaxed);
    return linesInSecond.fetch_add(1, std::memory_order_relaxed) < kMaxLinesPerSecond;
}

/** Returns false while the reader of standard output lags behind: logging must not block. */
bool isStandardOutputWritable()
{
    pollfd output {STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unknown";
}

} // namespace

LogLevel parseLogLevel(std::string_view name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

void configureLog(LogLevel minimum, std::string_view file)
{
    minimumLevel.store(minimum);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    const bool toFile = !file.empty();
    writesToStandardOutput.store(!toFile);
    configuration.setGlobally(el::ConfigurationType::ToFile, toFile ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, toFile ? "false" : "true");
    if (toFile)
        configuration.setGlobally(el::ConfigurationType::Filename, std::string(file));
    el::Loggers::reconfigureAllLoggers(configuration);
}

std::uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    if (writesToStandardOutput.load(std::memory_order_relaxed)
        && !(isWithinRateLimit(Clock::now()) && isStandardOutputWritable())) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    const std::string time =
        absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", Clock::wallNow(), absl::UTCTimeZone());
    nlohmann::json line = {{"time", time}, {"level", levelName(level)}, {"event", event}};
    if (fields.is_object())
        line.update(fields);
    LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void logEvent(LogLevel level, std::string_view event)
{
    logEvent(level, event, nlohmann::json::object());
}

} // namespace foxtailtally
