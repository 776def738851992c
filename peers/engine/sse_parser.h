#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Longest line of an event stream, in bytes. */
constexpr std::size_t kMaxSseLineBytes = std::size_t {64} << 10;
/** Largest data of one event, in bytes. */
constexpr std::size_t kMaxSseEventBytes = std::size_t {256} << 10;

/** Splits a stream of server-sent events, fed in pieces of any size, into the data of its events.
 */
class SseParser
{
public:
    /**
     * Appends the data of each event completed by @p data to @p events. ProtocolViolation for a
     * line that is no field or comment, and for a line or event over its limit; the parser then
     * rejects all further data.
     */
    std::error_code feed(std::string_view data, std::vector<std::string> &events);

    /** True when the stream may end here: no part of an event is pending. */
    bool isBetweenEvents() const { return this->line.empty() && !this->hasData; }

private:
    bool endLine(std::vector<std::string> &events);

    std::string line;
    std::string eventData;
    bool hasData = false;
    bool failed = false;
};

} // namespace foxtailtally
