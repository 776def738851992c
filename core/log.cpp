#include "core/log.h"

#include "core/clock.h"

#include <absl/time/time.h>
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <climits>
#include <easylogging++.h>
#include <mutex>
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

/** Essential lines that are written in a second beyond that. */
constexpr std::int64_t kMaxExtraLinesPerSecond = 500;

/** Bytes of essential lines that wait until standard output takes them. */
constexpr std::size_t kMaxWaitingBytes = std::size_t {64} << 10;

enum class Importance { Usual, Essential };

std::atomic<bool> writesToStandardOutput {true};
std::atomic<std::uint64_t> droppedLines {0};
std::atomic<std::int64_t> currentSecond {0};
std::atomic<std::int64_t> linesInSecond {0};

bool isWithinRateLimit(Importance importance, absl::Time now)
{
    const std::int64_t second = absl::ToUnixSeconds(now);
    if (currentSecond.exchange(second, std::memory_order_relaxed) != second)
        linesInSecond.store(0, std::memory_order_relaxed);
    // Usual lines that are dropped must not use up the lines beyond the limit.
    const std::int64_t limit =
        kMaxLinesPerSecond + (importance == Importance::Essential ? kMaxExtraLinesPerSecond : 0);
    if (linesInSecond.load(std::memory_order_relaxed) >= limit)
        return false;
    linesInSecond.fetch_add(1, std::memory_order_relaxed);
    return true;
}

/** Returns false while the reader of standard output lags behind. A pipe that is writable has room
 * for PIPE_BUF bytes at least. */
bool isStandardOutputWritable()
{
    pollfd output {STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1;
}

/** Writes whole lines to standard output without blocking. */
class StandardOutput
{
public:
    /** Returns false if the line was dropped. The rest of a line that does not fit at once is
     * written before the next one. */
    bool writeLine(const std::string &line, Importance importance)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const bool mayWait = importance == Importance::Essential
            && this->unwritten.size() + line.size() < kMaxWaitingBytes;
        if (!this->flush() && !mayWait)
            return false;
        this->unwritten += line;
        this->unwritten += '\n';
        return this->flush() || !this->hasFailed;
    }

private:
    /** Writes what fits; true when nothing is left. */
    bool flush()
    {
        this->hasFailed = false;
        while (!this->unwritten.empty()) {
            if (!isStandardOutputWritable())
                return false;
            const std::size_t size = std::min<std::size_t>(this->unwritten.size(), PIPE_BUF);
            const ssize_t written = ::write(STDOUT_FILENO, this->unwritten.data(), size);
            if (written >= 0) {
                this->unwritten.erase(0, static_cast<std::size_t>(written));
            } else if (errno == EAGAIN) {
                return false;
            } else if (errno != EINTR) {
                this->unwritten.clear();
                this->hasFailed = true;
                return false;
            }
        }
        return true;
    }

    std::mutex mutex;
    std::string unwritten;
    bool hasFailed = false;
};

StandardOutput &standardOutput()
{
    static StandardOutput output;
    return output;
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

namespace {

void writeEvent(LogLevel level, std::string_view event, const nlohmann::json &fields,
                Importance importance)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    const bool isPrinted = writesToStandardOutput.load(std::memory_order_relaxed);
    const bool mayWait = importance == Importance::Essential;
    if (isPrinted
        && !(isWithinRateLimit(importance, Clock::now())
             && (mayWait || isStandardOutputWritable()))) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    const std::string time =
        absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", Clock::wallNow(), absl::UTCTimeZone());
    nlohmann::json line = {{"time", time}, {"level", levelName(level)}, {"event", event}};
    if (fields.is_object())
        line.update(fields);
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (!isPrinted)
        LOG(INFO) << text;
    else if (!standardOutput().writeLine(text, importance))
        droppedLines.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    writeEvent(level, event, fields, Importance::Usual);
}

void logEssentialEvent(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    writeEvent(level, event, fields, Importance::Essential);
}

void logEvent(LogLevel level, std::string_view event)
{
    logEvent(level, event, nlohmann::json::object());
}

} // namespace foxtailtally
