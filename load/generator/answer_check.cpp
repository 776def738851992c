#include "load/generator/answer_check.h"

#include "standins/lib/token_text.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

using nlohmann::json;

constexpr std::string_view kEndOfStream = "[DONE]";

bool readRefusal(const json &document, CallerRefusal &refusal)
{
    if (!document.is_object())
        return false;
    const auto error = document.find("error");
    if (error == document.end() || !error->is_object())
        return false;
    const json type = error->value("type", json());
    const json notRun = error->value("not_run", json(false));
    const json retryAfter = error->value("retry_after_ms", json(0));
    if (!type.is_string() || !notRun.is_boolean() || !retryAfter.is_number_integer())
        return false;
    refusal = {type.get<std::string>(), notRun.get<bool>(), retryAfter.get<std::int64_t>()};
    return true;
}

} // namespace

bool parseRefusal(std::string_view body, CallerRefusal &refusal)
{
    return readRefusal(json::parse(body, nullptr, false), refusal);
}

AnswerCheck::AnswerCheck(std::uint64_t answerKey, std::int64_t tokens)
    : answerKey(answerKey)
    , expectedTokens(tokens)
{ }

void AnswerCheck::feed(std::string_view data)
{
    std::vector<std::string> events;
    if (this->parser.feed(data, events))
        this->malformed = true;
    for (const std::string &event : events)
        this->onEvent(event);
}

bool AnswerCheck::isComplete() const
{
    return this->closed && this->finished && !this->gap && !this->mixUp && !this->malformed
        && !this->refused && this->nextOffset == this->expectedTokens;
}

void AnswerCheck::onEvent(const std::string &event)
{
    if (this->closed) {
        this->malformed = true;
        return;
    }
    if (event == kEndOfStream) {
        this->closed = true;
        return;
    }
    const json document = json::parse(event, nullptr, false);
    if (readRefusal(document, this->lastRefusal)) {
        this->refused = true;
        return;
    }
    const json choices = document.is_object() ? document.value("choices", json()) : json();
    if (!choices.is_array() || choices.size() != 1 || !choices[0].is_object()) {
        this->malformed = true;
        return;
    }
    const json &choice = choices[0];
    if (choice.value("finish_reason", json()).is_string()) {
        this->finished = true;
        return;
    }
    const json offset = choice.value("offset", json());
    const json delta = choice.value("delta", json::object());
    const json content = delta.is_object() ? delta.value("content", json()) : json();
    if (!offset.is_number_integer() || !content.is_string()) {
        this->malformed = true;
        return;
    }
    const auto position = offset.get<std::int64_t>();
    this->gap = this->gap || position != this->nextOffset || this->finished;
    this->mixUp = this->mixUp
        || content.get_ref<const std::string &>() != tokenText(this->answerKey, position);
    this->nextOffset = position + 1;
}

} // namespace foxtailtally
