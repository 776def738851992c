#pragma once

#include "peers/engine/sse_parser.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Error response or error event of a refused or failed request, as a caller receives it. */
struct CallerRefusal
{
    std::string type;
    bool notRun = false;
    std::int64_t retryAfterMilliseconds = 0;
};

/** Parses {"error": {...}}; returns false if @p body has another form. */
bool parseRefusal(std::string_view body, CallerRefusal &refusal);

/**
 * Checks one streamed answer against the answer that the simulated engines give to its prompt:
 * every token once, in order and with the expected text, and a complete end of the stream.
 */
class AnswerCheck
{
public:
    /** @p answerKey is answerKeyOf() of the prompt; @p tokens is the expected number. */
    AnswerCheck(std::uint64_t answerKey, std::int64_t tokens);

    void feed(std::string_view data);

    std::int64_t received() const { return this->nextOffset; }
    /** All tokens and the end of the stream have arrived without an error. */
    bool isComplete() const;
    /** A token had the text of another answer or of another offset of this answer. */
    bool hasMixUp() const { return this->mixUp; }
    /** A token was missing, repeated or out of order. */
    bool hasGap() const { return this->gap; }
    /** The stream does not conform to the interface. */
    bool isMalformed() const { return this->malformed; }
    /** The stream ended with an error event. */
    bool isRefused() const { return this->refused; }
    const CallerRefusal &refusal() const { return this->lastRefusal; }

private:
    void onEvent(const std::string &event);

    SseParser parser;
    std::uint64_t answerKey;
    std::int64_t expectedTokens;
    std::int64_t nextOffset = 0;
    bool finished = false;
    bool closed = false;
    bool mixUp = false;
    bool gap = false;
    bool malformed = false;
    bool refused = false;
    CallerRefusal lastRefusal;
};

} // namespace foxtailtally
