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

/** Returns the level with the given name, or Info if there is none. */
LogLevel parseLogLevel(std::string_view name);

/** Sets the lowest level that is logged and the output. An empty @p file means standard output. */
void configureLog(LogLevel minimum, std::string_view file);

/**
 * Writes one JSON line: time, level, event and the members of the object @p fields.
 * @p event is a stable snake_case name. Never pass secrets or prompt text.
 */
void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields);
void logEvent(LogLevel level, std::string_view event);

/**
 * The same for a line that reports a loss: it is still written when the rate limit drops others,
 * and waits for its turn when standard output does not take it at once. Both are bounded.
 */
void logEssentialEvent(LogLevel level, std::string_view event, const nlohmann::json &fields);

/** Lines dropped because of the rate limit or because standard output was not writable. */
std::uint64_t droppedLogLines();

} // namespace foxtailtally
