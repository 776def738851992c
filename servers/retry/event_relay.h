#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

/**
 * Passes on the events of a stream whole and once each, also when the stream is continued by
 * another run. Events carry rising numbers; a run that leaves one out cannot be joined.
 */
class EventRelay
{
public:
    /** @p lastEventId: the event after which the caller asked the stream to go on; may be empty. */
    explicit EventRelay(std::string_view lastEventId);

    /** Starts another run, which goes on after the last event passed on. */
    void beginRun();
    /**
     * Takes bytes of the current run; returns the bytes of the events that they complete.
     * ProtocolViolation when an event is missing before the next one, or when more comes without a
     * new event than the largest event takes.
     */
    Result<std::string> feed(std::string_view data);
    /** The last bytes completed a new event. Comments, repeated events and parts of one are no
     * progress, however often they come. */
    bool hasAdvanced() const { return this->advanced; }

    /** True when no part of an event is pending. */
    bool isBetweenEvents() const { return this->pending.empty(); }
    /** The last event passed on, or the caller's; empty at the start. */
    std::string lastEventId() const;

private:
    enum class Verdict { Pass, Skip, Gap };

    Verdict judge(std::string_view event);

    std::string pending;
    /** Bytes since the last new event. */
    std::size_t idleBytes = 0;
    bool advanced = false;
    std::optional<std::uint64_t> last;
};

} // namespace foxtailtally
