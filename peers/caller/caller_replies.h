#pragma once

#include "core/refusal.h"
#include "core/request.h"
#include "peers/caller/completion_call.h"
#include "peers/http/http_server.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailtally {

/** HTTP status for a refusal. */
int refusalStatus(RefusalReason reason);

/** Body {"error": {type, message, not_run, retry_after_ms}}, and Retry-After in whole seconds. */
HttpResponse refusalResponse(const Refusal &refusal);
HttpResponse callerErrorResponse(const CallerError &error);

/** Response head of a stream of server-sent events. */
HttpResponse streamHead();
/** One chat.completion.chunk event; @p offset is the token's index in the answer. */
std::string tokenEvent(const RequestId &id, const ModelId &model, std::int64_t offset,
                       std::string_view text);
/** Final events of a complete answer, including "[DONE]". */
std::string finishEvents(const RequestId &id, const ModelId &model, std::int64_t tokens);
/** Error event that ends the stream of an answer that cannot be completed. */
std::string failureEvent(RefusalReason reason);

/** Complete chat.completion object, for callers that do not stream. */
HttpResponse completionResponse(const RequestId &id, const ModelId &model, std::string_view text,
                                std::int64_t promptTokens, std::int64_t tokens);

} // namespace foxtailtally
