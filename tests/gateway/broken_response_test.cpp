#include "core/clock.h"
#include "main/gateway/caller_session.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <http_parser.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

const std::string kSealed = "Attempt-Id: call\r\nResponse-Seal: s\r\n";
const std::string kEventStream = "Content-Type: text/event-stream\r\n";
const std::string kTwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kLongBody(120, 'x');
/** What the other server sends when the call is sent to it. */
const std::string kRetryBody = "from the other server";
const std::string kRetryEvents = "id: 1\ndata: c\n\nid: 2\ndata: d\n\n";

/** How the server ends the connection after the part of its response that it sends. */
enum class Break { Close, Reset };

/** A whole response of a server, which the tests break off after each of its bytes. */
struct WholeResponse
{
    std::string name;
    std::string bytes;
    int status = 0;
    std::string body;
    bool isStream = false;
    /** The end of the connection is the end of the body. */
    bool endsWithConnection = false;
};

/** Responses with @p body, in each framing. @p type: further headers. */
std::vector<WholeResponse> framings(const std::string &name, const std::string &type,
                                    const std::string &body, bool isStream)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string half = body.substr(0, body.size() / 2);
    const std::string rest = body.substr(half.size());
    const std::string chunks =
        absl::StrCat(absl::Hex(half.size()), ";kind=1\r\n", half, "\r\n", absl::Hex(rest.size()),
                     "\r\n", rest, "\r\n0\r\nX-Sum: 1\r\nX-Length: 22\r\n\r\n");
    const std::string length = absl::StrCat("Content-Length: ", body.size(), "\r\n");
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    std::string bareLineFeeds = ok + kSealed + type + length + "\r\n";
    std::erase(bareLineFeeds, '\r');
    const std::vector<std::pair<std::string, std::string>> framed = {
        {"with a length", ok + kSealed + type + length + "\r\n" + body},
        {"with a length in front", ok + length + kSealed + type + "\r\n" + body},
        {"in chunks", ok + kSealed + type + chunked + "\r\n" + chunks},
        {"with a length, HTTP/1.0",
         "HTTP/1.0 200 OK\r\n" + kSealed + type + length + "\r\n" + body},
        {"with a length and bare line feeds", bareLineFeeds + body},
        {"with a length after 100",
         "HTTP/1.1 100 Continue\r\n\r\n" + ok + kSealed + type + length + "\r\n" + body},
        {"in chunks after 103",
         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + kSealed + type + chunked + "\r\n"
             + chunks},
        {"with a length after a response to another call",
         "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: o\r\nContent-Length: 5\r\n\r\n"
         "other"
             + ok + kSealed + type + length + "\r\n" + body},
    };
    const std::vector<std::pair<std::string, std::string>> unframed = {
        {"without length", ok + kSealed + type + "\r\n" + body},
        {"without length, HTTP/1.0", "HTTP/1.0 200 OK\r\n" + kSealed + type + "\r\n" + body},
        {"without length after 100",
         "HTTP/1.1 100 Continue\r\n\r\n" + ok + kSealed + type + "\r\n" + body},
    };
    std::vector<WholeResponse> responses;
    for (const auto &[framing, bytes] : framed)
        responses.push_back({name + " " + framing, bytes, 200, body, isStream, false});
    for (const auto &[framing, bytes] : unframed)
        responses.push_back({name + " " + framing, bytes, 200, body, isStream, true});
    return responses;
}

std::vector<WholeResponse> wholeResponses()
{
    std::vector<WholeResponse> responses = framings("body", "", kLongBody, false);
    const std::vector<WholeResponse> streams = framings("stream", kEventStream, kTwoEvents, true);
    responses.insert(responses.end(), streams.begin(), streams.end());
    const std::string failed = "HTTP/1.1 404 Not Found\r\n" + kSealed;
    responses.push_back(
        {"no content", "HTTP/1.1 204 No Content\r\n" + kSealed + "\r\n", 204, "", false, false});
    responses.push_back({"not modified", "HTTP/1.1 304 Not Modified\r\n" + kSealed + "\r\n", 304,
                         "", false, false});
    responses.push_back(
        {"failure", failed + "Content-Length: 7\r\n\r\nmissing", 404, "missing", false, false});
    return responses;
}

/** What a caller makes of the bytes that it has received. */
struct ReceivedResponse
{
    int status = 0;
    std::string body;
    /** All of the body is there according to its framing. */
    bool isComplete = false;
    bool isSealed = false;
};

ReceivedResponse parseReceived(const std::string &bytes)
{
    ReceivedResponse response;
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_headers_complete = [](http_parser *parser) {
        static_cast<ReceivedResponse *>(parser->data)->status = parser->status_code;
        return 0;
    };
    settings.on_body = [](http_parser *parser, const char *data, std::size_t size) {
        static_cast<ReceivedResponse *>(parser->data)->body.append(data, size);
        return 0;
    };
    settings.on_message_complete = [](http_parser *parser) {
        static_cast<ReceivedResponse *>(parser->data)->isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    };
    http_parser parser;
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = &response;
    http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
    response.isSealed = bytes.find("Response-Seal: ") != std::string::npos;
    return response;
}

/** The kinds of route, by what may be repeated. */
struct RouteCase
{
    const char *path;
    bool isRepeatable;
    bool isStream;
};

constexpr std::array<RouteCase, 4> kRoutes = {
    RouteCase {"/act/a", false, false}, RouteCase {"/look/a", true, false},
    RouteCase {"/once/a", false, true}, RouteCase {"/stream/a", true, true}};

/** One caller at a gateway whose first server breaks off its response. */
class BrokenResponse : private SessionOwner
{
public:
    explicit BrokenResponse(const std::array<RawServer, 2> &listeners)
        : listeners(listeners)
        , context(this->loop.base(), settings())
    {
        this->context.config = configuration();
        this->context.freshness.confirm(Clock::now());
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            ServerEntry entry;
            entry.id = BackendServerId(absl::StrCat("server-", i));
            entry.service = "desk";
            entry.address = listeners.at(i).address();
            entry.domain = FailureDomainId("east");
            entry.slots = 16;
            this->context.directory.onEntry(entry, Clock::now());
        }
        std::array<int, 2> sockets {};
        ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data());
        this->caller = sockets[0];
        SessionOwner &owner = *this;
        this->session = std::make_unique<CallerSession>(this->context, sockets[1], owner);
    }
    ~BrokenResponse() override
    {
        this->session.reset();
        ::close(this->caller);
        for (const Connection &connection : this->connections)
            ::close(connection.socket);
    }

    /** Makes calls until both servers have an idle connection that has carried one. */
    void keepConnections()
    {
        for (int i = 0; i < 2; ++i) {
            writeAll(this->caller, "GET /look/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: call\r\n\r\n");
            ASSERT_TRUE(this->runUntil([this] {
                this->answerRequests(
                    1, "HTTP/1.1 200 OK\r\n" + kSealed + "Content-Length: 4\r\n\r\ndone");
                return this->received.find("done") != std::string::npos;
            }));
            this->received.clear();
        }
    }
    /** Makes a call on @p route; the first server sends the first @p size bytes of its response. */
    void call(const RouteCase &route, const WholeResponse &response, std::size_t size, Break ending)
    {
        writeAll(this->caller,
                 absl::StrCat("POST ", route.path, " HTTP/1.1\r\nHost: h\r\nAttempt-Id: call\r\n",
                              "Content-Length: 1\r\n\r\nb"));
        ASSERT_TRUE(this->runUntil([this] { return this->receivedRequest() != nullptr; }));
        this->requests = 1;
        Connection &connection = *this->receivedRequest();
        writeAll(connection.socket, response.bytes.substr(0, size));
        // The gateway has read what was sent before a reset discards it.
        if (ending == Break::Reset) {
            for (int i = 0; i < 3; ++i)
                event_base_loop(this->loop.base(), EVLOOP_NONBLOCK);
            resetConnection(connection.socket);
        } else {
            ::close(connection.socket);
        }
        std::erase_if(this->connections, [&connection](const Connection &other) {
            return other.socket == connection.socket;
        });
        const std::string body = route.isStream ? kRetryEvents : kRetryBody;
        const std::string retry =
            absl::StrCat("HTTP/1.1 200 OK\r\n", kSealed, route.isStream ? kEventStream : "",
                         "Content-Length: ", body.size(), "\r\n\r\n", body);
        ASSERT_TRUE(this->runUntil([&] {
            this->requests += this->answerRequests(1, retry);
            return this->isClosed || parseReceived(this->received).isComplete
                || isClosedByPeer(this->caller);
        }));
    }

    /** Requests that servers got for the call. */
    int requests = 0;
    std::string received;

private:
    struct Connection
    {
        int socket = -1;
        std::string received;
    };

    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.id = InstanceId("gateway-0");
        settings.domain = FailureDomainId("east");
        settings.revocationBound = absl::Minutes(1);
        return settings;
    }
    static std::shared_ptr<const ServingConfig> configuration()
    {
        Service desk;
        desk.name = "desk";
        ServingConfig::Builder builder;
        builder.addService(desk);
        for (const RouteCase &route : kRoutes) {
            Route added;
            added.host = "h";
            added.kind = route.isStream ? CallKind::Streaming
                : route.isRepeatable    ? CallKind::Idempotent
                                        : CallKind::NonIdempotent;
            added.canResume = route.isRepeatable;
            added.objective = absl::Seconds(2);
            added.maxAttempts = 3;
            added.needsKey = false;
            added.pathPrefix =
                std::string(route.path).substr(0, std::string(route.path).size() - 1);
            added.targets = {{"desk"}};
            builder.addRoute(added);
        }
        return builder.build();
    }
    void onSessionClosed(CallerSession &) override { this->isClosed = true; }
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const absl::Time end = absl::Now() + absl::Seconds(20);
        while (!condition()) {
            if (absl::Now() > end)
                return false;
            event_base_loop(this->loop.base(), EVLOOP_NONBLOCK);
            this->received += readAvailable(this->caller);
        }
        return true;
    }
    Connection *receivedRequest()
    {
        for (const RawServer &listener : this->listeners) {
            if (const int socket = listener.accept(); socket >= 0)
                this->connections.push_back({socket, {}});
        }
        for (Connection &connection : this->connections) {
            connection.received += readAvailable(connection.socket);
            if (connection.received.find("\r\n\r\n") != std::string::npos)
                return &connection;
        }
        return nullptr;
    }
    /** Sends @p response to at most @p most requests; returns to how many. */
    int answerRequests(int most, const std::string &response)
    {
        int count = 0;
        while (count < most) {
            Connection *connection = this->receivedRequest();
            if (!connection)
                break;
            connection->received.clear();
            writeAll(connection->socket, response);
            ++count;
        }
        return count;
    }

    const std::array<RawServer, 2> &listeners;
    TestLoop loop;
    GatewayContext context;
    std::vector<Connection> connections;
    int caller = -1;
    bool isClosed = false;
    std::unique_ptr<CallerSession> session;
};

/** Whether @p size bytes of @p response are all that a caller needs. */
bool isWhole(const WholeResponse &response, std::size_t size, Break ending)
{
    if (response.endsWithConnection)
        return ending == Break::Close && size == response.bytes.size();
    return size == response.bytes.size();
}

/** Whether a body that ends with its connection looks whole though @p size bytes are not. */
bool looksWhole(const WholeResponse &response, std::size_t size, Break ending)
{
    if (!response.endsWithConnection || ending != Break::Close)
        return false;
    const std::size_t headSize = response.bytes.size() - response.body.size();
    if (!response.isStream)
        return size >= headSize;
    return size == headSize + response.body.size() / 2;
}

void checkCaller(const RouteCase &route, const WholeResponse &response, std::size_t size,
                 Break ending, const BrokenResponse &call)
{
    const ReceivedResponse received = parseReceived(call.received);
    if (!route.isRepeatable) {
        EXPECT_EQ(call.requests, 1);
    }
    if (isWhole(response, size, ending)) {
        EXPECT_EQ(received.status, response.status);
        EXPECT_EQ(received.body, response.body);
        EXPECT_TRUE(received.isComplete);
        return;
    }
    if (looksWhole(response, size, ending)) {
        // A slow call that may be repeated is also sent to the other server.
        const bool isHedged = route.isRepeatable && call.requests > 1
            && (received.body == kRetryBody || received.body == kRetryEvents);
        EXPECT_EQ(received.status, response.status);
        EXPECT_TRUE(isHedged || response.body.starts_with(received.body)) << received.body;
        return;
    }
    const bool isSuccess = received.status >= 200 && received.status < 300;
    if (isSuccess && received.isComplete) {
        EXPECT_TRUE(route.isRepeatable);
        EXPECT_GT(call.requests, 1);
        const bool isRetried = received.body == kRetryBody || received.body == kRetryEvents;
        // A resumed stream goes on behind the events that the caller has.
        const bool isResumed = response.isStream
            && received.body == kTwoEvents.substr(0, 15) + kRetryEvents.substr(15);
        EXPECT_TRUE(isRetried || isResumed || (response.isStream && received.body == kTwoEvents))
            << received.body;
        return;
    }
    if (isSuccess) {
        EXPECT_TRUE(response.isStream);
        EXPECT_TRUE(kTwoEvents.starts_with(received.body)) << received.body;
        return;
    }
    EXPECT_EQ(received.status, 502);
    EXPECT_TRUE(received.isComplete);
    EXPECT_FALSE(received.isSealed);
}

class BrokenResponses : public testing::TestWithParam<std::size_t>
{
protected:
    std::array<RawServer, 2> listeners;
};

// Guards against a response that its server broke off, in the head or later, and that a caller got
// as a success with a short or an empty body, or as a call that has not run.
TEST_P(BrokenResponses, NeverLookComplete)
{
    const WholeResponse response = wholeResponses().at(this->GetParam());
    for (const RouteCase &route : kRoutes) {
        if (route.isStream != response.isStream)
            continue;
        for (const Break ending : {Break::Close, Break::Reset}) {
            for (const bool isKept : {false, true}) {
                for (std::size_t size = 0; size <= response.bytes.size(); ++size) {
                    SCOPED_TRACE(absl::StrCat(response.name, " on ", route.path, ", ", size, " of ",
                                              response.bytes.size(), " bytes and a ",
                                              ending == Break::Close ? "close" : "reset",
                                              isKept ? ", on a kept connection" : ""));
                    BrokenResponse call(this->listeners);
                    if (isKept)
                        call.keepConnections();
                    call.call(route, response, size, ending);
                    checkCaller(route, response, size, ending, call);
                    if (HasFailure())
                        return;
                }
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(AllBytes, BrokenResponses,
                         testing::Range<std::size_t>(0, wholeResponses().size()));

} // namespace
} // namespace foxtailtally
