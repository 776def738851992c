#pragma once

#include "core/result.h"
#include "servers/memory/response_buffer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

/**
 * Forwards each event of a stream complete and exactly once, also when other runs resume the stream
 * or run beside the first one. Events are numbered consecutively; a run that skips a number cannot
 * resume the stream, and a stream with events that have no number cannot be resumed.
 */
class EventRelay
{
public:
    /** What one run of the stream has sent so far. */
    class Run
    {
    public:
        /** No incomplete event is buffered. */
        bool isBetweenEvents() const { return this->pending.isEmpty(); }

    private:
        friend class EventRelay;

        /** The incomplete event; empty between events. */
        ResponseBuffer pending;
        /** Bytes of pending that are known not to end an event. */
        std::size_t scannedBytes = 0;
        /** Bytes received since the last new event. */
        std::size_t idleBytes = 0;
        /** Number of the last event of this run, whether forwarded or repeated. */
        std::optional<std::uint64_t> lastEvent;
        /** An event of this run has been forwarded. */
        bool hasContinued = false;
        /** The run resumes the stream, or runs beside another one that may have begun it. */
        bool isResumed = false;
    };

    /** @p lastEventId: the event after which the caller asked to resume; may be empty. */
    explicit EventRelay(std::string_view lastEventId);

    /** Starts another run, while others go on if @p isBesideOthers. Events up to the last one
     * forwarded are skipped if the run repeats them. @p pending: empty; keeps incomplete events. */
    Run beginRun(bool isBesideOthers, ResponseBuffer pending = ResponseBuffer()) const;
    /**
     * Takes bytes of @p run and returns the bytes of the events that they complete. Fails with
     * ProtocolViolation when an event number is skipped, when the bytes are not events, or when the
     * run sends more than the size limit of an event without a new event, and with
     * MemoryShareUsedUp when there is no memory for an incomplete event. None of @p data counts as
     * forwarded then.
     */
    Result<std::string> feed(Run &run, std::string_view data);
    /** The last call of feed() completed a new event. Comments, repeated events and parts of an
     * event do not count as progress, however many arrive. */
    bool hasAdvanced() const { return this->advanced; }

    /** An event has been forwarded; comments, blank lines and other fields without data are none.
     */
    bool hasForwardedEvent() const { return this->progress.hasForwarded; }

    /**
     * Whether the stream is complete when the response of @p run ends here. @p isFramed: the
     * response has ended by its length or last chunk, so that it may be complete without an event.
     */
    bool isComplete(const Run &run, bool isFramed) const;
    /** Number of the last event forwarded, or the one given by the caller; empty without either. */
    std::string lastEventId() const;

private:
    enum class EventClass { Pass, Skip, Violation };

    /** What has been forwarded, as of the end of a call of feed(). */
    struct Progress
    {
        /** Number of the last event forwarded, or the one given by the caller. */
        std::optional<std::uint64_t> last;
        bool hasForwarded = false;
        /** An event without a number has been forwarded. */
        bool hasUnnumbered = false;
    };

    EventClass classify(Run &run, std::string_view event);
    EventClass classifyNumbered(Run &run, std::uint64_t number);

    std::string callerEventId;
    Progress progress;
    bool advanced = false;
};

} // namespace foxtailtally
