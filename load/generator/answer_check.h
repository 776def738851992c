#pragma once

#include "peers/engine/sse_parser.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** A refusal or failure as callers receive it. */
struct CallerRefusal
{
    std::string type;
    bool notRun = false;
    std::int64_t retryAfterMilliseconds = 0;
};

/** Reads {"error": {...}}; false when @p body is something else. */
bool parseRefusal(std::string_view body, CallerRefusal &refusal);

/**
 * Checks one streamed answer against the answer that the simulated engines give to its prompt:
 * every token once, in order, with the expected text, and a proper end.
 */
class AnswerCheck
{
public:
    /** @p answerKey as answerKeyOf() gives it for the prompt; @p tokens expected. */
    AnswerCheck(std::uint64_t answerKey, std::int64_t tokens);

    void feed(std::string_view data);

    std::int64_t received() const { return this->nextOffset; }
    /** All tokens and the end of the stream have arrived. */
    bool isComplete() const;
    /** A token had the text of another answer or of another place in the answer. */
    bool hasMixUp() const { return this->mixUp; }
    /** A token was missing, repeated or out of order. */
    bool hasGap() const { return this->gap; }
    /** The stream is not what the interface promises. */
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
