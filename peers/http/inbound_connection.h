#pragma once

#include "peers/http/header_collector.h"
#include "peers/http/http_head.h"

#include <absl/time/time.h>
#include <cstddef>
#include <http_parser.h>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct event;
struct event_base;

namespace foxtailtally {

class InboundConnection;

/** Events of an InboundConnection. The connection outlives each callback. */
class InboundEvents
{
public:
    virtual ~InboundEvents() = default;
    /** The head is complete; InboundConnection::discardBody() keeps the body out of memory. */
    virtual void onRequestHead(InboundConnection &connection) = 0;
    /** More of the body has arrived than InboundConnection::allowBody() named; what has arrived is
     * kept, also after InboundConnection::pauseBody(). */
    virtual void onBodyAllowanceReached(InboundConnection &) { }
    virtual void onRequestComplete(InboundConnection &connection) = 0;
    /** The caller closed or lost its connection during a request; no response can reach it. */
    virtual void onCallerGone(InboundConnection &connection) = 0;
    /** The output buffer has drained after isCongested() was true. */
    virtual void onWritable(InboundConnection &connection) = 0;
    /** The request violates the protocol or a limit; the listener must answer it with @p status. */
    virtual void onRequestRejected(InboundConnection &connection, int status) = 0;
    /** The connection is closed; its owner destroys it after this callback. */
    virtual void onClosed(InboundConnection &connection) = 0;
};

struct InboundLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);
};

/**
 * A caller's HTTP/1.1 connection on a libevent loop. It reads one request at a time; a pipelined
 * request waits in the input buffer and the socket until the response is complete. While a request
 * is in flight the connection still detects that the caller closes.
 */
class InboundConnection
{
public:
    InboundConnection(event_base *base, int socket, InboundEvents &events,
                      const InboundLimits &limits);
    ~InboundConnection();
    InboundConnection(const InboundConnection &) = delete;
    InboundConnection &operator=(const InboundConnection &) = delete;

    const RequestHead &head() const { return this->request; }
    /** The head of the current request has been read whole; it may still be rejected. */
    bool hasWholeHead() const { return this->isHeadWhole; }
    const std::string &body() const { return this->requestBody; }
    void discardBody();
    /** Moves the body out, so that the connection no longer holds it. */
    std::string takeBody();
    /** Length of the body as the head gives it; nullopt if it is known only at its end. */
    std::optional<std::size_t> announcedBody() const { return this->announcedLength; }
    /** Largest body of the current request. */
    std::size_t maxBody() const { return this->requestLimits.bodyBytes; }
    /** Notifies InboundEvents::onBodyAllowanceReached() once the body exceeds @p bytes. */
    void allowBody(std::size_t bytes) { this->bodyAllowance = bytes; }
    /** Stops reading the body, and with it the connection, until resumeBody() or the response. The
     * request is not complete before. */
    void pauseBody();
    void resumeBody();

    /** Sends a complete response. */
    void answer(int status, const HttpHeaders &headers, std::string_view body);
    /** Starts a chunked response, whose length is not known in advance. */
    void startStream(int status, const HttpHeaders &headers);
    void sendChunk(std::string_view data);
    void finishStream();
    /** Closes the connection once the output is sent, so that the caller sees a truncated response.
     */
    void abort();

    /** Applies @p limits. A request that has begun, and the time that the connection has been idle
     * already, keep earlier limits where those allow more. */
    void setLimits(const InboundLimits &limits);
    /** Closes the connection after the response to the current request. */
    void closeAfterAnswer() { this->isClosing = true; }
    /** Closes an idle connection now, any other after the responses to the requests that it has
     * received. */
    void closeWhenIdle();
    bool isCongested() const;
    /** True when no byte of a request has been read since the last response. */
    bool isIdle() const { return this->state == State::Idle; }
    /** Bytes behind the last request that were read and dropped since the connection closes. */
    std::size_t droppedBytes() const { return this->droppedInput; }
    /** Output bytes that have not been written to the socket yet. */
    std::size_t pendingOutput() const;

private:
    static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

    enum class State { Idle, ReadingHead, ReadingBody, Answering, Lingering, Closed };

    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &parserSettings();

    /** Runs @p work on the connection @p object; an exception closes the connection. */
    template <typename Work>
    static void runCallback(void *object, Work &&work);

    void onReadable();
    void onDrained();
    void onEvent(short what);
    void onTimer();
    void parseInput();
    void beginRequest();
    bool acceptHead();
    void reject(int status);
    void finishAnswer();
    /** Closes the idle connection, unless a request has arrived. */
    void closeIdle();
    void linger();
    void dropInput();
    /** Bytes have been dropped since the last call, and the request that was refused may go on. */
    bool hasDroppedMore();
    void reserveBody(std::size_t bytes);
    /** Whether the response that begins now is the last one on the connection. */
    bool isLastAnswer() const;
    /** Output has been written since the last call while the connection lingers, and some is left.
     */
    bool hasSentMore();
    void close();
    void armTimer(absl::Duration delay);
    /** Also decides whether the connection closes after this response. */
    std::string encodeHead(int status, const HttpHeaders &headers);
    void write(std::string_view data);

    InboundEvents &events;
    InboundLimits limits;
    /** The largest limits since the current request began, or since the connection became idle. */
    InboundLimits requestLimits;
    bufferevent *stream = nullptr;
    event *timer = nullptr;
    http_parser parser {};
    State state = State::Idle;
    RequestHead request;
    HeaderCollector collector {this->request.headers};
    std::string requestBody;
    std::optional<std::size_t> announcedLength;
    std::size_t bodyAllowance = kUnlimited;
    std::size_t headBytes = 0;
    int rejectStatus = 0;
    bool isHeadWhole = false;
    bool isBodyDiscarded = false;
    bool isBodyPaused = false;
    /** InboundEvents::onRequestComplete() was called for the current request. */
    bool isRequestComplete = false;
    bool keepsAlive = true;
    bool isClosing = false;
    /** The head of the current response says that the connection closes. */
    bool hasAnnouncedClose = false;
    bool wasCongested = false;
    /** Output that was pending when the connection began to linger, or at the last check. */
    std::size_t lingeringOutput = 0;
    std::size_t droppedInput = 0;
    /** Bytes dropped while the connection lingers, and as of the last check. */
    std::size_t lingeringInput = 0;
    std::size_t checkedInput = 0;
};

} // namespace foxtailtally
