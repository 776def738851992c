#include "tests/process/gateway_deployment.h"
#include "tests/process/kept_connection.h"
#include "tests/process/scripted_servers.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace foxtailtally {
namespace {

constexpr int kServersPerService = 8;
/** [stop] limit of the gateways of a GatewayDeployment. */
constexpr absl::Duration kStopLimit = absl::Seconds(4);
/** Callers that a load balancer still sends in a planned stop come for two seconds and more. */
constexpr absl::Duration kServingTime = absl::Milliseconds(1500);
constexpr absl::Duration kFirstCall = absl::Milliseconds(-400);
constexpr absl::Duration kCallInterval = absl::Milliseconds(250);
constexpr const char *kRunHeader = "X-Run-Ms: ";

/** What a call asks for, and how long its server works on it. */
struct CallShape
{
    const char *path;
    absl::Duration run;
    /** The server sends the first event of the stream at once. */
    bool beginsAtOnce = false;
};

const std::vector<CallShape> kShapes = {
    {"/act/a", absl::Milliseconds(100)},     {"/act/a", absl::Milliseconds(1200)},
    {"/act/a", absl::Seconds(20)},           {"/look/a", absl::Milliseconds(100)},
    {"/look/a", absl::Seconds(20)},          {"/stream/a", absl::Milliseconds(100)},
    {"/stream/a", absl::Milliseconds(1200)}, {"/stream/a", absl::Seconds(20), true},
    {"/long/a", absl::Seconds(20)},          {"/long/a", absl::Milliseconds(1200), true},
    {"/long/a", absl::Seconds(20), true},
};

std::string headerValue(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find(name);
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

ScriptedReply serve(const std::string &request)
{
    const std::string head =
        absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", headerValue(request, "Attempt-Id: "),
                     "\r\nResponse-Seal: s\r\n");
    ScriptedReply reply;
    reply.delay = absl::Milliseconds(std::stoi(headerValue(request, kRunHeader)));
    const bool isStream =
        request.starts_with("POST /stream/") || request.starts_with("POST /long/");
    if (!isStream) {
        reply.bytes = head + "Content-Length: 4\r\n\r\ndone";
        return reply;
    }
    const std::string first = head
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        + "d\r\nid: 1\ndata:\n\n\r\n";
    const std::string rest = "d\r\nid: 2\ndata:\n\n\r\n0\r\n\r\n";
    if (headerValue(request, "X-Begin: ") == "now") {
        reply.firstBytes = first;
        reply.bytes = rest;
    } else {
        reply.bytes = first + rest;
    }
    return reply;
}

/** A call at one moment of a planned stop, and what came of it. */
struct StopCall
{
    std::string id;
    CallShape shape;
    /** Time from the stop signal to the call. */
    absl::Duration moment;
    bool isKept = false;
    CallerAnswer answer;
};

/** Callers at one gateway that is stopped while they call. */
class PlannedStop : public testing::Test
{
protected:
    PlannedStop()
        : deployment(1)
        , servers(this->addresses())
    {
        this->deployment.configure(1, {"key-1"});
        for (int index = 0; index < 2 * kServersPerService; ++index) {
            const nlohmann::json spec = {
                {"Service", index < kServersPerService ? "engine" : "desk"},
                {"Address", this->addresses().at(static_cast<std::size_t>(index))},
                {"Zone", "d0"},
                {"Slots", 64},
                {"State", "ready"},
                {"born", 1}};
            this->deployment.platform().putObject("servers", ServingStandin::serverName(index),
                                                  spec.dump());
        }
        this->servers.setScript(
            [](std::size_t, const std::string &request) { return serve(request); });
        this->deployment.start(0);
    }

    std::vector<std::string> addresses() const
    {
        std::vector<std::string> result;
        for (int index = 0; index < 2 * kServersPerService; ++index)
            result.push_back(this->deployment.spareHost(index) + ":8300");
        return result;
    }
    CallerRequest request(const std::string &id, const CallShape &shape) const
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = shape.path;
        request.body = "b";
        request.headers = {"Attempt-Id: " + id, "Key: key-1", "Token-Usage: 1000,64",
                           absl::StrCat(kRunHeader, absl::ToInt64Milliseconds(shape.run)),
                           absl::StrCat("X-Begin: ", shape.beginsAtOnce ? "now" : "later")};
        return request;
    }
    /** Makes @p call at its moment of the stop that begins at @p stopAt. */
    void make(StopCall &call, absl::Time stopAt) const
    {
        KeptConnection connection(this->deployment.callerAddress(0));
        if (call.isKept) {
            const CallerAnswer first =
                connection.call(this->request("first-" + call.id, kShapes.front()));
            EXPECT_EQ(first.status, 200);
        }
        absl::SleepFor(stopAt + call.moment - absl::Now());
        call.answer = connection.call(this->request(call.id, call.shape));
    }
    /** Stops the gateway while calls of each shape are made at all moments of the stop. */
    std::vector<StopCall> stopUnderCalls()
    {
        std::vector<StopCall> calls;
        for (absl::Duration moment = kFirstCall; moment < kStopLimit; moment += kCallInterval) {
            for (const CallShape &shape : kShapes) {
                for (const bool isKept : {false, true})
                    calls.push_back(
                        {absl::StrCat("call-", calls.size()), shape, moment, isKept, {}});
            }
        }
        const absl::Time stopAt = absl::Now() + absl::Seconds(2);
        std::vector<std::thread> callers;
        callers.reserve(calls.size());
        for (StopCall &call : calls)
            callers.emplace_back([this, &call, stopAt] { this->make(call, stopAt); });
        absl::SleepFor(stopAt - absl::Now());
        this->deployment.process(0).signal(SIGTERM);
        EXPECT_TRUE(this->deployment.process(0).waitForEnd(kStopLimit));
        EXPECT_EQ(this->deployment.process(0).exitCode(), 0);
        for (std::thread &caller : callers)
            caller.join();
        return calls;
    }
    /** Number of arrivals of each call at servers. */
    absl::btree_map<std::string, int> arrivals()
    {
        absl::btree_map<std::string, int> result;
        for (const std::string &request : this->servers.requests())
            ++result[headerValue(request, "Attempt-Id: ")];
        return result;
    }

    GatewayDeployment deployment;
    ScriptedServers servers;
};

// Guards against calls that were taken late in a planned stop and sent to a server, and whose
// connections were closed without an answer when the process ended.
TEST_F(PlannedStop, AnswersEachCallThatAServerGot)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    const std::vector<StopCall> calls = this->stopUnderCalls();
    absl::btree_map<std::string, int> arrivals = this->arrivals();
    int late = 0;
    for (const StopCall &call : calls) {
        SCOPED_TRACE(absl::StrCat(
            call.shape.path, " of ", absl::FormatDuration(call.shape.run),
            call.shape.beginsAtOnce ? " begun at once" : "", " at ",
            absl::FormatDuration(call.moment), call.isKept ? " on a kept connection" : "", " got ",
            call.answer.status, " after ", absl::FormatDuration(call.answer.took)));
        const bool isStream = call.answer.hasHeader("text/event-stream");
        const bool hasArrived = arrivals[call.id] > 0;
        if (hasArrived) {
            EXPECT_NE(call.answer.status, 0);
            EXPECT_TRUE(call.answer.isComplete || (isStream && call.answer.wasClosedByPeer));
        }
        if (call.answer.status == 503) {
            EXPECT_FALSE(hasArrived);
            EXPECT_TRUE(call.answer.hasHeader("Retry-After: "));
        }
        if (std::string(call.shape.path) == "/act/a") {
            EXPECT_LE(arrivals[call.id], 1);
        }
        const bool isTaken = call.moment >= absl::ZeroDuration() && call.moment < kServingTime;
        if (isTaken && call.shape.run <= absl::Milliseconds(100)) {
            EXPECT_EQ(call.answer.status, 200);
        }
        if (call.moment > absl::Milliseconds(200) && call.answer.status != 0) {
            EXPECT_TRUE(call.answer.hasHeader("Connection: close"));
        }
        // A server that ends its work must not have done it for nothing.
        if (hasArrived && call.moment + call.shape.run < kStopLimit / 2) {
            EXPECT_EQ(call.answer.status, 200);
        }
        late += call.moment > kServingTime && hasArrived ? 1 : 0;
    }
    EXPECT_GT(late, 0);
}

} // namespace
} // namespace foxtailtally
