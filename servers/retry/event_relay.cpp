#include "servers/retry/event_relay.h"

#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace foxtailtally {

namespace {

/** Size limit of an event, and of what a run may send without a new event. */
constexpr std::size_t kMaxEventBytes = std::size_t {256} << 10;

/** Length of the first event in @p text including the blank line that ends it; npos if the event is
 * incomplete. */
std::size_t firstEventLength(std::string_view text)
{
    for (std::size_t at = text.find('\n'); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const std::string_view rest = text.substr(at + 1);
        if (rest.starts_with('\n'))
            return at + 2;
        if (rest.starts_with("\r\n"))
            return at + 3;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> eventNumber(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        std::uint64_t number = 0;
        if (line.starts_with("id:")
            && absl::SimpleAtoi(absl::StripAsciiWhitespace(asAbsl(line.substr(3))), &number))
            return number;
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
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
        const std::size_t length = firstEventLength(rest);
        if (length == std::string_view::npos)
            break;
        const std::string_view event = rest.substr(0, length);
        const EventClass eventClass = this->classify(event);
        if (eventClass == EventClass::Gap) {
            this->last = lastBefore;
            return Error::ProtocolViolation;
        }
        if (eventClass == EventClass::Pass)
            completeEvents.append(event);
        rest.remove_prefix(length);
    }
    this->pending.erase(0, this->pending.size() - rest.size());
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
    const std::optional<std::uint64_t> number = eventNumber(event);
    if (!number)
        return EventClass::Pass;
    if (this->last && *number <= *this->last)
        return EventClass::Skip;
    if (this->last && *number != *this->last + 1)
        return EventClass::Gap;
    this->last = number;
    this->idleBytes = 0;
    this->advanced = true;
    return EventClass::Pass;
}

} // namespace foxtailtally
