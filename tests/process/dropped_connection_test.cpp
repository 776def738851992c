#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"
#include "tests/process/scripted_servers.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace foxtailtally {
namespace {

constexpr int kCalls = 12;

/** Value of the header @p name in @p request; empty without it. */
std::string headerOf(const std::string &request, const std::string &name)
{
    const std::string line = absl::StrCat("\r\n", name, ": ");
    const std::size_t at = request.find(line);
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + line.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/** A complete response to @p request. */
ScriptedReply served(const std::string &request)
{
    const bool isStream = request.find("POST /stream/") == 0;
    const std::string body = isStream ? "id: 1\ndata: token\n\n" : "done";
    const std::string type = isStream ? "text/event-stream" : "text/plain";
    return {absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", headerOf(request, "Attempt-Id"),
                         "\r\nResponse-Seal: s\r\nContent-Type: ", type,
                         "\r\nContent-Length: ", body.size(), "\r\n\r\n", body)};
}

/** Gateways, and servers of one service that forget idle connections. */
class ForgetfulServers
{
public:
    ForgetfulServers(int gateways, const std::string &service, int servers, absl::Duration rest)
        : deployment(gateways)
        , scripted(this->addresses(servers))
    {
        this->scripted.setScript(
            [](std::size_t, const std::string &request) { return served(request); });
        this->scripted.forgetIdleConnections(rest);
        this->deployment.configure(1, {"key-1"});
        for (int index = 0; index < servers; ++index) {
            const nlohmann::json spec = {
                {"Service", service}, {"Address", this->addresses(servers).at(index)},
                {"Zone", "d0"},       {"Slots", 16},
                {"State", "ready"},   {"born", 1}};
            this->deployment.platform().putObject("servers", ServingStandin::serverName(index),
                                                  spec.dump());
        }
        for (int gateway = 0; gateway < gateways; ++gateway)
            this->deployment.start(gateway);
    }

    bool waitUntilReady()
    {
        for (int gateway = 0; gateway < this->deployment.size(); ++gateway) {
            if (!this->deployment.waitUntilReady(gateway))
                return false;
        }
        return true;
    }
    CallerAnswer call(int gateway, const std::string &path, const std::string &body)
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(gateway);
        request.path = path;
        request.body = body;
        request.headers = {absl::StrCat("Attempt-Id: call-", ++this->calls), "Key: key-1",
                           "Deadline-Ms: 2000", "Token-Usage: 1000,100"};
        return callGateway(request);
    }
    /** Number of lines of all logs that name @p event. */
    int loggedEvents(const std::string &event)
    {
        int count = 0;
        for (int gateway = 0; gateway < this->deployment.size(); ++gateway) {
            std::ifstream log(this->deployment.logFile(gateway));
            for (std::string line; std::getline(log, line);)
                count += line.find(absl::StrCat("\"event\":\"", event, "\"")) != std::string::npos;
        }
        return count;
    }
    ScriptedServers &servers() { return this->scripted; }

private:
    std::vector<std::string> addresses(int count) const
    {
        std::vector<std::string> result;
        for (int index = 0; index < count; ++index)
            result.push_back(this->deployment.spareHost(index) + ":8300");
        return result;
    }

    GatewayDeployment deployment;
    ScriptedServers scripted;
    int calls = 0;
};

struct DropCase
{
    const char *name;
    std::string service;
    std::string path;
    int servers;
    absl::Duration rest;

    friend std::ostream &operator<<(std::ostream &out, const DropCase &entry)
    {
        return out << entry.name;
    }
};

std::string nameOf(const testing::TestParamInfo<DropCase> &info)
{
    return info.param.name;
}

class DroppedConnection : public testing::TestWithParam<DropCase>
{ };

// Guards against a call that ends with 502, and a sound server that counts as crashed, because the
// server had dropped the idle connection on which the call was sent.
TEST_P(DroppedConnection, EndsNoCall)
{
    const DropCase &given = this->GetParam();
    ForgetfulServers servers(1, given.service, given.servers, given.rest);
    ASSERT_TRUE(servers.waitUntilReady());
    for (int number = 0; number < kCalls; ++number) {
        const CallerAnswer answer = servers.call(0, given.path, absl::StrCat("body-", number));
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_TRUE(answer.isComplete);
        absl::SleepFor(given.rest + absl::Milliseconds(50));
    }
    EXPECT_EQ(servers.loggedEvents("call_suspected"), 0);
    if (given.path != "/act/a")
        EXPECT_GT(servers.servers().forgottenConnections(), 0) << "no connection was dropped";
    else
        EXPECT_EQ(servers.servers().forgottenConnections(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Rests, DroppedConnection,
    testing::Values(
        DropCase {"LookupAtOneServer", "desk", "/look/a", 1, absl::Milliseconds(50)},
        DropCase {"LookupAfter300Ms", "desk", "/look/a", 1, absl::Milliseconds(300)},
        DropCase {"LookupAfter2000Ms", "desk", "/look/a", 1, absl::Milliseconds(2000)},
        DropCase {"LookupAtFourServers", "desk", "/look/a", 4, absl::Milliseconds(50)},
        DropCase {"StreamAtOneServer", "engine", "/stream/a", 1, absl::Milliseconds(50)},
        DropCase {"StreamAtFourServers", "engine", "/stream/a", 4, absl::Milliseconds(50)},
        DropCase {"Action", "desk", "/act/a", 2, absl::Milliseconds(50)}),
    nameOf);

// Guards against the quarantine of a call that many callers send, after its connections were
// dropped at three instances.
TEST(DroppedConnectionsOfOneCall, QuarantineNothing)
{
    constexpr int kGateways = 6;
    constexpr int kRounds = 6;
    ForgetfulServers servers(kGateways, "desk", 4, absl::Milliseconds(50));
    ASSERT_TRUE(servers.waitUntilReady());
    for (int round = 0; round < kRounds; ++round) {
        for (int gateway = 0; gateway < kGateways; ++gateway) {
            const CallerAnswer answer = servers.call(gateway, "/look/a", "the same body");
            EXPECT_EQ(answer.status, 200) << answer.body;
        }
        absl::SleepFor(absl::Milliseconds(100));
    }
    EXPECT_GT(servers.servers().forgottenConnections(), 0);
    EXPECT_EQ(servers.loggedEvents("call_suspected"), 0);
}

} // namespace
} // namespace foxtailtally
