#include "peers/http/inbound_connection.h"

#include "core/guard.h"
#include "core/text.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace foxtailtally {

namespace {

/** Output buffered for a slow caller above which its source is paused, in bytes. */
constexpr std::size_t kCongestionThresholdBytes = std::size_t {64} << 10;

/** Input buffered ahead of the parser, in bytes; further pipelined input stays in the socket. */
constexpr std::size_t kReadAheadBytes = std::size_t {64} << 10;

/** Time during which input is still read and dropped after a response that closes the connection:
 * closing with unread input would send a reset, which can destroy the response in transit. */
constexpr absl::Duration kLingerTime = absl::Seconds(1);

/** Memory reserved for a body whose caller has not sent more than that, in bytes. */
constexpr std::size_t kFirstBodyBytes = std::size_t {64} << 10;

/** Input of a refused request that must arrive in kLingerTime for the connection to stay open, in
 * bytes. */
constexpr std::size_t kMinLingeringInput = std::size_t {64} << 10;

/** Time after which a connection is closed if the caller has read nothing of its last response. */
constexpr absl::Duration kStalledOutputTime = absl::Seconds(10);

bool isValidHeaderValue(std::string_view value)
{
    return std::all_of(value.begin(), value.end(),
                       [](char c) { return static_cast<unsigned char>(c) >= ' ' || c == '\t'; });
}

InboundConnection &self(http_parser *parser)
{
    return *static_cast<InboundConnection *>(parser->data);
}

} // namespace

InboundConnection::InboundConnection(event_base *base, int socket, InboundEvents &events,
                                     const InboundLimits &limits)
    : events(events)
    , limits(limits)
{
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    this->stream = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        this->stream,
        [](bufferevent *, void *object) {
            runCallback(object, [](InboundConnection &connection) { connection.onReadable(); });
        },
        [](bufferevent *, void *object) {
            runCallback(object, [](InboundConnection &connection) { connection.onDrained(); });
        },
        [](bufferevent *, short what, void *object) {
            runCallback(object,
                        [what](InboundConnection &connection) { connection.onEvent(what); });
        },
        this);
    bufferevent_setwatermark(this->stream, EV_READ, 0, kReadAheadBytes);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    this->timer = event_new(
        base, -1, 0,
        [](evutil_socket_t, short, void *object) {
            runCallback(object, [](InboundConnection &connection) { connection.onTimer(); });
        },
        this);
    this->armTimer(this->limits.idleTimeout);
    this->beginRequest();
}

template <typename Work>
void InboundConnection::runCallback(void *object, Work &&work)
{
    InboundConnection &connection = *static_cast<InboundConnection *>(object);
    if (!runGuarded("caller_connection", [&] { work(connection); }))
        runGuarded("caller_connection_close", [&connection] { connection.close(); });
}

InboundConnection::~InboundConnection()
{
    event_free(this->timer);
    bufferevent_free(this->stream);
}

void InboundConnection::discardBody()
{
    this->isBodyDiscarded = true;
    this->requestBody.clear();
}

std::string InboundConnection::takeBody()
{
    if (!this->announcedLength)
        this->requestBody.shrink_to_fit();
    return std::move(this->requestBody);
}

void InboundConnection::pauseBody()
{
    this->isBodyPaused = true;
    bufferevent_disable(this->stream, EV_READ);
}

void InboundConnection::resumeBody()
{
    if (!this->isBodyPaused || this->state == State::Closed)
        return;
    this->isBodyPaused = false;
    bufferevent_enable(this->stream, EV_READ);
    // The body may have arrived; it is parsed from the loop, not from this call.
    bufferevent_trigger(this->stream, EV_READ,
                        BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
}

void InboundConnection::reserveBody(std::size_t bytes)
{
    if (bytes <= this->requestBody.capacity())
        return;
    const std::size_t whole =
        this->announcedLength.value_or(std::min(this->maxBody(), this->bodyAllowance));
    this->requestBody.reserve(
        std::max(bytes, std::min(whole, bytes <= kFirstBodyBytes ? kFirstBodyBytes : whole)));
}

void InboundConnection::answer(int status, const HttpHeaders &headers, std::string_view body)
{
    if (this->state == State::Closed || this->state == State::Lingering)
        return;
    // The unread rest of the body would be parsed as the next request.
    if (this->state == State::ReadingBody)
        this->keepsAlive = false;
    std::string text = this->encodeHead(status, headers);
    const bool hasBody = mayHaveBody(status);
    if (hasBody)
        absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n");
    text += "\r\n";
    if (hasBody && this->request.method != "HEAD")
        text += body;
    this->write(text);
    this->finishAnswer();
}

void InboundConnection::startStream(int status, const HttpHeaders &headers)
{
    std::string text = this->encodeHead(status, headers);
    text += "Transfer-Encoding: chunked\r\n\r\n";
    this->write(text);
}

void InboundConnection::sendChunk(std::string_view data)
{
    if (data.empty() || this->request.method == "HEAD")
        return;
    std::string text = absl::StrCat(absl::Hex(data.size()), "\r\n");
    text += data;
    text += "\r\n";
    this->write(text);
}

void InboundConnection::finishStream()
{
    if (this->request.method != "HEAD")
        this->write("0\r\n\r\n");
    this->finishAnswer();
}

void InboundConnection::abort()
{
    // Without the end mark, what is sent last shows the caller that the response is truncated.
    if (this->state == State::Answering && this->pendingOutput() > 0)
        this->linger();
    else
        this->close();
}

void InboundConnection::setLimits(const InboundLimits &limits)
{
    this->limits = limits;
    InboundLimits &kept = this->requestLimits;
    if (this->state == State::ReadingHead && limits.headerTimeout > kept.headerTimeout)
        this->armTimer(limits.headerTimeout);
    if (this->state == State::Idle && limits.idleTimeout > kept.idleTimeout)
        this->armTimer(limits.idleTimeout);
    kept.headerBytes = std::max(kept.headerBytes, limits.headerBytes);
    kept.bodyBytes = std::max(kept.bodyBytes, limits.bodyBytes);
    kept.headerTimeout = std::max(kept.headerTimeout, limits.headerTimeout);
    kept.idleTimeout = std::max(kept.idleTimeout, limits.idleTimeout);
}

void InboundConnection::closeWhenIdle()
{
    this->isClosing = true;
    if (this->state == State::Idle)
        this->closeIdle();
}

void InboundConnection::closeIdle()
{
    const evutil_socket_t socket = bufferevent_getfd(this->stream);
    char byte = 0;
    // A request that has arrived is still answered.
    const bool hasInput = evbuffer_get_length(bufferevent_get_input(this->stream)) > 0
        || ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (hasInput || this->pendingOutput() > 0) {
        this->armTimer(this->limits.idleTimeout);
        return;
    }
    // A request that arrives from now on must be refused with a reset, which shows the caller that
    // it was not read.
    bufferevent_setfd(this->stream, -1);
    evutil_closesocket(socket);
    this->close();
}

bool InboundConnection::isCongested() const
{
    return this->pendingOutput() > kCongestionThresholdBytes;
}

std::size_t InboundConnection::pendingOutput() const
{
    return evbuffer_get_length(bufferevent_get_output(this->stream));
}

const http_parser_settings &InboundConnection::parserSettings()
{
    static const http_parser_settings settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_url = &InboundConnection::onUrl;
        callbacks.on_header_field = &InboundConnection::onHeaderField;
        callbacks.on_header_value = &InboundConnection::onHeaderValue;
        callbacks.on_headers_complete = &InboundConnection::onHeadersComplete;
        callbacks.on_body = &InboundConnection::onBody;
        callbacks.on_message_complete = &InboundConnection::onMessageComplete;
        return callbacks;
    }();
    return settings;
}

int InboundConnection::onUrl(http_parser *parser, const char *data, std::size_t size)
{
    self(parser).request.target.append(data, size);
    return 0;
}

int InboundConnection::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    InboundConnection &connection = self(parser);
    // Headers behind the body have not been checked with the head.
    if (connection.state == State::ReadingHead)
        connection.collector.onName({data, size});
    return 0;
}

int InboundConnection::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    InboundConnection &connection = self(parser);
    if (connection.state == State::ReadingHead)
        connection.collector.onValue({data, size});
    return 0;
}

int InboundConnection::onHeadersComplete(http_parser *parser)
{
    InboundConnection &connection = self(parser);
    connection.collector.finish();
    connection.isHeadWhole = true;
    connection.request.method = http_method_str(static_cast<http_method>(parser->method));
    connection.keepsAlive = http_should_keep_alive(parser) != 0;
    // Upgrades are never accepted, so the bytes that follow are the next request.
    parser->upgrade = 0;
    return connection.acceptHead() ? 0 : -1;
}

int InboundConnection::onBody(http_parser *parser, const char *data, std::size_t size)
{
    InboundConnection &connection = self(parser);
    if (connection.isBodyDiscarded)
        return 0;
    if (connection.requestBody.size() + size > connection.requestLimits.bodyBytes) {
        connection.rejectStatus = 413;
        return -1;
    }
    const std::size_t received = connection.requestBody.size() + size;
    if (received > connection.bodyAllowance)
        connection.events.onBodyAllowanceReached(connection);
    connection.reserveBody(received);
    connection.requestBody.append(data, size);
    return 0;
}

int InboundConnection::onMessageComplete(http_parser *parser)
{
    self(parser).state = State::Answering;
    http_parser_pause(parser, 1);
    return 0;
}

bool InboundConnection::acceptHead()
{
    RequestHead &head = this->request;
    for (const HttpHeader &header : head.headers.all()) {
        if (!isHeaderName(header.name) || !isValidHeaderValue(header.value)) {
            this->rejectStatus = 400;
            return false;
        }
    }
    std::string_view target = head.target;
    if (head.headers.count("Host") != 1 || target.empty() || head.method == "CONNECT") {
        this->rejectStatus = 400;
        return false;
    }
    head.host = head.headers.valueOr("Host", "");
    if (absl::StartsWithIgnoreCase(asAbsl(target), "http://")) {
        const std::size_t authority = std::string_view("http://").size();
        const std::size_t slash = target.find('/', authority);
        head.host = std::string(target.substr(authority, slash - authority));
        target = slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
    }
    head.path = std::string(target.substr(0, target.find_first_of("?#")));
    std::uint64_t length = 0;
    if (const std::string *text = head.headers.find("Content-Length");
        text && absl::SimpleAtoi(*text, &length) && length > this->requestLimits.bodyBytes) {
        this->rejectStatus = 413;
        return false;
    }
    if ((this->parser.flags & F_CHUNKED) == 0)
        this->announcedLength = length;
    this->state = State::ReadingBody;
    this->events.onRequestHead(*this);
    if (absl::EqualsIgnoreCase(asAbsl(head.headers.valueOr("Expect", "")), "100-continue"))
        this->write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

void InboundConnection::onReadable()
{
    if (this->state == State::Lingering)
        this->dropInput();
    else
        this->parseInput();
}

void InboundConnection::parseInput()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    while (this->state == State::Idle || this->state == State::ReadingHead
           || this->state == State::ReadingBody) {
        if (this->isBodyPaused)
            return;
        const std::size_t size = evbuffer_get_contiguous_space(input);
        if (size == 0)
            return;
        if (this->state == State::Idle) {
            this->state = State::ReadingHead;
            this->requestLimits = this->limits;
            this->armTimer(this->requestLimits.headerTimeout);
        }
        const bool wasReadingHead = this->state == State::ReadingHead;
        const char *data =
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t parsed =
            http_parser_execute(&this->parser, &parserSettings(), data, size);
        evbuffer_drain(input, parsed);
        if (wasReadingHead) {
            this->headBytes += parsed;
            if (this->state == State::ReadingHead
                && this->headBytes > this->requestLimits.headerBytes)
                this->rejectStatus = 431;
            if (this->state != State::ReadingHead)
                event_del(this->timer);
        }
        const http_errno error = HTTP_PARSER_ERRNO(&this->parser);
        if (this->rejectStatus != 0 || (error != HPE_OK && error != HPE_PAUSED)) {
            this->reject(this->rejectStatus != 0 ? this->rejectStatus : 400);
            return;
        }
    }
    // Input behind the request also arrives while it is being answered.
    if (this->state != State::Answering || this->isRequestComplete || this->isBodyPaused)
        return;
    this->isRequestComplete = true;
    this->events.onRequestComplete(*this);
}

void InboundConnection::onDrained()
{
    if (this->state == State::Lingering) {
        ::shutdown(bufferevent_getfd(this->stream), SHUT_WR);
        this->armTimer(kLingerTime);
        return;
    }
    if (this->isClosing && this->state == State::Idle) {
        this->closeIdle();
        return;
    }
    if (this->wasCongested) {
        this->wasCongested = false;
        this->events.onWritable(*this);
    }
}

void InboundConnection::onEvent(short what)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0)
        return;
    const bool wasOpen = this->state == State::ReadingBody || this->state == State::Answering;
    if (wasOpen)
        this->events.onCallerGone(*this);
    this->close();
}

void InboundConnection::onTimer()
{
    if (this->state == State::ReadingHead) {
        this->reject(408);
        return;
    }
    if (this->state == State::Idle)
        this->closeIdle();
    else if (this->state == State::Lingering && this->hasSentMore())
        this->armTimer(kStalledOutputTime);
    else if (this->state == State::Lingering && this->hasDroppedMore())
        this->armTimer(kLingerTime);
    else if (this->state == State::Lingering)
        this->close();
}

bool InboundConnection::hasSentMore()
{
    const std::size_t pending = this->pendingOutput();
    const bool isLess = pending > 0 && pending < this->lingeringOutput;
    this->lingeringOutput = pending;
    return isLess;
}

bool InboundConnection::hasDroppedMore()
{
    const std::size_t dropped = this->lingeringInput - this->checkedInput;
    this->checkedInput = this->lingeringInput;
    return dropped >= kMinLingeringInput && this->lingeringInput <= this->maxBody();
}

void InboundConnection::beginRequest()
{
    http_parser_init(&this->parser, HTTP_REQUEST);
    this->parser.data = this;
    this->request = RequestHead();
    this->requestBody = std::string();
    this->announcedLength.reset();
    this->bodyAllowance = kUnlimited;
    this->collector.clear();
    this->headBytes = 0;
    this->rejectStatus = 0;
    this->requestLimits = this->limits;
    this->isHeadWhole = false;
    this->isBodyDiscarded = false;
    this->isRequestComplete = false;
    this->keepsAlive = true;
    this->hasAnnouncedClose = false;
}

void InboundConnection::reject(int status)
{
    this->keepsAlive = false;
    this->state = State::Answering;
    event_del(this->timer);
    this->events.onRequestRejected(*this, status);
}

void InboundConnection::finishAnswer()
{
    if (this->hasAnnouncedClose) {
        this->linger();
        return;
    }
    if (this->isBodyPaused)
        bufferevent_enable(this->stream, EV_READ);
    this->isBodyPaused = false;
    this->beginRequest();
    this->state = State::Idle;
    // Closed from the loop, since the listener may not expect onClosed() in its call.
    const bool closesNow = this->isClosing && this->pendingOutput() == 0;
    this->armTimer(closesNow ? absl::ZeroDuration() : this->limits.idleTimeout);
    // The next request may already be buffered; parse it from the loop, not from this call.
    if (evbuffer_get_length(bufferevent_get_input(this->stream)) > 0)
        bufferevent_trigger(this->stream, EV_READ,
                            BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
}

void InboundConnection::linger()
{
    this->state = State::Lingering;
    this->isBodyPaused = false;
    this->requestBody = std::string();
    bufferevent_enable(this->stream, EV_READ);
    this->dropInput();
    this->lingeringOutput = this->pendingOutput();
    if (this->lingeringOutput == 0)
        ::shutdown(bufferevent_getfd(this->stream), SHUT_WR);
    this->armTimer(this->lingeringOutput == 0 ? kLingerTime : kStalledOutputTime);
}

void InboundConnection::dropInput()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    // What follows a request that was refused early is the rest of it.
    if (this->keepsAlive)
        this->droppedInput += evbuffer_get_length(input);
    this->lingeringInput += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
}

void InboundConnection::close()
{
    if (this->state == State::Closed)
        return;
    this->state = State::Closed;
    event_del(this->timer);
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    this->events.onClosed(*this);
}

void InboundConnection::armTimer(absl::Duration delay)
{
    const timeval interval = absl::ToTimeval(delay);
    event_add(this->timer, &interval);
}

bool InboundConnection::isLastAnswer() const
{
    // A pipelined request that has been read must be answered too.
    const bool hasInput = evbuffer_get_length(bufferevent_get_input(this->stream)) > 0;
    return !this->keepsAlive || (this->isClosing && !hasInput);
}

std::string InboundConnection::encodeHead(int status, const HttpHeaders &headers)
{
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ", asAbsl(reasonPhrase(status)), "\r\n");
    for (const HttpHeader &header : headers.all())
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    this->hasAnnouncedClose = this->isLastAnswer();
    if (this->hasAnnouncedClose)
        text += "Connection: close\r\n";
    return text;
}

void InboundConnection::write(std::string_view data)
{
    if (this->state == State::Closed)
        return;
    bufferevent_write(this->stream, data.data(), data.size());
    if (this->isCongested())
        this->wasCongested = true;
}

} // namespace foxtailtally
