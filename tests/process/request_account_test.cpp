#include "core/socket_address.h"
#include "tests/process/account_metrics.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <csignal>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

using Json = nlohmann::json;

constexpr int kEngines = 3;
constexpr int kServers = 5;
/** Time for a request to end, and for the metrics to show it. */
constexpr absl::Duration kEndLimit = absl::Seconds(5);
/** [stop] limit of the gateways of a GatewayDeployment. */
constexpr absl::Duration kStopLimit = absl::Seconds(4);

/** A caller's connection to which a test writes raw bytes. */
class RawCaller
{
public:
    explicit RawCaller(const std::string &address)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in peer {};
        EXPECT_TRUE(parseAddress(address, peer));
        EXPECT_EQ(::connect(this->socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer), 0);
    }
    ~RawCaller() { ::close(this->socket); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &bytes) const
    {
        EXPECT_EQ(::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }
    /** Waits until a part of a response has arrived. */
    bool waitForBytes() const
    {
        pollfd readable {this->socket, POLLIN, 0};
        return ::poll(&readable, 1, static_cast<int>(absl::ToInt64Milliseconds(kEndLimit))) == 1;
    }

private:
    int socket;
};

/** One gateway with engines and other servers, all of which behave as a test says. */
class RequestAccountTest : public testing::Test
{
protected:
    RequestAccountTest()
        : deployment(1)
    {
        this->deployment.configure(1, {"key-1"});
        for (int server = 0; server < kServers; ++server)
            this->deployment.platform().addServer(
                server, server < kEngines ? "engine" : "desk", absl::StrCat("d", server % 3),
                this->deployment.platform().serverAddress(server));
        this->deployment.start(0);
    }
    void SetUp() override { ASSERT_TRUE(this->deployment.waitUntilReady(0)); }

    void setBehavior(ServerBehavior behavior)
    {
        for (int server = 0; server < kServers; ++server)
            this->deployment.platform().setServerBehavior(server, behavior);
    }
    CallerRequest request(const std::string &path) const
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = path;
        request.body = "b";
        request.headers = {"Attempt-Id: call", "Key: key-1", "Deadline-Ms: 2000",
                           "Token-Usage: 1000,100"};
        return request;
    }
    static std::string head(const std::string &path, const std::string &headers)
    {
        return absl::StrCat(
            "POST ", path, " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: call\r\n",
            "Key: key-1\r\nDeadline-Ms: 2000\r\nToken-Usage: 1000,100\r\n", headers, "\r\n");
    }
    AccountMetrics account() const { return AccountMetrics(this->deployment.metrics(0)); }
    /** Whether the only request ends as given, and as nothing else. */
    bool isOnlyEnd(const std::string &end, const std::string &cause) const
    {
        AccountMetrics account = this->account();
        for (const absl::Time limit = absl::Now() + kEndLimit;
             account.ended() == 0 && absl::Now() < limit; account = this->account())
            absl::SleepFor(absl::Milliseconds(20));
        // Any further end, and any mismatch at a tick, would be counted by then.
        absl::SleepFor(absl::Milliseconds(600));
        account = this->account();
        EXPECT_EQ(account.begun(), 1);
        EXPECT_EQ(account.inProgress(), 0);
        EXPECT_EQ(account.ended(), 1);
        EXPECT_EQ(account.mismatches(), 0);
        return account.ended(end, cause) == 1;
    }
    std::vector<Json> logLines(const std::string &event) const
    {
        std::vector<Json> lines;
        std::ifstream log(this->deployment.logFile(0));
        for (std::string text; std::getline(log, text);) {
            Json line = Json::parse(text, nullptr, false);
            if (line.is_object() && line.value("event", "") == event)
                lines.push_back(std::move(line));
        }
        return lines;
    }
    /** The only line of a lost request; an empty object if there is another number of them. */
    Json lostLine() const
    {
        std::vector<Json> lines = this->logLines("request_lost");
        EXPECT_EQ(lines.size(), 1U);
        return lines.size() == 1 ? lines.front() : Json::object();
    }

    GatewayDeployment deployment;
};

// Each test guards against a request that the account misses, counts twice or under another end.

TEST_F(RequestAccountTest, CountsAnAnswer)
{
    EXPECT_EQ(callGateway(this->request("/look/a")).status, 200);
    EXPECT_TRUE(this->isOnlyEnd("answered", "served"));
    EXPECT_TRUE(this->logLines("request_lost").empty());
}

TEST_F(RequestAccountTest, CountsACompleteStream)
{
    EXPECT_TRUE(callGateway(this->request("/stream/a")).isComplete);
    EXPECT_TRUE(this->isOnlyEnd("answered", "served"));
}

TEST_F(RequestAccountTest, CountsAnAnswerOfUnknownOutcome)
{
    this->setBehavior(ServerBehavior::Disconnect);
    EXPECT_EQ(callGateway(this->request("/act/a")).status, 502);
    EXPECT_TRUE(this->isOnlyEnd("answered", "server_lost"));
}

TEST_F(RequestAccountTest, CountsARefusalOfTheSession)
{
    CallerRequest request = this->request("/look/a");
    request.headers = {"Attempt-Id: call", "Key: other"};
    EXPECT_EQ(callGateway(request).status, 401);
    EXPECT_TRUE(this->isOnlyEnd("refused", "unknown_key"));
}

TEST_F(RequestAccountTest, CountsARefusalOfTheRun)
{
    this->setBehavior(ServerBehavior::Shed);
    EXPECT_EQ(callGateway(this->request("/act/a")).status, 503);
    EXPECT_TRUE(this->isOnlyEnd("refused", "rejected"));
}

TEST_F(RequestAccountTest, CountsACallerThatLeaves)
{
    this->setBehavior(ServerBehavior::NoResponse);
    CallerRequest request = this->request("/act/a");
    request.limit = absl::Milliseconds(300);
    EXPECT_EQ(callGateway(request).status, 0);
    EXPECT_TRUE(this->isOnlyEnd("given_up", "caller_gone"));
}

TEST_F(RequestAccountTest, CountsACallerThatLeavesInItsBody)
{
    {
        const RawCaller caller(this->deployment.callerAddress(0));
        caller.send(this->head("/act/a", "Content-Length: 10\r\n") + "part");
        absl::SleepFor(absl::Milliseconds(100));
        EXPECT_EQ(this->account().inProgress(), 1);
    }
    EXPECT_TRUE(this->isOnlyEnd("given_up", "caller_gone"));
}

// The session refuses this request only behind its body, which never ends.
TEST_F(RequestAccountTest, CountsACallerThatLeavesInTheBodyOfARefusedRequest)
{
    {
        const RawCaller caller(this->deployment.callerAddress(0));
        caller.send(this->head("/nowhere", "Content-Length: 10\r\n") + "part");
        absl::SleepFor(absl::Milliseconds(100));
        EXPECT_EQ(this->account().inProgress(), 1);
    }
    EXPECT_TRUE(this->isOnlyEnd("given_up", "caller_gone"));
}

TEST_F(RequestAccountTest, CountsAMalformedBody)
{
    const RawCaller caller(this->deployment.callerAddress(0));
    caller.send(this->head("/act/a", "Transfer-Encoding: chunked\r\n") + "no length\r\n");
    EXPECT_TRUE(caller.waitForBytes());
    EXPECT_TRUE(this->isOnlyEnd("refused", "request_malformed"));
}

TEST_F(RequestAccountTest, CountsAWholeHeadThatIsRejected)
{
    const RawCaller caller(this->deployment.callerAddress(0));
    caller.send(this->head("/act/a", "Host: other\r\n"));
    EXPECT_TRUE(caller.waitForBytes());
    EXPECT_TRUE(this->isOnlyEnd("refused", "request_malformed"));
}

TEST_F(RequestAccountTest, LeavesOutAHeadThatIsNotWhole)
{
    const RawCaller caller(this->deployment.callerAddress(0));
    caller.send("POST /act/a HTTP/1.1\r\nno colon\r\n");
    EXPECT_TRUE(caller.waitForBytes());
    EXPECT_EQ(this->account().begun(), 0);
}

TEST_F(RequestAccountTest, ReportsAStreamThatBreaksOff)
{
    this->setBehavior(ServerBehavior::DisconnectMidStream);
    EXPECT_FALSE(callGateway(this->request("/stream/a")).isComplete);
    EXPECT_TRUE(this->isOnlyEnd("lost", "broken_off"));
    const Json line = this->lostLine();
    EXPECT_EQ(line.value("request", ""), "call");
    EXPECT_EQ(line.value("cause", ""), "broken_off");
    EXPECT_EQ(line.value("progress", ""), "streaming");
    EXPECT_EQ(line.value("config", -1), 1);
    EXPECT_EQ(line.value("config_in_force", -1), 1);
    EXPECT_FALSE(line.value("config_changed", true));
    EXPECT_FALSE(line.value("stopping", true));
    EXPECT_GT(line.value("left_ms", -1), 0);
    EXPECT_GE(line.value("age_ms", -1), 0);
    const Json attempts = line.value("attempts", Json::array());
    ASSERT_FALSE(attempts.empty());
    for (const Json &attempt : attempts) {
        EXPECT_TRUE(attempt.value("server", "").starts_with("server-"));
        EXPECT_EQ(attempt.value("end", ""), "lost");
        EXPECT_TRUE(attempt.value("written", false));
        EXPECT_GE(attempt.value("last_byte_ms_ago", -1), 0);
    }
}

TEST_F(RequestAccountTest, ReportsADeadlineInAStream)
{
    CallerRequest request = this->request("/stream/a");
    request.headers = {"Attempt-Id: call", "Key: key-1", "Deadline-Ms: 200",
                       "Token-Usage: 1000,100"};
    EXPECT_FALSE(callGateway(request).isComplete);
    EXPECT_TRUE(this->isOnlyEnd("lost", "timed_out_streaming"));
    const Json line = this->lostLine();
    EXPECT_LE(line.value("left_ms", 1), 0);
    const Json attempts = line.value("attempts", Json::array());
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].value("end", ""), "cancelled");
}

TEST_F(RequestAccountTest, ReportsALossBesideAChangeOfTheConfiguration)
{
    this->deployment.configure(2, {"key-1"});
    const absl::Time limit = absl::Now() + kEndLimit;
    while (this->logLines("config_adopted").size() < 2 && absl::Now() < limit)
        absl::SleepFor(absl::Milliseconds(20));
    this->setBehavior(ServerBehavior::DisconnectMidStream);
    EXPECT_FALSE(callGateway(this->request("/stream/a")).isComplete);
    EXPECT_TRUE(this->isOnlyEnd("lost", "broken_off"));
    const Json line = this->lostLine();
    EXPECT_TRUE(line.value("config_changed", false));
    EXPECT_EQ(line.value("config_in_force", -1), 2);
}

// The body of a refused request may last until the process ends.
TEST_F(RequestAccountTest, ReportsARequestThatIsOpenAtTheEndOfAStop)
{
    const RawCaller caller(this->deployment.callerAddress(0));
    caller.send(this->head("/nowhere", "Content-Length: 10\r\n") + "part");
    absl::SleepFor(absl::Milliseconds(200));
    this->deployment.process(0).signal(SIGTERM);
    ASSERT_TRUE(this->deployment.process(0).waitForEnd(kStopLimit));
    const Json line = this->lostLine();
    EXPECT_EQ(line.value("request", ""), "call");
    EXPECT_EQ(line.value("cause", ""), "stopped");
    EXPECT_EQ(line.value("progress", ""), "refusing");
    EXPECT_TRUE(line.value("stopping", false));
    const std::vector<Json> stopped = this->logLines("stopped");
    ASSERT_EQ(stopped.size(), 1U);
    EXPECT_EQ(stopped[0].value("requests", -1), 1);
    EXPECT_EQ(stopped[0].value("lost", -1), 1);
    EXPECT_TRUE(this->logLines("request_account_mismatch").empty());
}

// A request behind a stream whose head has announced that the connection closes is never read.
TEST_F(RequestAccountTest, ReportsARequestThatIsDroppedWithItsConnection)
{
    const RawCaller caller(this->deployment.callerAddress(0));
    absl::SleepFor(absl::Milliseconds(100));
    this->deployment.process(0).signal(SIGTERM);
    absl::SleepFor(absl::Milliseconds(100));
    caller.send(this->head("/stream/a", "Content-Length: 1\r\n") + "b");
    ASSERT_TRUE(caller.waitForBytes());
    caller.send(this->head("/look/a", "Content-Length: 1\r\n") + "b");
    ASSERT_TRUE(this->deployment.process(0).waitForEnd(kStopLimit));
    EXPECT_EQ(this->lostLine().value("cause", ""), "dropped_behind_last_response");
    const std::vector<Json> stopped = this->logLines("stopped");
    ASSERT_EQ(stopped.size(), 1U);
    EXPECT_EQ(stopped[0].value("requests", -1), 2);
    EXPECT_EQ(stopped[0].value("answered", -1), 1);
    EXPECT_EQ(stopped[0].value("lost", -1), 1);
    EXPECT_TRUE(this->logLines("request_account_mismatch").empty());
}

} // namespace
} // namespace foxtailtally
