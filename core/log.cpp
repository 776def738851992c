#include "core/log.h"

#include "core/clock.h"

#include <absl/time/time.h>
#include <atomic>
#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <string>

INITIALIZE_EASYLOGGINGPP

namespace foxtailtally {

namespace {

std::atomic<LogLevel> minimumLevel {LogLevel::Info};

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

void configureLog(LogLevel minimum, std::string_view file)
{
    minimumLevel.store(minimum);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    const bool toFile = !file.empty();
    configuration.setGlobally(el::ConfigurationType::ToFile, toFile ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, toFile ? "false" : "true");
    if (toFile)
        configuration.setGlobally(el::ConfigurationType::Filename, std::string(file));
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
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
