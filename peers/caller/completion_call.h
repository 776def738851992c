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

/** Why a caller's request was rejected before anything was done with it. */
struct CallerError
{
    int status = 400;
    std::string type;
    std::string message;
};

/** A chat completion as the caller asked for it. */
struct CompletionCall
{
    ModelId model;
    AdapterId adapter;
    std::string prompt;
    std::int64_t maxTokens = 256;
    bool isStreamed = false;
    RequestClass requestClass = RequestClass::Normal;
    /** Time allowed for the whole answer. */
    absl::Duration timeLimit = absl::ZeroDuration();
};

/** Values for requests that name none, and limits. */
struct CompletionDefaults
{
    std::array<absl::Duration, kRequestClassCount> timeLimits {};
    std::int64_t maxTokens = 65536;
    absl::Duration maxTimeLimit = absl::Minutes(5);
};

/** Reads class and time limit from the headers X-Request-Class and X-Deadline-Ms. */
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
