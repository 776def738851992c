#include "tests/gateway/raw_server_call.h"

#include "core/clock.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <http_parser.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

/** Bytes that a server reads in one step, so that most of a long body stays unread. */
constexpr std::size_t kReadBytes = 4096;

GatewaySettings gatewaySettings()
{
    GatewaySettings settings;
    settings.id = InstanceId("gateway-0");
    settings.domain = FailureDomainId("east");
    settings.revocationBound = absl::Minutes(1);
    return settings;
}

std::shared_ptr<const ServingConfig> configuration()
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
        added.pathPrefix = std::string(route.path).substr(0, std::string(route.path).size() - 1);
        added.targets = {{"desk"}};
        builder.addRoute(added);
    }
    return builder.build();
}

} // namespace

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

std::string retryResponse(const RouteCase &route)
{
    const std::string &body = route.isStream ? kRetryEvents : kRetryBody;
    return absl::StrCat("HTTP/1.1 200 OK\r\n", kSealed, route.isStream ? kEventStream : "",
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
}

RawServerCall::RawServerCall(const std::array<RawServer, 2> &listeners)
    : listeners(listeners)
    , context(this->loop.base(), gatewaySettings())
{
    // Copies of the last test's calls may wait to be accepted.
    for (const RawServer &listener : listeners) {
        for (int stale = listener.accept(); stale >= 0; stale = listener.accept())
            ::close(stale);
    }
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
    // As in the program, which the write to a connection that was reset must not end.
    std::signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> sockets {};
    ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data());
    this->caller = sockets[0];
    SessionOwner &owner = *this;
    this->session = std::make_unique<CallerSession>(this->context, sockets[1], owner);
}

RawServerCall::~RawServerCall()
{
    this->session.reset();
    ::close(this->caller);
    for (const Connection &connection : this->connections)
        ::close(connection.socket);
}

void RawServerCall::keepConnections()
{
    for (int i = 0; i < 2; ++i) {
        writeAll(this->caller, "GET /look/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: call\r\n\r\n");
        ASSERT_TRUE(this->runUntil([this] {
            this->answerRequests(1,
                                 "HTTP/1.1 200 OK\r\n" + kSealed + "Content-Length: 4\r\n\r\ndone");
            return this->received.find("done") != std::string::npos;
        }));
        this->received.clear();
    }
}

void RawServerCall::send(const RouteCase &route, std::string_view body)
{
    std::string unsent =
        absl::StrCat("POST ", route.path, " HTTP/1.1\r\nHost: h\r\nAttempt-Id: call\r\n",
                     "Content-Length: ", body.size(), "\r\n\r\n", std::string(body));
    ASSERT_TRUE(this->runUntil([&] {
        const ssize_t size = ::send(this->caller, unsent.data(), unsent.size(), MSG_NOSIGNAL);
        if (size > 0)
            unsent.erase(0, static_cast<std::size_t>(size));
        return unsent.empty();
    }));
    this->waitForRequest();
}

void RawServerCall::waitForRequest()
{
    Connection *connection = nullptr;
    ASSERT_TRUE(this->runUntil([&] {
        connection = this->receivedRequest();
        return connection != nullptr;
    }));
    ++this->requests;
    connection->received.clear();
    this->waiting = connection->socket;
}

void RawServerCall::respond(std::string_view bytes, Ending ending)
{
    writeAll(this->waiting, std::string(bytes));
    if (ending == Ending::Keep)
        return;
    // The gateway has read what was sent before a reset discards it.
    for (int i = 0; ending == Ending::Reset && i < 3; ++i)
        event_base_loop(this->loop.base(), EVLOOP_NONBLOCK);
    if (ending == Ending::Reset)
        resetConnection(this->takeConnection());
    else
        ::close(this->takeConnection());
}

bool RawServerCall::isConnectionClosed() const
{
    readAvailable(this->waiting);
    return isClosedByPeer(this->waiting);
}

int RawServerCall::takeConnection()
{
    std::erase_if(this->connections, [this](const Connection &connection) {
        return connection.socket == this->waiting;
    });
    return this->waiting;
}

void RawServerCall::finish(const std::string &retry)
{
    ASSERT_TRUE(this->runUntil([&] {
        this->requests += this->answerRequests(1, retry);
        return this->isClosed || parseReceived(this->received).isComplete
            || isClosedByPeer(this->caller);
    }));
}

void RawServerCall::runFor(absl::Duration time)
{
    const absl::Time end = absl::Now() + time;
    while (absl::Now() < end)
        this->runOnce();
}

void RawServerCall::runOnce()
{
    event_base_loop(this->loop.base(), EVLOOP_NONBLOCK);
    this->received += readAvailable(this->caller);
}

RawServerCall::Connection *RawServerCall::receivedRequest()
{
    for (const RawServer &listener : this->listeners) {
        if (const int socket = listener.accept(); socket >= 0)
            this->connections.push_back({socket, {}});
    }
    for (Connection &connection : this->connections) {
        connection.received += readAvailable(connection.socket, kReadBytes);
        if (connection.received.find("\r\n\r\n") != std::string::npos)
            return &connection;
    }
    return nullptr;
}

int RawServerCall::answerRequests(int most, const std::string &response)
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

} // namespace foxtailtally
