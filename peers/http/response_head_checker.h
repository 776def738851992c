#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtailtally {

/**
 * Checks the head of a response as its bytes arrive. http_parser and libcurl accept heads that are
 * no HTTP, such as one with status 000 or with a blank in a header's name.
 */
class ResponseHeadChecker
{
public:
    /**
     * Checks @p bytes, which follow those of the calls before, up to the end of the head. Returns
     * how many of them belong to the head; nullopt if no response can begin with them.
     */
    std::optional<std::size_t> check(std::string_view bytes);
    /** The end of the head has been checked. */
    bool isComplete() const { return this->state == State::Complete; }

private:
    enum class State : std::uint8_t { Start, Version, Status, Line, LineStart, Name, Complete };

    bool accept(char byte);
    bool acceptStatus(char byte);

    State state = State::Start;
    int status = 0;
    int statusDigits = 0;
    /** The last byte was a carriage return. */
    bool isAfterReturn = false;
};

} // namespace foxtailtally
