#include "peers/http/http_transfer.h"

#include "core/socket_address.h"
#include "core/text.h"
#include "peers/http/body_end.h"
#include "peers/http/http_head.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <unistd.h>

namespace foxtailtally {

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t {64} << 10;
/** Idle connections are not reused after this time; servers close them after 30 s. */
constexpr long kMaxIdleSeconds = 10;
constexpr int kMaxRetryAfterSeconds = 86400;

/** Timeout for libcurl, at least 1 ms: libcurl takes zero as "no limit", so an expired time must
 * not become zero. */
long milliseconds(absl::Duration duration)
{
    const std::int64_t value = absl::ToInt64Milliseconds(duration);
    return static_cast<long>(std::clamp<std::int64_t>(value, 1, std::int64_t {1} << 31));
}

} // namespace

HttpTransfer::HttpTransfer(HttpCallId id, HttpCall call,
                           std::shared_ptr<HttpStreamListener> listener, ConnectionSockets &sockets)
    : number(id)
    , call(std::move(call))
    , sockets(sockets)
    , target(std::move(listener))
{ }

HttpTransfer::~HttpTransfer()
{
    if (this->bodySocket >= 0)
        ::close(this->bodySocket);
}

void HttpTransfer::configure(CURL *handle)
{
    this->easy = handle;
    bool hasContentType = false;
    for (const std::string &line : this->call.headers) {
        hasContentType = hasContentType || absl::StartsWithIgnoreCase(line, "content-type:");
        this->headers.reset(curl_slist_append(this->headers.release(), line.c_str()));
    }
    // libcurl would wait up to a second for "100 Continue" before it sends a large body.
    this->headers.reset(curl_slist_append(this->headers.release(), "Expect:"));
    if (!hasContentType && !this->call.body.empty()) {
        this->headers.reset(
            curl_slist_append(this->headers.release(), "Content-Type: application/json"));
    }
    curl_easy_setopt(handle, CURLOPT_URL, this->call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, this->headers.get());
    if (this->call.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, this->call.body.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(this->call.body.size()));
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, this->call.method.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(this->call.connectTimeout));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, milliseconds(this->call.timeout));
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &HttpTransfer::onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &HttpTransfer::onRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    this->sockets.record(handle);
}

std::error_code HttpTransfer::errorFor(CURLcode code) const
{
    if (code == CURLE_OK) {
        const bool isComplete = !this->isBodyUnframed || this->isUnframedBodyComplete();
        return isComplete ? std::error_code() : Error::ConnectionLost;
    }
    if (this->isHeadInvalid) {
        return Error::ProtocolViolation;
    }
    if (!this->maySend) {
        return Error::ConnectionFailed;
    }
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return Error::Timeout;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
    // A header line that libcurl cannot split into a name and a value.
    case CURLE_BAD_FUNCTION_ARGUMENT:
        return Error::ProtocolViolation;
    default:
        return Error::ConnectionLost;
    }
}

void HttpTransfer::reportStatus()
{
    long status = 0;
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
    // Interim responses (1xx) are followed by the final one.
    if (this->isStatusReported || status < 200) {
        return;
    }
    this->isStatusReported = true;
    this->target->onStatus(static_cast<int>(status));
}

bool HttpTransfer::acceptLine(std::string_view line)
{
    // Headers behind the body are not used.
    if (this->isStatusReported)
        return true;
    // The head of an interim response was before this one.
    if (this->headChecker.isComplete())
        this->headChecker = ResponseHeadChecker();
    return this->headChecker.check(line).has_value();
}

std::size_t HttpTransfer::onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *self = static_cast<HttpTransfer *>(context);
    const std::size_t bytes = size * count;
    self->headerBytes += bytes;
    if (self->headerBytes > kMaxHeaderBytes || !self->acceptLine({data, bytes})) {
        self->isHeadInvalid = true;
        return 0;
    }
    const absl::string_view line(data, bytes);
    constexpr absl::string_view kName = "retry-after:";
    if (absl::StartsWithIgnoreCase(line, kName)) {
        int seconds = 0;
        if (absl::SimpleAtoi(absl::StripAsciiWhitespace(line.substr(kName.size())), &seconds)) {
            self->retryAfter = std::clamp(seconds, 0, kMaxRetryAfterSeconds);
        }
    }
    if (line == "\r\n" || line == "\n") {
        self->reportStatus();
        if (self->isStatusReported && !self->isBodyUnframed && self->endsWithConnection()) {
            self->isBodyUnframed = true;
            self->bodySocket = self->sockets.duplicate(self->addresses);
        }
    }
    return bytes;
}

bool HttpTransfer::endsWithConnection() const
{
    long status = 0;
    curl_off_t length = -1;
    curl_header *coding = nullptr;
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(this->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    const bool isCoded =
        curl_easy_header(this->easy, "Transfer-Encoding", 0, CURLH_HEADER, -1, &coding)
        == CURLHE_OK;
    const bool isChunked = isCoded
        && absl::EndsWithIgnoreCase(absl::StripTrailingAsciiWhitespace(coding->value), "chunked");
    return length < 0 && !isChunked && mayHaveBody(static_cast<int>(status));
}

bool HttpTransfer::isUnframedBodyComplete() const
{
    curl_off_t sentBytes = 0;
    curl_easy_getinfo(this->easy, CURLINFO_SIZE_UPLOAD_T, &sentBytes);
    const std::size_t unwrittenBytes = this->call.body.size() - static_cast<std::size_t>(sentBytes);
    // libcurl has closed the connection and sends no more of the request.
    return bodyEndAtClose(this->bodySocket, unwrittenBytes) == BodyEnd::Complete;
}

std::size_t HttpTransfer::onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *self = static_cast<HttpTransfer *>(context);
    const std::size_t bytes = size * count;
    if (self->isCancelled.load(std::memory_order_acquire)) {
        return bytes;
    }
    if (self->isPaused.load(std::memory_order_acquire)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    self->reportStatus();
    self->target->onData({data, bytes});
    return bytes;
}

int HttpTransfer::onRequest(void *context, char *remoteAddress, char *localAddress, int remotePort,
                            int localPort)
{
    auto *self = static_cast<HttpTransfer *>(context);
    parseAddress(absl::StrCat(remoteAddress, ":", remotePort), self->addresses.remote);
    parseAddress(absl::StrCat(localAddress, ":", localPort), self->addresses.local);
    // libcurl resends a request when a reused connection closes without a response. The server
    // may already have executed it, so only requests without side effects (GET) are resent.
    if (self->maySend && self->call.method != "GET") {
        return CURL_PREREQFUNC_ABORT;
    }
    self->maySend = true;
    return CURL_PREREQFUNC_OK;
}

} // namespace foxtailtally
