#pragma once

#include "servers/catalog/server_directory.h"

#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** Demand of one stream on one server: the one that decodes it, or a helper that prefills a part of
 * its prompt. */
struct StreamPart
{
    ServerKey server = 0;
    /** Unique within the instance that placed the stream. */
    std::uint32_t stream = 0;
    absl::Time placedAt;
    /** Time that the server needs to prefill its part when it is otherwise idle. */
    float prefillMs = 0;
    /** Tokens of memory held at this server. */
    std::uint32_t memoryTokens = 0;
    /** The first event has arrived and the stream is being decoded. */
    bool isDecoding = false;
    /** The server prefills for another one and produces no events of this stream. */
    bool isHelper = false;
    /** The part is one of several of a prompt; engines prefill these ahead of whole prompts. */
    bool isSplit = false;
    /** The stream has already missed an objective; further delay costs its caller nothing more. */
    bool isLate = false;
    /** Sent with the priority of late streams: its engine admits all others before it. */
    bool isDeferred = false;
    std::uint16_t eventGapObjectiveMs = 0;
    /** Time from placedAt by which the first event is due. */
    std::uint16_t firstEventDueMs = 0;
    /** Value of a response on time to the caller, relative to other streams. */
    float value = 0;
};

} // namespace foxtailtally
