#include "peers/caller/caller_replies.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

using nlohmann::json;

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

json errorObject(std::string_view type, std::string_view message, bool notRun,
                 absl::Duration retryAfter)
{
    return {{"error",
             {{"type", type},
              {"message", message},
              {"not_run", notRun},
              {"retry_after_ms", absl::ToInt64Milliseconds(retryAfter)}}}};
}

std::string messageOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::DeadlineUnreachable:
        return "the request cannot be finished within its time";
    case RefusalReason::QuotaExceeded:
        return "the customer's limit is used up";
    case RefusalReason::Quarantined:
        return "requests equal to this one have ended backend servers";
    case RefusalReason::OutcomeUnknown:
        return "the action may or may not have run";
    case RefusalReason::StoreUnavailable:
        return "the store that records actions cannot be reached";
    case RefusalReason::KeyReused:
        return "the idempotency key was used with another body";
    case RefusalReason::KeyExpired:
        return "the idempotency key is too old";
    case RefusalReason::UnknownModel:
        return "the model or adapter is not served";
    default:
        return "the request was refused: " + std::string(refusalName(reason));
    }
}

std::string event(const json &data)
{
    return "data: " + data.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

json chunk(const RequestId &id, const ModelId &model, json choice)
{
    return {{"id", id.str()},
            {"object", "chat.completion.chunk"},
            {"model", model.str()},
            {"choices", json::array({std::move(choice)})}};
}

} // namespace

int refusalStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QuotaExceeded:
    case RefusalReason::QueueFull:
        return kTooManyRequests;
    case RefusalReason::UnknownModel:
        return 404;
    case RefusalReason::UnknownCustomer:
        return 401;
    case RefusalReason::Quarantined:
        return 422;
    case RefusalReason::KeyReused:
    case RefusalReason::KeyExpired:
        return 409;
    case RefusalReason::OutcomeUnknown:
    case RefusalReason::ServerLost:
        return 502;
    case RefusalReason::TimedOut:
        return kGatewayTimeout;
    default:
        return kUnavailable;
    }
}

HttpResponse refusalResponse(const Refusal &refusal)
{
    HttpResponse response;
    response.status = refusalStatus(refusal.reason);
    if (refusal.retryAfter > absl::ZeroDuration()) {
        const std::int64_t seconds = std::max<std::int64_t>(
            1, absl::ToInt64Seconds(absl::Ceil(refusal.retryAfter, absl::Seconds(1))));
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    response.body = errorObject(refusalName(refusal.reason), messageOf(refusal.reason),
                                refusal.notRun, refusal.retryAfter)
                        .dump();
    return response;
}

HttpResponse callerErrorResponse(const CallerError &error)
{
    HttpResponse response;
    response.status = error.status;
    response.body = errorObject(error.type, error.message, true, absl::ZeroDuration()).dump();
    return response;
}

HttpResponse streamHead()
{
    HttpResponse head;
    head.contentType = "text/event-stream";
    head.headers.emplace_back("Cache-Control", "no-cache");
    return head;
}

std::string tokenEvent(const RequestId &id, const ModelId &model, std::int64_t offset,
                       std::string_view text)
{
    return event(chunk(id, model,
                       {{"index", 0},
                        {"offset", offset},
                        {"delta", {{"content", text}}},
                        {"finish_reason", nullptr}}));
}

std::string finishEvents(const RequestId &id, const ModelId &model, std::int64_t tokens)
{
    json last =
        chunk(id, model, {{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}});
    last["usage"] = {{"completion_tokens", tokens}};
    return event(last) + "data: [DONE]\n\n";
}

std::string failureEvent(RefusalReason reason)
{
    return event(errorObject(refusalName(reason), messageOf(reason), false, absl::ZeroDuration()));
}

HttpResponse completionResponse(const RequestId &id, const ModelId &model, std::string_view text,
                                std::int64_t promptTokens, std::int64_t tokens)
{
    const json body = {{"id", id.str()},
                       {"object", "chat.completion"},
                       {"model", model.str()},
                       {"choices",
                        json::array({{{"index", 0},
                                      {"message", {{"role", "assistant"}, {"content", text}}},
                                      {"finish_reason", "stop"}}})},
                       {"usage",
                        {{"prompt_tokens", promptTokens},
                         {"completion_tokens", tokens},
                         {"total_tokens", promptTokens + tokens}}}};
    HttpResponse response;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace foxtailtally
