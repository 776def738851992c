#pragma once

#include "main/gateway/caller_session.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"
#include "tests/route_case.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** What the servers of these tests say of themselves in a response. */
inline const std::string kSealed = "Attempt-Id: call\r\nResponse-Seal: s\r\n";
inline const std::string kEventStream = "Content-Type: text/event-stream\r\n";
/** What the other server sends when the call is sent to it. */
inline const std::string kRetryBody = "from the other server";
inline const std::string kRetryEvents = "id: 1\ndata: c\n\nid: 2\ndata: d\n\n";

/** What a caller makes of the bytes that it has received. */
struct ReceivedResponse
{
    int status = 0;
    std::string body;
    /** All of the body is there according to its framing. */
    bool isComplete = false;
    bool isSealed = false;
};

ReceivedResponse parseReceived(const std::string &bytes);

/** Complete response of the other server to a call on @p route. */
std::string retryResponse(const RouteCase &route);

/** How a server ends its connection. */
enum class Ending { Keep, Close, Reset };

/** One caller at a gateway, and two servers whose bytes the test writes. */
class RawServerCall : private SessionOwner
{
public:
    explicit RawServerCall(const std::array<RawServer, 2> &listeners);
    ~RawServerCall() override;
    RawServerCall(const RawServerCall &) = delete;
    RawServerCall &operator=(const RawServerCall &) = delete;

    /** Makes calls until both servers have an idle connection that has carried one. */
    void keepConnections();
    /** Makes a call on @p route and waits until a server has got its head. */
    void send(const RouteCase &route, std::string_view body = "b");
    /** Waits until a server has got the head of another request. */
    void waitForRequest();
    /** Sends @p bytes in response to the last request received, and ends its connection. */
    void respond(std::string_view bytes, Ending ending);
    /** Whether the gateway has closed the connection of the last request received. */
    bool isConnectionClosed() const;
    /** Takes the connection of the last request received; the caller of this function closes it.
     * Nothing more is read from it. */
    int takeConnection();
    /** Runs the gateway while the other server sends @p retry to each request, until the caller has
     * a whole response or has lost its connection. */
    void finish(const std::string &retry);
    /** Runs the gateway until @p condition holds; false when it does not hold within 20 s. */
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const absl::Time end = absl::Now() + absl::Seconds(20);
        while (!condition()) {
            if (absl::Now() > end)
                return false;
            this->runOnce();
        }
        return true;
    }
    /** Runs the gateway for @p time. */
    void runFor(absl::Duration time);

    /** Requests that servers got for the call. */
    int requests = 0;
    /** What the caller has received. */
    std::string received;

private:
    struct Connection
    {
        int socket = -1;
        std::string received;
    };

    void onSessionClosed(CallerSession &) override { this->isClosed = true; }
    void runOnce();
    Connection *receivedRequest();
    /** Sends @p response to at most @p most requests; returns to how many. */
    int answerRequests(int most, const std::string &response);

    const std::array<RawServer, 2> &listeners;
    TestLoop loop;
    GatewayContext context;
    std::vector<Connection> connections;
    /** Socket of the last request that waits for its response. */
    int waiting = -1;
    int caller = -1;
    bool isClosed = false;
    std::unique_ptr<CallerSession> session;
};

} // namespace foxtailtally
