#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace foxtailtally {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** The level called @p name; Info for names that are none. */
LogLevel parseLogLevel(std::string_view name);

/** Sets where log lines go and which are kept. An empty @p file means standard error. */
void configureLog(LogLevel minimum, std::string_view file);

/**
 * Writes one JSON line: time, level, event and the members of the object @p fields.
 * @p event is a stable snake_case name. Never pass secrets or prompt text.
 */
void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields);
void logEvent(LogLevel level, std::string_view event);

/** Lines that were dropped because there were too many, or standard output did not take them. */
std::uint64_t droppedLogLines();

} // namespace foxtailtally
