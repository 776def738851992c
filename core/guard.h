#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace foxtailtally {

/** Exceptions that ended a callback, of this process so far. */
std::uint64_t unexpectedErrorCount();

/** Logs and counts an exception that ended a callback. Throws nothing. */
void reportUnexpectedError(std::string_view place, std::string_view what) noexcept;

/**
 * Runs the work of one callback. An exception that leaves it is a fault of this program, or an
 * input that nobody thought of; it ends what the callback belongs to, a connection or a message,
 * and not the process with all other calls. Returns whether the work came to its end.
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
