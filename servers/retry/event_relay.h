#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

/**
 * Forwards each event of a stream complete and exactly once, also when other runs resume the stream
 * or run beside the first one. Events are numbered consecutively; a run that skips a number cannot
 * resume the stream.
 */
class EventRelay
{
public:
    /** What one run of the stream has sent since its last complete event. */
    class Run
    {
    public:
        /** No incomplete event is buffered. */
        bool isBetweenEvents() const { return this->pending.empty(); }

    private:
        friend class EventRelay;

        std::string pending;
        /** Bytes received since the last new event. */
        std::size_t idleBytes = 0;
    };

    /** @p lastEventId: the event after which the caller asked to resume; may be empty. */
    explicit EventRelay(std::string_view lastEventId);

    /**
     * Takes bytes of @p run and returns the bytes of the events that they complete, without those
     * that were forwarded before. Fails with ProtocolViolation when an event number is skipped, or
     * when the run sends more than the size limit of an event without a new event.
     */
    Result<std::string> feed(Run &run, std::string_view data);
    /** The last call of feed() completed a new event. Comments, repeated events and parts of an
     * event do not count as progress, however many arrive. */
    bool hasAdvanced() const { return this->advanced; }

    /** Number of the last event forwarded, or the one given by the caller; empty without either. */
    std::string lastEventId() const;

private:
    enum class EventClass { Pass, Skip, Gap };

    EventClass classify(Run &run, std::string_view event);

    bool advanced = false;
    std::optional<std::uint64_t> last;
};

} // namespace foxtailtally
