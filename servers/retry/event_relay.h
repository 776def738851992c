#pragma once

#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

/**
 * Forwards each event of a stream complete and exactly once, also when another run resumes the
 * stream. Events are numbered consecutively; a run that skips a number cannot resume the stream.
 */
class EventRelay
{
public:
    /** @p lastEventId: the event after which the caller asked to resume; may be empty. */
    explicit EventRelay(std::string_view lastEventId);

    /** Starts another run. Events up to the last one forwarded are skipped if the run repeats them.
     */
    void beginRun();
    /**
     * Takes bytes of the current run and returns the bytes of the events that they complete. Fails
     * with ProtocolViolation when an event number is skipped, when the bytes are not events, or
     * when the run sends more than the size limit of an event without a new event. None of @p data
     * counts as forwarded then.
     */
    Result<std::string> feed(std::string_view data);
    /** The last call of feed() completed a new event. Comments, repeated events and parts of an
     * event do not count as progress, however many arrive. */
    bool hasAdvanced() const { return this->advanced; }

    /** No incomplete event is buffered. */
    bool isBetweenEvents() const { return this->pending.empty(); }
    /** Number of the last event forwarded, or the one given by the caller; empty without either. */
    std::string lastEventId() const;

private:
    enum class EventClass { Pass, Skip, Violation };

    EventClass classify(std::string_view event);

    std::string pending;
    /** Bytes of pending that are known not to end an event. */
    std::size_t scannedBytes = 0;
    /** Bytes received since the last new event. */
    std::size_t idleBytes = 0;
    bool advanced = false;
    std::optional<std::uint64_t> last;
};

} // namespace foxtailtally
