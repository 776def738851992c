#include "main/gateway/caller_session.h"

#include "core/clock.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

/** A backend server whose responses the test writes. */
class ScriptedServer
{
public:
    ~ScriptedServer()
    {
        for (const Connection &connection : this->connections)
            ::close(connection.socket);
    }

    std::string address() const { return this->server.address(); }
    /** Accepts a connection; whether one was pending. */
    bool accept()
    {
        const int socket = this->server.accept();
        if (socket >= 0)
            this->connections.push_back({socket, {}});
        return socket >= 0;
    }
    /** Whether a request has arrived and waits for its response. */
    bool hasRequest()
    {
        while (this->accept()) { }
        for (Connection &connection : this->connections) {
            connection.received += readAvailable(connection.socket);
            if (connection.received.find("\r\n\r\n") != std::string::npos)
                return true;
        }
        return false;
    }
    /** Responds to the request that waits. */
    void answer(const std::string &response)
    {
        for (Connection &connection : this->connections) {
            if (connection.received.find("\r\n\r\n") == std::string::npos)
                continue;
            connection.received.clear();
            writeAll(connection.socket, response);
            return;
        }
    }

private:
    struct Connection
    {
        int socket = -1;
        std::string received;
    };

    RawServer server;
    std::vector<Connection> connections;
};

constexpr absl::Duration kObjective = absl::Seconds(2);
constexpr absl::Duration kStopLimit = absl::Seconds(8);

const char *const kServed = "HTTP/1.1 200 OK\r\nAttempt-Id: call\r\nResponse-Seal: s\r\n"
                            "Content-Length: 4\r\n\r\ndone";
const char *const kReserved = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"Free\":5}";

/** Calls of one caller at a gateway that knows two servers of each service. */
class CallRunTest : public testing::Test, private SessionOwner
{
public:
    ~CallRunTest() override
    {
        this->session.reset();
        ::close(this->caller);
    }

protected:
    CallRunTest()
        : context(this->loop.base(), settings())
    {
        this->context.config = configuration();
        this->context.freshness.confirm(Clock::now());
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            ServerEntry entry;
            entry.id = BackendServerId(absl::StrCat("server-", i));
            entry.service = i < 2 ? "engine" : "desk";
            entry.address = this->servers[i].address();
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
    void call(const std::string &path, int promptTokens)
    {
        writeAll(this->caller,
                 absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nAttempt-Id: call\r\n",
                              "Token-Usage: ", promptTokens, ",100\r\nContent-Length: 1\r\n\r\nb"));
    }
    /** Receives the stop signal, @p ago before now. */
    void beginStop(absl::Duration ago)
    {
        const absl::Time now = Clock::now();
        this->context.stop.begin(now - ago);
        this->session->onStopping(this->context.stop.answersBy(), now);
    }
    /** Runs the loop until a request waits at a server; returns the server's index. */
    std::size_t waitForRequest()
    {
        std::size_t index = 0;
        EXPECT_TRUE(this->loop.runUntil([&] {
            for (index = 0; index < this->servers.size(); ++index) {
                if (this->servers[index].hasRequest())
                    return true;
            }
            return false;
        }));
        return index;
    }
    /** Runs the loop until the caller has a response with @p text; false if it has none. */
    bool isAnswered(const std::string &text)
    {
        return this->loop.runUntil([&] {
            this->received += readAvailable(this->caller);
            return this->received.find(text) != std::string::npos;
        });
    }
    /** Whether a further request has arrived at a server. */
    bool isSent()
    {
        return std::any_of(this->servers.begin(), this->servers.end(),
                           [](ScriptedServer &server) { return server.hasRequest(); });
    }
    int callerSocket() const { return this->caller; }
    ServerKey key(std::size_t server) const
    {
        return this->context.directory.find(BackendServerId(absl::StrCat("server-", server)))->key;
    }

    TestLoop loop;
    std::array<ScriptedServer, 4> servers;
    GatewayContext context;
    std::string received;

private:
    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.id = InstanceId("gateway-0");
        settings.domain = FailureDomainId("east");
        settings.revocationBound = absl::Minutes(1);
        settings.stopLimit = kStopLimit;
        return settings;
    }
    static std::shared_ptr<const ServingConfig> configuration()
    {
        Service engine;
        engine.name = "engine";
        engine.isEngine = true;
        engine.engine.stepsPerPass = 34;
        engine.engine.prefillTokensPerMs = 154;
        engine.engine.memoryTokens = 405000;
        Service desk;
        desk.name = "desk";
        ServingConfig::Builder builder;
        builder.addService(engine).addService(desk);
        for (const CallKind kind :
             {CallKind::Streaming, CallKind::NonIdempotent, CallKind::Idempotent}) {
            Route route;
            route.host = "h";
            route.kind = kind;
            route.objective = kObjective * (kind == CallKind::Streaming ? 2 : 1);
            route.maxAttempts = 3;
            route.needsKey = false;
            route.pathPrefix = kind == CallKind::Streaming ? "/stream/"
                : kind == CallKind::Idempotent             ? "/look/"
                                                           : "/act/";
            route.targets = {{kind == CallKind::Streaming ? "engine" : "desk"}};
            builder.addRoute(route);
        }
        return builder.build();
    }
    void onSessionClosed(CallerSession &) override { }

    int caller = -1;
    std::unique_ptr<CallerSession> session;
};

// Guards against a call that waited for a server while its instance stopped, and was sent when it
// could no longer end or cut off without an answer.
TEST_F(CallRunTest, IsRefusedIfItWaitsTooLongInAStop)
{
    this->call("/act/a", 0);
    for (int i = 0; i < 2; ++i)
        this->servers[this->waitForRequest()].answer(
            "HTTP/1.1 503 S\r\nAttempt-Id: call\r\nNot-Executed: 1\r\nRetry-After: 0.3\r\n"
            "Content-Length: 0\r\n\r\n");
    this->loop.runEvents();
    this->beginStop(kStopLimit - kObjective);
    EXPECT_TRUE(this->isAnswered("\"not_run\":true"));
    EXPECT_NE(this->received.find("503 "), std::string::npos);
    EXPECT_NE(this->received.find("stopping"), std::string::npos);
    EXPECT_NE(this->received.find("Retry-After: 0.2"), std::string::npos);
    EXPECT_NE(this->received.find("Connection: close"), std::string::npos);
    EXPECT_FALSE(this->isSent());
}

// Guards against a call that was cut off without an answer when its instance stopped, or reported
// as not run although a server had it.
TEST_F(CallRunTest, IsAnsweredBeforeAStopEndsThoughItsServerIsAtWork)
{
    this->call("/act/a", 0);
    const std::size_t server = this->waitForRequest();
    this->beginStop(kStopLimit - absl::Seconds(1));
    EXPECT_TRUE(this->isAnswered("\"not_run\":false"));
    EXPECT_LT(Clock::now(), this->context.stop.endsAt());
    EXPECT_NE(this->received.find("504 "), std::string::npos);
    EXPECT_NE(this->received.find("Connection: close"), std::string::npos);
    this->servers[server].answer(kServed);
    this->loop.runEvents();
    EXPECT_FALSE(this->isSent());
}

// Guards against a call whose body arrived late in a stop and that was then sent to a server.
TEST_F(CallRunTest, IsRefusedIfItsBodyArrivesLateInAStop)
{
    writeAll(this->callerSocket(),
             "POST /act/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: call\r\nContent-Length: 2\r\n\r\nb");
    this->loop.runEvents();
    this->beginStop(StopPolicy::kBalancerLag);
    writeAll(this->callerSocket(), "b");
    EXPECT_TRUE(this->isAnswered("stopping"));
    EXPECT_NE(this->received.find("503 "), std::string::npos);
    EXPECT_FALSE(this->servers[2].hasRequest() || this->servers[3].hasRequest());
}

// Guards against a stopping instance that refuses what it could serve: callers still reach it until
// the load balancer has noticed.
TEST_F(CallRunTest, IsServedEarlyInAStop)
{
    this->beginStop(absl::Seconds(1));
    this->call("/act/a", 0);
    this->servers[this->waitForRequest()].answer(kServed);
    EXPECT_TRUE(this->isAnswered("200 OK"));
    EXPECT_NE(this->received.find("Connection: close"), std::string::npos);
}

// Regression: a call that all servers had rejected for some time waited for the end of that time
// and was then refused, since it had been sent to each of them before.
TEST_F(CallRunTest, IsSentAgainToAServerWhosePauseHasEnded)
{
    this->call("/act/a", 0);
    for (int i = 0; i < 2; ++i)
        this->servers[this->waitForRequest()].answer(
            "HTTP/1.1 503 S\r\nAttempt-Id: call\r\nNot-Executed: 1\r\nRetry-After: 0.3\r\n"
            "Content-Length: 0\r\n\r\n");
    this->servers[this->waitForRequest()].answer(kServed);
    EXPECT_TRUE(this->isAnswered("200 OK"));
}

// Regression: a prompt was handed to a helper that had announced draining while the connection to
// the engine was established.
TEST_F(CallRunTest, IsNotWrittenIfAHelperDrainsBefore)
{
    this->call("/stream/a", 350000);
    const std::size_t helper = this->waitForRequest();
    ASSERT_LT(helper, 2U);
    const std::size_t engine = 1 - helper;
    this->servers[helper].answer(kReserved);
    ASSERT_TRUE(this->loop.runStepwiseUntil([&] { return this->servers[engine].accept(); }));
    this->context.directory.backpressure().onDraining(this->key(helper), Clock::now());
    EXPECT_TRUE(this->isAnswered("503 "));
    EXPECT_FALSE(this->servers[engine].hasRequest());
}

// A call that no server can take is refused at once, with a cause that names the draining servers.
TEST_F(CallRunTest, IsRefusedAtOnceWhenAllServersDrain)
{
    for (const std::size_t server : {2U, 3U})
        this->context.directory.backpressure().onDraining(this->key(server), Clock::now());
    const absl::Time calledAt = Clock::now();
    this->call("/act/a", 0);
    EXPECT_TRUE(this->isAnswered("servers_draining"));
    EXPECT_LT(Clock::now() - calledAt, kObjective / 2);
    EXPECT_NE(this->received.find("Retry-After: "), std::string::npos);
    EXPECT_FALSE(this->servers[2].hasRequest() || this->servers[3].hasRequest());
}

// An operator must be able to tell which limits were behind a refusal, and when it would end.
TEST_F(CallRunTest, LogsTheLimitsBehindARefusal)
{
    for (const std::size_t server : {2U, 3U})
        this->context.limits.onNamed(this->key(server), 0.2, Clock::now());
    testing::internal::CaptureStdout();
    this->call("/act/a", 0);
    const bool isRefused = this->isAnswered("rate_limited");
    const std::string log = testing::internal::GetCapturedStdout();
    EXPECT_TRUE(isRefused);
    const std::size_t begin = log.find("\"event\":\"call_rate_limited\"");
    ASSERT_NE(begin, std::string::npos) << log;
    const std::string line = log.substr(begin, log.find('\n', begin) - begin);
    EXPECT_NE(line.find("\"per_second\":0.4"), std::string::npos) << line;
    EXPECT_NE(line.find("\"servers\":2"), std::string::npos) << line;
    EXPECT_NE(line.find("\"token_in_ms\":"), std::string::npos) << line;
}

// A sound server may be silent for a second: that is no evidence against it, and a call that must
// run once waits for its response.
TEST_F(CallRunTest, WaitsForAServerThatIsSilentForASecond)
{
    for (const char *path : {"/act/a", "/look/a"}) {
        this->received.clear();
        this->call(path, 0);
        const std::size_t silent = this->waitForRequest();
        const absl::Time end = Clock::now() + absl::Seconds(1);
        this->loop.runUntil([end] { return Clock::now() >= end; });
        EXPECT_FALSE(this->context.health.isSuspect(this->key(silent), Clock::now()));
        EXPECT_TRUE(
            this->context.reachability.isReachable(this->key(silent), FailureDomainId("east")));
        this->servers[silent].answer(kServed);
        EXPECT_TRUE(this->isAnswered("200 OK")) << path;
    }
}

} // namespace
} // namespace foxtailtally
