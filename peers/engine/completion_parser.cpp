#include "peers/engine/completion_parser.h"

#include "peers/http/json_reader.h"

namespace foxtailtally {

CompletionParser::CompletionParser(std::int64_t firstOffset)
    : next(firstOffset)
{ }

std::error_code CompletionParser::feed(std::string_view data, std::vector<CompletionToken> &tokens)
{
    if (this->failed) {
        return Error::ProtocolViolation;
    }
    std::vector<std::string> events;
    this->failed = static_cast<bool>(this->parser.feed(data, events));
    // Events before an error are valid and are delivered, however the bytes were split.
    for (const std::string &event : events) {
        if (!this->apply(event, tokens)) {
            this->failed = true;
            break;
        }
    }
    return this->failed ? make_error_code(Error::ProtocolViolation) : std::error_code();
}

bool CompletionParser::apply(std::string_view event, std::vector<CompletionToken> &tokens)
{
    if (this->done) {
        return false;
    }
    JsonReader reader(event);
    const std::int64_t offset = reader.integer("offset");
    if (!reader.ok() || offset != this->next) {
        return false;
    }
    if (reader.optionalFlag("done", false)) {
        this->cached = reader.integer("cached_tokens");
        this->done = reader.ok();
        return this->done;
    }
    std::string text = reader.text("text");
    if (!reader.ok()) {
        return false;
    }
    tokens.push_back({offset, std::move(text)});
    ++this->next;
    return true;
}

} // namespace foxtailtally
