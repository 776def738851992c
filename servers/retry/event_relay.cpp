#include "servers/retry/event_relay.h"

#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Size limit of an event, and of what a run may send without a new event. */
constexpr std::size_t kMaxEventBytes = std::size_t {256} << 10;

/** Length of the line end at the start of @p text: LF, CR or CRLF; 0 if there is none. */
std::size_t lineEndLength(std::string_view text)
{
    if (text.starts_with("\r\n"))
        return 2;
    return text.starts_with('\n') || text.starts_with('\r') ? 1 : 0;
}

bool isLineEnd(char c)
{
    return c == '\n' || c == '\r';
}

/** Length of the first event in @p text including the blank line that ends it, or of a blank line
 * before it; npos if the event is incomplete. The first @p scanned bytes do not end it. */
std::size_t firstEventLength(std::string_view text, std::size_t scanned)
{
    for (std::size_t at = scanned; at < text.size(); ++at) {
        if (!isLineEnd(text[at]))
            continue;
        const bool isSecondHalf = at > 0 && text[at - 1] == '\r' && text[at] == '\n';
        const bool isAtLineStart = at == 0 || isLineEnd(text[at - 1]);
        // After a CR the event ends at once; an LF that follows is a blank line before the next.
        if (isAtLineStart && !isSecondHalf)
            return at + lineEndLength(text.substr(at));
    }
    return std::string_view::npos;
}

bool isComment(std::string_view line)
{
    return line.starts_with(':');
}

/** True if @p line has the form of a field; its name need not be known. */
bool isField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos)
        return name == "data" || name == "event" || name == "id" || name == "retry";
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return absl::ascii_islower(static_cast<unsigned char>(c)) || c == '-';
    });
}

struct EventFields
{
    /** Each line is a field or a comment. */
    bool isValid = true;
    bool hasData = false;
    /** From the last line that names one; absent if that is not a number. */
    std::optional<std::uint64_t> number;
};

EventFields parseFields(std::string_view event)
{
    EventFields fields;
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find_first_of("\r\n"));
        event.remove_prefix(line.size());
        event.remove_prefix(lineEndLength(event));
        if (line.empty() || isComment(line))
            continue;
        const std::size_t colon = line.find(':');
        const std::string_view name = line.substr(0, colon);
        const std::string_view value =
            colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        fields.isValid = fields.isValid && isField(line);
        fields.hasData = fields.hasData || name == "data";
        if (name != "id")
            continue;
        std::uint64_t number = 0;
        const bool isNumber = absl::SimpleAtoi(absl::StripAsciiWhitespace(asAbsl(value)), &number);
        fields.number = isNumber ? std::optional(number) : std::nullopt;
    }
    return fields;
}

} // namespace

EventRelay::EventRelay(std::string_view lastEventId)
    : callerEventId(lastEventId)
{
    std::uint64_t number = 0;
    if (absl::SimpleAtoi(asAbsl(lastEventId), &number))
        this->progress.last = number;
}

EventRelay::Run EventRelay::beginRun(bool isBesideOthers, ResponseBuffer pending) const
{
    Run run;
    run.pending = std::move(pending);
    run.isResumed = this->progress.hasForwarded || isBesideOthers;
    return run;
}

Result<std::string> EventRelay::feed(Run &run, std::string_view data)
{
    const Progress before = this->progress;
    run.idleBytes += data.size();
    this->advanced = false;
    const bool isContinued = !run.pending.isEmpty();
    if (isContinued && !run.pending.tryAppend(data))
        return Error::MemoryShareUsedUp;
    std::string completeEvents;
    std::string_view rest = isContinued ? run.pending.view() : data;
    while (true) {
        const std::size_t length = firstEventLength(rest, run.scannedBytes);
        run.scannedBytes = 0;
        if (length == std::string_view::npos)
            break;
        const std::string_view event = rest.substr(0, length);
        const EventClass eventClass = this->classify(run, event);
        if (eventClass == EventClass::Violation) {
            this->progress = before;
            return Error::ProtocolViolation;
        }
        if (eventClass == EventClass::Pass)
            completeEvents.append(event);
        rest.remove_prefix(length);
    }
    if (run.idleBytes > kMaxEventBytes) {
        this->progress = before;
        return Error::ProtocolViolation;
    }
    if (isContinued) {
        run.pending.removePrefix(run.pending.size() - rest.size());
    } else if (!run.pending.tryAppend(rest)) {
        this->progress = before;
        return Error::MemoryShareUsedUp;
    }
    run.scannedBytes = run.pending.size();
    return completeEvents;
}

bool EventRelay::isComplete(const Run &run, bool isFramed) const
{
    if (!run.isBetweenEvents())
        return false;
    // A run that ends before the events that the caller has is not the rest of this stream.
    if (run.lastEvent)
        return run.lastEvent == this->progress.last;
    return isFramed || run.hasContinued;
}

std::string EventRelay::lastEventId() const
{
    return this->progress.last ? std::to_string(*this->progress.last) : this->callerEventId;
}

EventRelay::EventClass EventRelay::classify(Run &run, std::string_view event)
{
    const EventFields fields = parseFields(event);
    if (!fields.isValid)
        return EventClass::Violation;
    if (fields.number)
        return this->classifyNumbered(run, *fields.number);
    if (!fields.hasData)
        return run.isResumed && !run.hasContinued ? EventClass::Skip : EventClass::Pass;
    if (run.isResumed)
        return EventClass::Violation;
    this->progress.hasUnnumbered = true;
    this->progress.hasForwarded = true;
    run.hasContinued = true;
    return EventClass::Pass;
}

EventRelay::EventClass EventRelay::classifyNumbered(Run &run, std::uint64_t number)
{
    Progress &state = this->progress;
    if (run.isResumed && state.hasUnnumbered)
        return EventClass::Violation;
    run.lastEvent = number;
    if (state.last && number <= *state.last)
        return EventClass::Skip;
    if (state.last && number != *state.last + 1)
        return EventClass::Violation;
    state.last = number;
    state.hasForwarded = true;
    run.idleBytes = 0;
    run.hasContinued = true;
    this->advanced = true;
    return EventClass::Pass;
}

} // namespace foxtailtally
