#pragma once

#include "peers/http/header_collector.h"
#include "peers/http/http_head.h"
#include "peers/http/loop_timer.h"
#include "peers/http/response_head_checker.h"
#include "servers/memory/memory_budget.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

struct bufferevent;
struct event_base;

namespace foxtailtally {

class OutboundConnection;

/** How the peer of a connection, or the network, ended it. */
enum class ConnectionEnd : std::uint8_t {
    /** The connection is open, or was closed from this side. */
    None,
    /** Nothing listens at the address of the peer. */
    Refused,
    /** The peer closed or reset it, perhaps before it was known to be established. */
    ClosedByPeer,
    /** The peer did not answer, or there was no way to it. */
    TimedOut,
};

/** A complete request. */
struct OutboundRequest
{
    /** Also the body if there is no other. */
    std::string head;
    /** Follows the head; shared with other calls and kept until it is written. */
    std::shared_ptr<const std::string> body = nullptr;
};

/** Events of the call that an OutboundConnection carries. */
class OutboundEvents
{
public:
    virtual ~OutboundEvents() = default;
    /**
     * A connection that was not established at the time of the call is now, and the request is
     * about to be written. If this returns false, nothing is written and the call fails with
     * PermissionExpired.
     */
    virtual bool mayWrite(OutboundConnection &) { return true; }
    virtual void onResponseHead(OutboundConnection &connection, const ResponseHead &head) = 0;
    virtual void onResponseBody(OutboundConnection &connection, std::string_view data) = 0;
    virtual void onResponseComplete(OutboundConnection &connection) = 0;
    /**
     * The call failed and the connection is closed. ConnectionFailed and PermissionExpired: no byte
     * of the call can have reached the server; ConnectionLost, ProtocolViolation or
     * MemoryShareUsedUp: the call may have reached it.
     */
    virtual void onCallFailed(OutboundConnection &connection, std::error_code error) = 0;
};

/** Notified when a connection without a call closes, so that its owner can drop it. */
class IdleEvents
{
public:
    virtual ~IdleEvents() = default;
    virtual void onIdleClosed(OutboundConnection &connection) = 0;
};

/**
 * A connection to a backend server or to the store, on a libevent loop, with one call at a time.
 * libcurl resends a call by itself when a reused connection turns out to be closed, and accepts any
 * next response as the expected one. Neither is allowed for calls that must run at most once, so
 * this class never resends, and skips responses that do not match the Correlation.
 */
class OutboundConnection
{
public:
    /** @p address is "ip:port"; connecting starts at once. */
    OutboundConnection(event_base *base, std::string_view address, IdleEvents &idleEvents);
    /** As above; heads of responses are charged to @p memory. A call that would need too much of it
     * fails with MemoryShareUsedUp. */
    OutboundConnection(event_base *base, std::string_view address, IdleEvents &idleEvents,
                       MemoryBudget &memory);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    /** Header that identifies the response to a call; responses to other calls are skipped. An
     * empty value stands for a call whose response does not carry the header. */
    struct Correlation
    {
        std::string header;
        std::string value;
    };

    /** Sends @p request as soon as the connection is established. @p events is notified until the
     * call ends. */
    void call(OutboundRequest request, bool isHeadRequest, const Correlation &correlation,
              OutboundEvents &events);
    void call(std::string request, bool isHeadRequest, const Correlation &correlation,
              OutboundEvents &events)
    {
        this->call(OutboundRequest {std::move(request)}, isHeadRequest, correlation, events);
    }
    /** Drops the call and closes the connection. No callback follows. */
    void cancel();
    void pauseReading(bool isPaused);
    /** The kernel closes the connection when data has not been acknowledged for @p timeout, and
     * sends nothing of it later. */
    void limitTransit(absl::Duration timeout);

    bool isUsable() const { return this->state == State::Connecting || this->state == State::Open; }
    bool isConnected() const { return this->state == State::Open; }
    ConnectionEnd endCause() const { return this->end; }
    bool hasCall() const { return this->events != nullptr; }
    /** True after a complete response when another call may use the connection. */
    bool isReusable() const;
    /** The server has sent bytes or closed the connection, and the loop has not noticed yet. */
    bool hasUnreadInput() const;
    bool hasCompletedCalls() const { return this->completedCalls > 0; }
    /** A byte has arrived since the current call began, whatever it belongs to. */
    bool hasReceivedBytes() const { return this->responseStarted || this->receivedBytes > 0; }
    /** Time for which the connection was idle before the current call. */
    absl::Duration idleBefore() const { return this->idleTime; }
    void setIdleBefore(absl::Duration time) { this->idleTime = time; }
    /** A call was sent whose response carries no id, so that a copy of it cannot be recognised. */
    bool hasUnidentifiedCalls() const { return this->hadUnidentifiedCall; }
    /** Idle timeout that the server announced in Keep-Alive; zero when it announced none. */
    absl::Duration announcedIdleTimeout() const { return this->idleTimeout; }

private:
    enum class State { Connecting, Open, Closed };

    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &parserSettings();

    /** Runs @p work on the connection @p object; an exception fails its call. */
    template <typename Work>
    static void runCallback(void *object, Work &&work);

    void write(OutboundRequest written);
    void onConnected();
    void onReadable();
    void onEvent(short what);
    void onDisconnected(bool wasReset);
    /** Ends a call whose response body ends with the connection, once that is decided. */
    void settleBodyEnd();
    /** Parses @p data, the next bytes of the responses; returns how many were taken. */
    std::size_t parse(std::string_view data);
    void beginResponse();
    /** Drops the head and what was kept for it. */
    void dropHead();
    /** Counts @p bytes more of the head; false if that exceeds its limits. */
    bool addHeadBytes(std::size_t bytes);
    bool matchesCorrelation() const;
    /** True when more bytes arrived for the call than a response with such a body can need. */
    bool exceedsOverheadLimit() const;
    void recordKeepAliveTimeout();
    void fail(std::error_code error);
    void closeSocket();

    IdleEvents &idleEvents;
    OutboundEvents *events = nullptr;
    bufferevent *stream = nullptr;
    /** Runs while the end of a body is undecided. */
    std::optional<LoopTimer> bodyEndTimer;
    http_parser parser {};
    ResponseHeadChecker headChecker;
    State state = State::Connecting;
    ConnectionEnd end = ConnectionEnd::None;
    ResponseHead response;
    HeaderCollector collector {this->response.headers};
    Correlation correlation;
    /** Request that waits for the connection to be established. */
    OutboundRequest request;
    /** Bytes received for the current call: in total, and those of the body passed to events. */
    std::uint64_t receivedBytes = 0;
    std::uint64_t bodyBytes = 0;
    /** Memory of the head; absent if it is not charged. */
    std::optional<MemoryHold> headMemory;
    std::size_t headBytes = 0;
    /** Why the head was refused; no error while it was not. */
    std::error_code headError;
    bool isHeadRequest = false;
    bool isSkipped = false;
    bool responseStarted = false;
    bool keepsAlive = false;
    int completedCalls = 0;
    bool hadUnidentifiedCall = false;
    absl::Duration idleTimeout = absl::ZeroDuration();
    absl::Duration idleTime = absl::ZeroDuration();
    /** Set by cancel(); stops the parser when one of its callbacks cancelled the call. */
    bool wasCancelled = false;
};

} // namespace foxtailtally
