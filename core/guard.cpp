#include "core/guard.h"

#include "core/log.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>

namespace foxtailtally {

namespace {

std::atomic<std::uint64_t> errorCount {0};

} // namespace

std::uint64_t unexpectedErrorCount()
{
    return errorCount.load(std::memory_order_relaxed);
}

void reportUnexpectedError(std::string_view place, std::string_view what) noexcept
{
    errorCount.fetch_add(1, std::memory_order_relaxed);
    try {
        logEvent(LogLevel::Error, "unexpected_error",
                 {{"place", std::string(place)}, {"what", std::string(what)}});
    } catch (...) {
        // The error is counted, but there is no memory left to log it.
    }
}

} // namespace foxtailtally
