#pragma once

#include "servers/catalog/server_directory.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** What one stream asks of one server: its own, or one that reads a part of its prompt. */
struct StreamPart
{
    ServerKey server = 0;
    /** Unique at the instance that placed the stream. */
    std::uint32_t stream = 0;
    absl::Time placedAt;
    /** Time that the server needs to read its part when it does nothing else. */
    float prefillMs = 0;
    /** Tokens of memory held at this server. */
    std::uint32_t memoryTokens = 0;
    /** The first event has arrived: the stream writes. */
    bool isDecoding = false;
    /** The server reads for another one and writes nothing for this stream. */
    bool isHelper = false;
    /** One of several parts of a prompt; engines read these ahead of whole prompts. */
    bool isSplit = false;
    /** Already too late for its objectives; further delay costs its caller nothing more. */
    bool isLate = false;
    std::uint16_t eventGapObjectiveMs = 0;
    /** Time from placedAt by which the first event is due. */
    std::uint16_t firstEventDueMs = 0;
    /** What an answer on time is worth to the caller, compared with other streams. */
    float value = 0;
};

} // namespace foxtailtally
