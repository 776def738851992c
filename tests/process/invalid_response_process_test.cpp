#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"
#include "tests/process/scripted_servers.h"
#include "tests/route_case.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace foxtailtally {
namespace {

using Ending = ScriptedReply::Ending;

constexpr int kServersOfService = 2;
constexpr int kMaxBodyBytes = 4 << 20;
constexpr std::size_t kLongBody = 3'000'000;

const std::string kEvents = "id: 1\ndata: token\n\n";
const std::string kBody = "done";

/** One gateway process, and servers that send what the test says. */
class InvalidResponseProcess : public testing::Test
{
protected:
    InvalidResponseProcess()
        : deployment(1)
        , servers(this->addresses())
    {
        this->deployment.addRoute("/once/", "streaming", false);
        this->deployment.configure(1, {"key-1"}, 154000.0, kMaxBodyBytes);
        this->replaceServers();
        this->deployment.start(0);
    }

    std::vector<std::string> addresses() const
    {
        std::vector<std::string> result;
        for (int index = 0; index < 2 * kServersOfService; ++index)
            result.push_back(this->deployment.spareHost(index) + ":8300");
        return result;
    }
    /** Lists the servers as new incarnations, of which the gateway remembers no failures. */
    void replaceServers()
    {
        ++this->incarnation;
        for (std::size_t index = 0; index < this->addresses().size(); ++index) {
            const nlohmann::json spec = {{"Service", index < kServersOfService ? "engine" : "desk"},
                                         {"Address", this->addresses().at(index)},
                                         {"Zone", "d0"},
                                         {"Slots", 16},
                                         {"State", "ready"},
                                         {"born", this->incarnation}};
            this->deployment.platform().putObject(
                "servers", ServingStandin::serverName(static_cast<int>(index)), spec.dump());
        }
    }
    static std::string seal(const std::string &callId)
    {
        return absl::StrCat("Attempt-Id: ", callId, "\r\nResponse-Seal: s\r\n");
    }
    /** The first server of a call sends @p first, which must be no response to its caller. */
    void checkIsRefused(const RouteCase &route, const std::string &callId,
                        const ScriptedReply &first, const std::string &requestBody)
    {
        SCOPED_TRACE(absl::StrCat(callId, " on ", route.path));
        const std::string body = route.isStream ? kEvents : kBody;
        const std::string type = route.isStream ? "text/event-stream" : "text/plain";
        const std::string sound =
            absl::StrCat("HTTP/1.1 200 OK\r\n", seal(callId), "Content-Type: ", type,
                         "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        this->servers.setScript([first, sound](std::size_t number, const std::string &) {
            return number == 0 ? first : ScriptedReply {sound};
        });
        this->replaceServers();
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = route.path;
        request.body = requestBody;
        request.headers = {"Attempt-Id: " + callId, "Key: key-1", "Deadline-Ms: 4000",
                           "Token-Usage: 1000,100"};
        const CallerAnswer answer = callGateway(request);
        EXPECT_LT(answer.took, absl::Seconds(2));
        if (route.isRepeatable) {
            EXPECT_EQ(answer.status, 200);
            EXPECT_TRUE(answer.isComplete);
            EXPECT_EQ(answer.body, body);
            EXPECT_EQ(this->servers.requests().size(), 2U);
            return;
        }
        EXPECT_EQ(answer.status, 502) << answer.body;
        EXPECT_FALSE(answer.hasHeader("Response-Seal: "));
        EXPECT_EQ(this->servers.requests().size(), 1U);
    }

    GatewayDeployment deployment;
    ScriptedServers servers;
    int incarnation = 0;
};

// Guards against a server's invalid status that reaches a caller, or that makes it wait.
TEST_F(InvalidResponseProcess, WithAnInvalidStatusReachesNoCaller)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    for (const RouteCase &route : kRoutes) {
        for (const std::string status : {"000", "099", "600", "999"}) {
            const std::string callId = absl::StrCat("status-", status);
            const std::string type = route.isStream ? "Content-Type: text/event-stream\r\n" : "";
            this->checkIsRefused(route, callId,
                                 {absl::StrCat("HTTP/1.1 ", status, " Failed\r\n", seal(callId),
                                               type, "Content-Length: 0\r\n\r\n")},
                                 "body");
        }
    }
}

// Guards against a change of the protocol that makes the caller wait for another response.
TEST_F(InvalidResponseProcess, WithAChangeOfTheProtocolEndsTheCallAtOnce)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    for (const RouteCase &route : kRoutes)
        this->checkIsRefused(route, "upgrade",
                             {absl::StrCat("HTTP/1.1 101 Switching Protocols\r\n",
                                           "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n")},
                             "body");
}

// Guards against a header with an invalid name that reaches a caller, or hides the length.
TEST_F(InvalidResponseProcess, WithAnInvalidHeaderNameReachesNoCaller)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    int number = 0;
    for (const RouteCase &route : kRoutes) {
        for (const std::string line :
             {"X Name: 1\r\nContent-Length: 4", "X\x01Name: 1\r\nContent-Length: 4",
              "Content-Length : 4", " Content-Length: 4", "Content\x01-Length: 4"}) {
            const std::string callId = absl::StrCat("name-", ++number);
            const std::string type = route.isStream ? "Content-Type: text/event-stream\r\n" : "";
            this->checkIsRefused(
                route, callId,
                {absl::StrCat("HTTP/1.1 200 OK\r\n", seal(callId), type, line, "\r\n\r\ndone")},
                "body");
        }
    }
}

// Guards against a part of a body that reaches a caller as a whole one because the connection was
// closed before it was reset.
TEST_F(InvalidResponseProcess, CutDuringTheUploadIsNotComplete)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    this->servers.respondBeforeBodies();
    int number = 0;
    for (const RouteCase &route : kRoutes) {
        for (const Ending ending : {Ending::Reset, Ending::CloseThenReset}) {
            const std::string callId = absl::StrCat("cut-", ++number);
            // Without an event, a stream has not begun either.
            const std::string part =
                route.isStream ? "Content-Type: text/event-stream\r\n\r\nid: 1\nda" : "\r\npart";
            this->checkIsRefused(route, callId,
                                 {absl::StrCat("HTTP/1.1 200 OK\r\n", seal(callId), part), ending},
                                 std::string(kLongBody, 'u'));
        }
    }
}

} // namespace
} // namespace foxtailtally
