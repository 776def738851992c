#include "servers/retry/event_relay.h"

#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>

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
        fields.isValid = fields.isValid && isField(line);
        std::uint64_t number = 0;
        if (!fields.number && line.starts_with("id:")
            && absl::SimpleAtoi(absl::StripAsciiWhitespace(asAbsl(line.substr(3))), &number))
            fields.number = number;
    }
    return fields;
}

} // namespace

EventRelay::EventRelay(std::string_view lastEventId)
{
    std::uint64_t number = 0;
    if (absl::SimpleAtoi(asAbsl(lastEventId), &number))
        this->last = number;
}

void EventRelay::beginRun()
{
    this->pending.clear();
    this->scannedBytes = 0;
    this->idleBytes = 0;
}

Result<std::string> EventRelay::feed(std::string_view data)
{
    const std::optional<std::uint64_t> lastBefore = this->last;
    this->pending.append(data);
    this->idleBytes += data.size();
    this->advanced = false;
    std::string completeEvents;
    std::string_view rest = this->pending;
    while (true) {
        const std::size_t length = firstEventLength(rest, this->scannedBytes);
        this->scannedBytes = 0;
        if (length == std::string_view::npos)
            break;
        const std::string_view event = rest.substr(0, length);
        const EventClass eventClass = this->classify(event);
        if (eventClass == EventClass::Violation) {
            this->last = lastBefore;
            return Error::ProtocolViolation;
        }
        if (eventClass == EventClass::Pass)
            completeEvents.append(event);
        rest.remove_prefix(length);
    }
    this->pending.erase(0, this->pending.size() - rest.size());
    this->scannedBytes = this->pending.size();
    if (this->idleBytes > kMaxEventBytes) {
        this->last = lastBefore;
        return Error::ProtocolViolation;
    }
    return completeEvents;
}

std::string EventRelay::lastEventId() const
{
    return this->last ? std::to_string(*this->last) : std::string();
}

EventRelay::EventClass EventRelay::classify(std::string_view event)
{
    const EventFields fields = parseFields(event);
    if (!fields.isValid)
        return EventClass::Violation;
    const std::optional<std::uint64_t> number = fields.number;
    if (!number)
        return EventClass::Pass;
    if (this->last && *number <= *this->last)
        return EventClass::Skip;
    if (this->last && *number != *this->last + 1)
        return EventClass::Violation;
    this->last = number;
    this->idleBytes = 0;
    this->advanced = true;
    return EventClass::Pass;
}

} // namespace foxtailtally
