#include "servers/retry/event_relay.h"

#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace foxtailtally {

namespace {

/** Longest event that is passed on, and most that may come without a new event, in bytes. */
constexpr std::size_t kMaxEventBytes = std::size_t {256} << 10;

/** Length of @p text up to and with the blank line that ends its first event; npos if none does. */
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
    this->pending.append(data);
    this->idleBytes += data.size();
    this->advanced = false;
    std::string whole;
    std::string_view rest = this->pending;
    while (true) {
        const std::size_t length = firstEventLength(rest);
        if (length == std::string_view::npos)
            break;
        const std::string_view event = rest.substr(0, length);
        const Verdict verdict = this->judge(event);
        if (verdict == Verdict::Gap)
            return Error::ProtocolViolation;
        if (verdict == Verdict::Pass)
            whole.append(event);
        rest.remove_prefix(length);
    }
    this->pending.erase(0, this->pending.size() - rest.size());
    if (this->idleBytes > kMaxEventBytes)
        return Error::ProtocolViolation;
    return whole;
}

std::string EventRelay::lastEventId() const
{
    return this->last ? std::to_string(*this->last) : std::string();
}

EventRelay::Verdict EventRelay::judge(std::string_view event)
{
    const std::optional<std::uint64_t> number = eventNumber(event);
    if (!number)
        return Verdict::Pass;
    if (this->last && *number <= *this->last)
        return Verdict::Skip;
    if (this->last && *number != *this->last + 1)
        return Verdict::Gap;
    this->last = number;
    this->idleBytes = 0;
    this->advanced = true;
    return Verdict::Pass;
}

} // namespace foxtailtally
