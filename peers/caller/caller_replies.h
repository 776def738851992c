#pragma once

#include "core/refusal.h"
#include "core/request.h"
#include "peers/caller/completion_call.h"
#include "peers/http/http_server.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailtally {

/** HTTP status that goes with a refusal. */
int refusalStatus(RefusalReason reason);

/** {"error": {type, message, not_run, retry_after_ms}} with Retry-After in whole seconds. */
HttpResponse refusalResponse(const Refusal &refusal);
HttpResponse callerErrorResponse(const CallerError &error);

/** Head of a server-sent event stream. */
HttpResponse streamHead();
/** One chat.completion.chunk event; @p offset is the token's number in the answer. */
std::string tokenEvent(const RequestId &id, const ModelId &model, std::int64_t offset,
                       std::string_view text);
/** Last events of a whole answer, "[DONE]" included. */
std::string finishEvents(const RequestId &id, const ModelId &model, std::int64_t tokens);
/** Error event that ends an answer that cannot be completed. */
std::string failureEvent(RefusalReason reason);

/** Whole chat.completion object for callers that do not stream. */
HttpResponse completionResponse(const RequestId &id, const ModelId &model, std::string_view text,
                                std::int64_t promptTokens, std::int64_t tokens);

} // namespace foxtailtally
