#include "peers/caller/completion_call.h"

#include "core/text.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

using nlohmann::json;

CallerError malformed(std::string message)
{
    return {400, "request_malformed", std::move(message)};
}

/** Appends a message's content, which is a string or a list of parts of type "text". */
bool appendContent(const json &content, std::string &prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string &>();
        return true;
    }
    if (!content.is_array())
        return false;
    for (const json &part : content) {
        // Not json::value(), which throws if the member's type differs from that of the default.
        const bool isText = part.is_object() && part.contains("type") && part["type"] == "text"
            && part.contains("text") && part["text"].is_string();
        if (!isText)
            return false;
        prompt += part["text"].get_ref<const std::string &>();
    }
    return true;
}

bool appendMessages(const json &document, std::string &prompt)
{
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty())
        return false;
    for (const json &message : *messages) {
        const bool isMessage = message.is_object() && message.contains("role")
            && message["role"].is_string() && message.contains("content");
        if (!isMessage)
            return false;
        if (!prompt.empty())
            prompt += '\n';
        if (!appendContent(message["content"], prompt))
            return false;
    }
    return true;
}

bool readOptionalText(const json &document, const char *name, std::string &value)
{
    const auto member = document.find(name);
    if (member == document.end())
        return true;
    if (!member->is_string())
        return false;
    value = member->get<std::string>();
    return true;
}

} // namespace

std::string_view bearerToken(const HttpRequest &request)
{
    constexpr std::string_view kPrefix = "Bearer ";
    const std::string_view value = request.header("authorization");
    return value.starts_with(kPrefix) ? value.substr(kPrefix.size()) : std::string_view();
}

std::variant<RequestClass, CallerError> parseRequestClass(const HttpRequest &request)
{
    const std::string_view name = request.header("x-request-class");
    if (name.empty())
        return RequestClass::Normal;
    for (const RequestClass candidate :
         {RequestClass::Urgent, RequestClass::Normal, RequestClass::Batch}) {
        if (requestClassName(candidate) == name)
            return candidate;
    }
    return malformed("X-Request-Class must be urgent, normal or batch");
}

std::variant<absl::Duration, CallerError>
parseTimeLimit(const HttpRequest &request, absl::Duration fallback, absl::Duration maxTimeLimit)
{
    const std::string_view text = request.header("x-deadline-ms");
    if (text.empty())
        return fallback;
    std::int64_t milliseconds = 0;
    const bool valid = absl::SimpleAtoi(asAbsl(text), &milliseconds) && milliseconds > 0
        && absl::Milliseconds(milliseconds) <= maxTimeLimit;
    if (!valid)
        return malformed("X-Deadline-Ms must be a whole number from 1 to "
                         + std::to_string(absl::ToInt64Milliseconds(maxTimeLimit)));
    return absl::Milliseconds(milliseconds);
}

std::variant<CompletionCall, CallerError> parseCompletionCall(const HttpRequest &request,
                                                              std::string_view body,
                                                              const CompletionDefaults &defaults)
{
    CompletionCall call;
    const auto requestClass = parseRequestClass(request);
    if (std::holds_alternative<CallerError>(requestClass))
        return std::get<CallerError>(requestClass);
    call.requestClass = std::get<RequestClass>(requestClass);
    const auto timeLimit =
        parseTimeLimit(request, defaults.timeLimits[static_cast<std::size_t>(call.requestClass)],
                       defaults.maxTimeLimit);
    if (std::holds_alternative<CallerError>(timeLimit))
        return std::get<CallerError>(timeLimit);
    call.timeLimit = std::get<absl::Duration>(timeLimit);

    const json document = json::parse(body, nullptr, false);
    if (!document.is_object())
        return malformed("body is not a JSON object");
    std::string model;
    std::string adapter;
    if (!readOptionalText(document, "model", model) || model.empty())
        return malformed("model must be a text");
    if (!readOptionalText(document, "adapter", adapter))
        return malformed("adapter must be a text");
    call.model = ModelId(std::move(model));
    call.adapter = AdapterId(std::move(adapter));
    if (!appendMessages(document, call.prompt) || call.prompt.empty())
        return malformed("messages must be a list of {role, content} with text content");
    const json stream = document.value("stream", json(false));
    const json maxTokens = document.value("max_tokens", json(call.maxTokens));
    if (!stream.is_boolean())
        return malformed("stream must be true or false");
    if (!maxTokens.is_number_integer() || maxTokens.get<std::int64_t>() < 1
        || maxTokens.get<std::int64_t>() > defaults.maxTokens)
        return malformed("max_tokens must be a whole number from 1 to "
                         + std::to_string(defaults.maxTokens));
    call.isStreamed = stream.get<bool>();
    call.maxTokens = maxTokens.get<std::int64_t>();
    return call;
}

} // namespace foxtailtally
