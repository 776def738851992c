#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace foxtailtally {

/** Number of exceptions that have ended a callback since the process started. */
std::uint64_t unexpectedErrorCount();

/** Logs and counts an exception that ended a callback. Never throws. */
void reportUnexpectedError(std::string_view place, std::string_view what) noexcept;

/**
 * Runs @p work, the body of one callback, and catches all exceptions. An exception is a fault of
 * this program or an unforeseen input; it ends only the connection or message that the callback
 * belongs to, not the process with all its other calls. Returns false after an exception.
 */
template <typename Work>
bool runGuarded(std::string_view place, Work &&work) noexcept
{
    try {
        work();
        return true;
    } catch (const std::exception &error) {
        reportUnexpectedError(place, error.what());
    } catch (...) {
        reportUnexpectedError(place, "unknown exception");
    }
    return false;
}

} // namespace foxtailtally
