#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Maximum line length of an event stream, in bytes. */
constexpr std::size_t kMaxSseLineBytes = std::size_t {64} << 10;
/** Maximum size of the data of one event, in bytes. */
constexpr std::size_t kMaxSseEventBytes = std::size_t {256} << 10;

/** Incremental parser of server-sent events; accepts input in pieces of any size. */
class SseParser
{
public:
    /**
     * Appends the data of each event completed by @p data to @p events. ProtocolViolation for a
     * line that is neither a known field nor a comment, and for a line or event over its limit; the
     * parser then rejects all further data.
     */
    std::error_code feed(std::string_view data, std::vector<std::string> &events);

    /** True if the stream may end here, that is if no incomplete event is pending. */
    bool isBetweenEvents() const { return this->line.empty() && !this->hasData; }

private:
    bool endLine(std::vector<std::string> &events);

    std::string line;
    std::string eventData;
    bool hasData = false;
    bool failed = false;
};

} // namespace foxtailtally
