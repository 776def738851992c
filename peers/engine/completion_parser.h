#pragma once

#include "peers/engine/sse_parser.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One token of an engine's answer. */
struct CompletionToken
{
    std::int64_t offset = 0;
    std::string text;

    bool operator==(const CompletionToken &) const = default;
};

/** Parses the event stream of one completion and checks that its offsets are contiguous. */
class CompletionParser
{
public:
    /** @p firstOffset is the offset at which the stream must start. */
    explicit CompletionParser(std::int64_t firstOffset);

    /**
     * Appends the tokens completed by @p data to @p tokens. ProtocolViolation for malformed data, a
     * repeated or skipped offset, and any data after the final event.
     */
    std::error_code feed(std::string_view data, std::vector<CompletionToken> &tokens);

    /** True once the final event ("done") was parsed. */
    bool isDone() const { return this->done; }
    /** Offset of the next token. */
    std::int64_t nextOffset() const { return this->next; }
    /** Prompt tokens that the engine took from its prefix cache; valid once isDone(). */
    std::int64_t cachedTokens() const { return this->cached; }

private:
    bool apply(std::string_view event, std::vector<CompletionToken> &tokens);

    SseParser parser;
    std::int64_t next;
    std::int64_t cached = 0;
    bool done = false;
    bool failed = false;
};

} // namespace foxtailtally
