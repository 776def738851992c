#pragma once

#include "core/request.h"
#include "peers/http/http_server.h"

#include <absl/time/time.h>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace foxtailtally {

/** Error reply to a caller's request that was rejected before any processing. */
struct CallerError
{
    int status = 400;
    std::string type;
    std::string message;
};

/** Parsed chat completion request of a caller. */
struct CompletionCall
{
    ModelId model;
    AdapterId adapter;
    std::string prompt;
    std::int64_t maxTokens = 256;
    bool isStreamed = false;
    RequestClass requestClass = RequestClass::Normal;
    /** Maximum time until the answer is complete. */
    absl::Duration timeLimit = absl::ZeroDuration();
};

/** Default values for requests that omit them, and upper limits. */
struct CompletionDefaults
{
    std::array<absl::Duration, kRequestClassCount> timeLimits {};
    std::int64_t maxTokens = 65536;
    absl::Duration maxTimeLimit = absl::Minutes(5);
};

/** Parses the headers X-Request-Class and X-Deadline-Ms. */
std::variant<RequestClass, CallerError> parseRequestClass(const HttpRequest &request);
std::variant<absl::Duration, CallerError>
parseTimeLimit(const HttpRequest &request, absl::Duration fallback, absl::Duration maxTimeLimit);

/** Parses body and headers of POST /v1/chat/completions. */
std::variant<CompletionCall, CallerError> parseCompletionCall(const HttpRequest &request,
                                                              std::string_view body,
                                                              const CompletionDefaults &defaults);

/** Bearer token of the Authorization header, or empty. */
std::string_view bearerToken(const HttpRequest &request);

} // namespace foxtailtally
