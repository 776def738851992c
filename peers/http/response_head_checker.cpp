#include "peers/http/response_head_checker.h"

#include "peers/http/http_head.h"

#include <absl/strings/ascii.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr int kStatusDigits = 3;

} // namespace

std::optional<std::size_t> ResponseHeadChecker::check(std::string_view bytes)
{
    std::size_t size = 0;
    while (size < bytes.size() && !this->isComplete()) {
        if (!this->accept(bytes[size]))
            return std::nullopt;
        ++size;
    }
    return size;
}

bool ResponseHeadChecker::accept(char byte)
{
    const bool isLineEnd = byte == '\r' || byte == '\n';
    // http_parser takes some carriage returns for the end of a line.
    if (std::exchange(this->isAfterReturn, byte == '\r') && byte != '\n')
        return false;
    switch (this->state) {
    case State::Start:
        // Recipients ignore empty lines before a message.
        if (isLineEnd)
            return true;
        this->state = State::Version;
        return true;
    case State::Version:
        if (byte == ' ')
            this->state = State::Status;
        return !isLineEnd;
    case State::Status:
        return this->acceptStatus(byte);
    case State::Line:
        if (byte == '\n')
            this->state = State::LineStart;
        return true;
    case State::LineStart:
        if (byte == '\n')
            this->state = State::Complete;
        if (isLineEnd)
            return true;
        // Obsolete folding, by which a line that begins with a blank continues another, is refused
        // too.
        this->state = State::Name;
        return isHeaderNameCharacter(byte);
    case State::Name:
        if (byte != ':')
            return isHeaderNameCharacter(byte);
        this->state = State::Line;
        return true;
    case State::Complete:
        return false;
    }
    return false;
}

bool ResponseHeadChecker::acceptStatus(char byte)
{
    if (absl::ascii_isdigit(static_cast<unsigned char>(byte))) {
        this->status = this->status * 10 + (byte - '0');
        return ++this->statusDigits <= kStatusDigits;
    }
    if (byte == ' ' && this->statusDigits == 0)
        return true;
    if (byte != ' ' && byte != '\r' && byte != '\n')
        return false;
    this->state = byte == '\n' ? State::LineStart : State::Line;
    return this->statusDigits == kStatusDigits && isResponseStatus(this->status);
}

} // namespace foxtailtally
