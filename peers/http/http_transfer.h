#pragma once

#include "peers/http/connection_sockets.h"
#include "peers/http/http_client.h"
#include "peers/http/response_head_checker.h"

#include <atomic>
#include <curl/curl.h>
#include <memory>

namespace foxtailtally {

struct CurlEasyDeleter
{
    void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
};
struct CurlListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};
using CurlEasy = std::unique_ptr<CURL, CurlEasyDeleter>;

/** One call on a libcurl handle: sets its options, handles its callbacks and maps its result. */
class HttpTransfer
{
public:
    /** @p sockets must outlive this object and the connections of its handle. */
    HttpTransfer(HttpCallId id, HttpCall call, std::shared_ptr<HttpStreamListener> listener,
                 ConnectionSockets &sockets);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    /** Sets all options of @p handle, which must not outlive this object. */
    void configure(CURL *handle);
    /** Error for the result @p code of the configured handle. */
    std::error_code errorFor(CURLcode code) const;
    HttpCallId id() const { return this->number; }
    int retryAfterSeconds() const { return this->retryAfter; }

    /** While set, received data is left in the connection. */
    std::atomic<bool> isPaused {false};
    /** Once set, received data is dropped. */
    std::atomic<bool> isCancelled {false};

    HttpStreamListener &listener() { return *this->target; }
    void reportStatus();

private:
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context);
    static int onRequest(void *context, char *remoteAddress, char *localAddress, int remotePort,
                         int localPort);

    /** Checks a line of a head, or behind the body; false if no response can have it. */
    bool acceptLine(std::string_view line);

    /** The body has neither a length nor chunks, so that it ends with the connection. */
    bool endsWithConnection() const;
    /** Whether the body is complete that has ended with the connection. */
    bool isUnframedBodyComplete() const;

    HttpCallId number;
    HttpCall call;
    ConnectionSockets &sockets;
    /** Of the connection that carries the call. */
    ConnectionAddresses addresses;
    /** Socket of that connection while the body ends with it; negative otherwise. */
    int bodySocket = -1;
    bool isBodyUnframed = false;
    std::shared_ptr<HttpStreamListener> target;
    std::unique_ptr<curl_slist, CurlListDeleter> headers;
    CURL *easy = nullptr;
    std::size_t headerBytes = 0;
    int retryAfter = 0;
    bool isStatusReported = false;
    ResponseHeadChecker headChecker;
    /** The head is no HTTP or too large. */
    bool isHeadInvalid = false;
    /** Set just before the first byte of the request is written to a connection. */
    bool maySend = false;
};

} // namespace foxtailtally
