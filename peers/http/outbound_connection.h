#pragma once

#include "peers/http/header_collector.h"
#include "peers/http/http_head.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>
#include <system_error>

struct bufferevent;
struct event_base;

namespace foxtailtally {

class OutboundConnection;

/** What an OutboundConnection reports on the call that it carries. */
class OutboundEvents
{
public:
    virtual ~OutboundEvents() = default;
    virtual void onResponseHead(OutboundConnection &connection, const ResponseHead &head) = 0;
    virtual void onResponseBody(OutboundConnection &connection, std::string_view data) = 0;
    virtual void onResponseComplete(OutboundConnection &connection) = 0;
    /**
     * The call failed: ConnectionFailed when no byte of it can have reached the server,
     * ConnectionLost or ProtocolViolation when it may have. The connection is closed.
     */
    virtual void onCallFailed(OutboundConnection &connection, std::error_code error) = 0;
};

/** Told when a connection without a call closes, so that its owner can forget it. */
class IdleEvents
{
public:
    virtual ~IdleEvents() = default;
    virtual void onIdleClosed(OutboundConnection &connection) = 0;
};

/**
 * A connection to a backend server or to the store, on a libevent loop, with one call at a time.
 * libcurl sends a call again by itself when a kept connection turns out to be closed, and takes the
 * next response for the awaited one; neither is allowed for calls that may run once only, so this
 * class keeps both decisions with its user.
 */
class OutboundConnection
{
public:
    /** @p address is "ip:port"; connecting starts at once. */
    OutboundConnection(event_base *base, std::string_view address, IdleEvents &idleEvents);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    /** What identifies the response to a call; responses to other calls are skipped. An empty value
     * stands for a call whose response does not bear the header. */
    struct Correlation
    {
        std::string header;
        std::string value;
    };

    /** Sends @p bytes, a whole request. The events are told until the call is over. */
    void call(std::string bytes, bool isHeadRequest, const Correlation &correlation,
              OutboundEvents &events);
    /** Drops the call and closes the connection. No event follows. */
    void cancel();
    void pauseReading(bool isPaused);

    bool isUsable() const { return this->state == State::Connecting || this->state == State::Open; }
    bool isConnected() const { return this->state == State::Open; }
    bool hasCall() const { return this->events != nullptr; }
    /** After a complete response: the next call may use the connection. */
    bool isReusable() const;
    bool hasCompletedCalls() const { return this->completedCalls > 0; }
    /** Idle time after which the server closes, as it announced; zero when it did not. */
    absl::Duration announcedIdleTimeout() const { return this->idleTimeout; }

private:
    enum class State { Connecting, Open, Closed };

    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &parserSettings();

    /** Runs @p work on the connection @p object; an exception ends its call. */
    template <typename Work>
    static void runCallback(void *object, Work &&work);

    void onReadable();
    void onEvent(short what);
    void onDisconnected(bool wasReset);
    void beginResponse();
    bool matchesCorrelation() const;
    /** More came for the call than an answer of its length takes. */
    bool exceedsOverheadLimit() const;
    void recordKeepAliveTimeout();
    void fail(std::error_code error);
    void closeSocket();

    IdleEvents &idleEvents;
    OutboundEvents *events = nullptr;
    bufferevent *stream = nullptr;
    http_parser parser {};
    State state = State::Connecting;
    ResponseHead response;
    HeaderCollector collector {this->response.headers};
    Correlation correlation;
    /** Of the call in work: all bytes, and those of the body that were passed on. */
    std::uint64_t receivedBytes = 0;
    std::uint64_t bodyBytes = 0;
    bool isHeadRequest = false;
    bool isSkipped = false;
    bool hasStartedResponse = false;
    bool keepsAlive = false;
    int completedCalls = 0;
    absl::Duration idleTimeout = absl::ZeroDuration();
    /** Set while the parser runs, so that a callback may cancel the call. */
    bool wasCancelled = false;
};

} // namespace foxtailtally
