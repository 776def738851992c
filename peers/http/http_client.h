#pragma once

#include "core/result.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    /** Complete header lines such as "Authorization: Bearer x". */
    std::vector<std::string> headers;
    std::string body;
    absl::Duration connectTimeout = absl::Seconds(1);
    /** Limit for the entire call, including the body. */
    absl::Duration timeout = absl::Seconds(10);
};

/** Status and body of a finished call. */
struct HttpReply
{
    int status = 0;
    std::string body;
    /** Value of the Retry-After header in seconds, or 0. */
    int retryAfterSeconds = 0;
};

/** Receives a streamed reply. All methods are called on one client thread and must not block. */
class HttpStreamListener
{
public:
    virtual ~HttpStreamListener() = default;
    /** Called once with the HTTP status before any data. */
    virtual void onStatus(int status) = 0;
    virtual void onData(std::string_view data) = 0;
    /**
     * Called exactly once. @p error is zero when the reply was complete according to HTTP,
     * otherwise ConnectionFailed (nothing was sent), ConnectionLost, Timeout, ProtocolViolation
     * (not HTTP, or a header or body over its limit) or RequestCancelled.
     */
    virtual void onDone(std::error_code error) = 0;
};

/** Identifies a streamed call of one client. */
using HttpCallId = std::uint64_t;

/** HTTP client based on libcurl: blocking calls, and streamed calls run by client threads. */
class HttpClient
{
public:
    explicit HttpClient(int threads);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Runs @p call on the calling thread and keeps the connection for reuse. Errors are those of
     * HttpStreamListener::onDone(). A call with a method other than GET is sent at most once.
     */
    Result<HttpReply> perform(const HttpCall &call);

    /** Starts @p call; the client holds the listener until onDone() has returned. */
    HttpCallId start(const HttpCall &call, std::shared_ptr<HttpStreamListener> listener);
    /** Closes the connection of a running call; onDone() follows with RequestCancelled. */
    void cancel(HttpCallId call);
    /** Stops reading from the connection until resume(). */
    void pause(HttpCallId call);
    void resume(HttpCallId call);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace foxtailtally
