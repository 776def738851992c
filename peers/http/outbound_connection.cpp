#include "peers/http/outbound_connection.h"

#include "core/error.h"
#include "core/guard.h"
#include "core/socket_address.h"
#include "core/text.h"
#include "peers/http/body_end.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <limits>
#include <netinet/tcp.h>
#include <new>
#include <sys/socket.h>
#include <utility>

namespace foxtailtally {

namespace {

/** TCP_USER_TIMEOUT: time without an acknowledgement after which the kernel closes a connection, in
 * milliseconds. Peers are at most a few milliseconds away. */
constexpr unsigned kTcpUserTimeoutMs = 2000;

/** Limits for the bytes received for one call besides its response body: heads, responses to other
 * calls and chunk framing, where the smallest chunks take five framing bytes per body byte. They
 * fail the call when a faulty server sends such bytes without end. */
constexpr std::uint64_t kMaxOverheadBytes = std::uint64_t {256} << 10;
constexpr std::uint64_t kMaxFramingPerBodyByte = 8;

/** Memory for a header besides its text; vectors of headers grow by doubling. */
constexpr std::size_t kHeaderOverheadBytes = 2 * sizeof(HttpHeader);

/** Limit of the memory for one head. Real heads have less than 8 KiB of text and 40 headers. */
constexpr std::size_t kMaxHeadBytes = std::size_t {32} << 10;

/** Interval at which the end of a body is checked that is undecided. */
constexpr absl::Duration kBodyEndCheckInterval = absl::Milliseconds(5);

/** Whether the kernel ended a connection with @p error although no packet of the peer did. */
bool isTimeout(int error)
{
    return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH || error == EHOSTDOWN
        || error == ENETDOWN;
}

OutboundConnection &self(http_parser *parser)
{
    return *static_cast<OutboundConnection *>(parser->data);
}

} // namespace

OutboundConnection::OutboundConnection(event_base *base, std::string_view address,
                                       IdleEvents &idleEvents)
    : idleEvents(idleEvents)
{
    this->stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        this->stream,
        [](bufferevent *, void *object) {
            runCallback(object, [](OutboundConnection &connection) { connection.onReadable(); });
        },
        nullptr,
        [](bufferevent *, short what, void *object) {
            runCallback(object,
                        [what](OutboundConnection &connection) { connection.onEvent(what); });
        },
        this);
    sockaddr_in peer {};
    if (!parseAddress(std::string(address), peer)) {
        this->state = State::Closed;
        return;
    }
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(this->stream, reinterpret_cast<sockaddr *>(&peer), sizeof peer)
        != 0) {
        this->state = State::Closed;
        return;
    }
    const int enabled = 1;
    const evutil_socket_t socket = bufferevent_getfd(this->stream);
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
                 sizeof kTcpUserTimeoutMs);
}

OutboundConnection::OutboundConnection(event_base *base, std::string_view address,
                                       IdleEvents &idleEvents, MemoryBudget &memory)
    : OutboundConnection(base, address, idleEvents)
{
    this->headMemory.emplace(memory, MemoryOwner::ResponseHeads);
}

template <typename Work>
void OutboundConnection::runCallback(void *object, Work &&work)
{
    OutboundConnection &connection = *static_cast<OutboundConnection *>(object);
    if (!runGuarded("server_connection", [&] { work(connection); }))
        runGuarded("server_connection_close", [&connection] { connection.fail(Error::Internal); });
}

OutboundConnection::~OutboundConnection()
{
    bufferevent_free(this->stream);
}

void OutboundConnection::call(OutboundRequest request, bool isHeadRequest,
                              const Correlation &correlation, OutboundEvents &events)
{
    this->events = &events;
    this->correlation = correlation;
    this->hadUnidentifiedCall = this->hadUnidentifiedCall || correlation.value.empty();
    this->isHeadRequest = isHeadRequest;
    this->wasCancelled = false;
    this->receivedBytes = 0;
    this->bodyBytes = 0;
    this->beginResponse();
    if (this->state == State::Open)
        this->write(std::move(request));
    else
        this->request = std::move(request);
}

void OutboundConnection::write(OutboundRequest written)
{
    bufferevent_write(this->stream, written.head.data(), written.head.size());
    if (!written.body || written.body->empty())
        return;
    using Body = std::shared_ptr<const std::string>;
    auto owner = std::make_unique<Body>(std::move(written.body));
    const std::string &text = **owner;
    const evbuffer_ref_cleanup_cb release = [](const void *, std::size_t, void *object) {
        std::unique_ptr<Body>(static_cast<Body *>(object)).reset();
    };
    if (evbuffer_add_reference(bufferevent_get_output(this->stream), text.data(), text.size(),
                               release, owner.get())
        != 0)
        throw std::bad_alloc();
    // The buffer owns it now.
    static_cast<void>(owner.release());
}

void OutboundConnection::onConnected()
{
    this->state = State::Open;
    if (!this->events)
        return;
    if (!this->events->mayWrite(*this)) {
        this->fail(Error::PermissionExpired);
        return;
    }
    this->write(std::exchange(this->request, OutboundRequest()));
}

void OutboundConnection::cancel()
{
    this->events = nullptr;
    this->wasCancelled = true;
    this->closeSocket();
}

void OutboundConnection::pauseReading(bool isPaused)
{
    if (this->state == State::Closed)
        return;
    if (isPaused)
        bufferevent_disable(this->stream, EV_READ);
    else
        bufferevent_enable(this->stream, EV_READ);
}

void OutboundConnection::limitTransit(absl::Duration timeout)
{
    const auto milliseconds = static_cast<unsigned>(absl::ToInt64Milliseconds(timeout));
    ::setsockopt(bufferevent_getfd(this->stream), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                 sizeof milliseconds);
}

bool OutboundConnection::isReusable() const
{
    return this->state == State::Open && this->keepsAlive && this->events == nullptr
        && evbuffer_get_length(bufferevent_get_output(this->stream)) == 0
        && evbuffer_get_length(bufferevent_get_input(this->stream)) == 0;
}

bool OutboundConnection::hasUnreadInput() const
{
    char byte = 0;
    const ssize_t size =
        ::recv(bufferevent_getfd(this->stream), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || errno != EAGAIN;
}

const http_parser_settings &OutboundConnection::parserSettings()
{
    static const http_parser_settings settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_header_field = &OutboundConnection::onHeaderField;
        callbacks.on_header_value = &OutboundConnection::onHeaderValue;
        callbacks.on_headers_complete = &OutboundConnection::onHeadersComplete;
        callbacks.on_body = &OutboundConnection::onBody;
        callbacks.on_message_complete = &OutboundConnection::onMessageComplete;
        return callbacks;
    }();
    return settings;
}

int OutboundConnection::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    OutboundConnection &connection = self(parser);
    connection.responseStarted = true;
    const std::size_t overhead = connection.collector.isBetweenHeaders() ? kHeaderOverheadBytes : 0;
    if (!connection.addHeadBytes(overhead + size))
        return -1;
    connection.collector.onName({data, size});
    return 0;
}

int OutboundConnection::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    OutboundConnection &connection = self(parser);
    if (!connection.addHeadBytes(size))
        return -1;
    connection.collector.onValue({data, size});
    return 0;
}

int OutboundConnection::onHeadersComplete(http_parser *parser)
{
    OutboundConnection &connection = self(parser);
    connection.responseStarted = true;
    connection.collector.finish();
    connection.response.status = parser->status_code;
    parser->upgrade = 0;
    const bool isInterim = parser->status_code < 200;
    connection.isSkipped = isInterim || !connection.matchesCorrelation();
    connection.keepsAlive = http_should_keep_alive(parser) != 0;
    const bool hasLength = parser->content_length != std::numeric_limits<std::uint64_t>::max();
    connection.response.isFramed = hasLength || (parser->flags & F_CHUNKED) != 0
        || connection.isHeadRequest || !mayHaveBody(connection.response.status);
    if (!connection.isSkipped) {
        connection.recordKeepAliveTimeout();
        connection.events->onResponseHead(connection, connection.response);
    }
    if (connection.wasCancelled)
        return -1;
    return connection.isHeadRequest ? 1 : 0;
}

int OutboundConnection::onBody(http_parser *parser, const char *data, std::size_t size)
{
    OutboundConnection &connection = self(parser);
    if (!connection.isSkipped) {
        connection.bodyBytes += size;
        connection.events->onResponseBody(connection, std::string_view(data, size));
    }
    return connection.wasCancelled ? -1 : 0;
}

int OutboundConnection::onMessageComplete(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

bool OutboundConnection::addHeadBytes(std::size_t bytes)
{
    this->headBytes += bytes;
    if (this->headBytes > kMaxHeadBytes)
        this->headError = Error::ProtocolViolation;
    else if (this->headMemory && !this->headMemory->tryGrowFairly(static_cast<std::int64_t>(bytes)))
        this->headError = Error::MemoryShareUsedUp;
    return !this->headError;
}

bool OutboundConnection::exceedsOverheadLimit() const
{
    return this->receivedBytes > kMaxOverheadBytes + kMaxFramingPerBodyByte * this->bodyBytes;
}

bool OutboundConnection::matchesCorrelation() const
{
    const std::string *value = this->response.headers.find(this->correlation.header);
    if (!value)
        return true;
    return *value == this->correlation.value;
}

void OutboundConnection::recordKeepAliveTimeout()
{
    const std::string_view keepAlive = this->response.headers.valueOr("Keep-Alive", "");
    const std::size_t at = keepAlive.find("timeout=");
    if (at == std::string_view::npos)
        return;
    std::string_view digits = keepAlive.substr(at + std::string_view("timeout=").size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    int seconds = 0;
    if (absl::SimpleAtoi(asAbsl(digits), &seconds))
        this->idleTimeout = absl::Seconds(seconds);
}

void OutboundConnection::onReadable()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    while (this->state == State::Open && evbuffer_get_length(input) > 0) {
        if (!this->events) {
            // Bytes received without a call in flight answer no request.
            this->closeSocket();
            this->idleEvents.onIdleClosed(*this);
            return;
        }
        const std::size_t size = evbuffer_get_contiguous_space(input);
        const char *data =
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        this->responseStarted = true;
        const std::size_t parsed = this->parse({data, size});
        if (this->wasCancelled)
            return;
        this->receivedBytes += parsed;
        const http_errno error = HTTP_PARSER_ERRNO(&this->parser);
        const bool isValid = !this->headError && (error == HPE_OK || error == HPE_PAUSED)
            && !this->exceedsOverheadLimit();
        if (!isValid) {
            const std::error_code cause = this->headError;
            this->fail(cause ? cause : Error::ProtocolViolation);
            return;
        }
        evbuffer_drain(input, parsed);
        if (error != HPE_PAUSED)
            continue;
        if (this->isSkipped) {
            this->beginResponse();
            continue;
        }
        OutboundEvents *finished = this->events;
        this->events = nullptr;
        ++this->completedCalls;
        // Idle connections keep nothing of their last response.
        this->dropHead();
        finished->onResponseComplete(*this);
        return;
    }
}

std::size_t OutboundConnection::parse(std::string_view data)
{
    if (!this->headChecker.isComplete()) {
        const std::optional<std::size_t> headSize = this->headChecker.check(data);
        if (!headSize) {
            this->headError = Error::ProtocolViolation;
            return 0;
        }
        data = data.substr(0, *headSize);
    }
    return http_parser_execute(&this->parser, &parserSettings(), data.data(), data.size());
}

void OutboundConnection::onEvent(short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        this->onConnected();
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0)
        return;
    const bool wasReset = (what & BEV_EVENT_EOF) == 0;
    const int error = wasReset ? EVUTIL_SOCKET_ERROR() : 0;
    // A server with too many connections accepts and resets one, which may be noticed before the
    // connection is known to be established.
    if (isTimeout(error))
        this->end = ConnectionEnd::TimedOut;
    else if (error == ECONNREFUSED && !this->isConnected())
        this->end = ConnectionEnd::Refused;
    else
        this->end = ConnectionEnd::ClosedByPeer;
    this->onDisconnected(wasReset);
}

void OutboundConnection::onDisconnected(bool wasReset)
{
    const bool wasConnected = this->state == State::Open;
    if (!this->events) {
        this->closeSocket();
        this->idleEvents.onIdleClosed(*this);
        return;
    }
    const bool endsBody = !wasReset && this->responseStarted && this->response.status != 0
        && !this->response.isFramed && !this->isSkipped;
    if (endsBody) {
        this->settleBodyEnd();
        return;
    }
    this->fail(wasConnected ? Error::ConnectionLost : Error::ConnectionFailed);
}

void OutboundConnection::settleBodyEnd()
{
    const std::size_t unwrittenBytes = evbuffer_get_length(bufferevent_get_output(this->stream));
    switch (bodyEndAtClose(bufferevent_getfd(this->stream), unwrittenBytes)) {
    case BodyEnd::Undecided:
        // The rest of the request is still written, and an error ends the call.
        if (!this->bodyEndTimer) {
            this->bodyEndTimer.emplace(bufferevent_get_base(this->stream), [this] {
                runCallback(this,
                            [](OutboundConnection &connection) { connection.settleBodyEnd(); });
            });
        }
        this->bodyEndTimer->start(kBodyEndCheckInterval);
        return;
    case BodyEnd::Broken:
        this->fail(Error::ConnectionLost);
        return;
    case BodyEnd::Complete:
        OutboundEvents *finished = this->events;
        this->events = nullptr;
        this->closeSocket();
        finished->onResponseComplete(*this);
        return;
    }
}

void OutboundConnection::beginResponse()
{
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    this->headChecker = ResponseHeadChecker();
    this->dropHead();
    this->isSkipped = false;
    this->responseStarted = false;
}

void OutboundConnection::dropHead()
{
    this->response = ResponseHead();
    this->collector.clear();
    this->headBytes = 0;
    this->headError.clear();
    if (this->headMemory)
        this->headMemory->release();
}

void OutboundConnection::fail(std::error_code error)
{
    OutboundEvents *failed = this->events;
    this->events = nullptr;
    this->closeSocket();
    this->dropHead();
    if (failed)
        failed->onCallFailed(*this, error);
}

void OutboundConnection::closeSocket()
{
    if (this->state == State::Closed)
        return;
    this->state = State::Closed;
    if (this->bodyEndTimer)
        this->bodyEndTimer->stop();
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    const evutil_socket_t socket = bufferevent_getfd(this->stream);
    if (socket < 0)
        return;
    // Detach the descriptor first, so that nothing is written to it once its number is reused.
    bufferevent_setfd(this->stream, -1);
    evutil_closesocket(socket);
}

} // namespace foxtailtally
