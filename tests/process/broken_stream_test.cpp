#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"
#include "tests/process/scripted_servers.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace foxtailtally {
namespace {

using Ending = ScriptedReply::Ending;

constexpr int kServers = 4;
constexpr int kEvents = 6;

std::string events(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number)
        absl::StrAppend(&text, "id: ", number, "\ndata: token-", number, "\n\n");
    return text;
}

std::string reply(const std::string &status, const std::string &callId, const std::string &type,
                  const std::string &body)
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nAttempt-Id: ", callId, "\r\nContent-Type: ", type,
                        "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

std::string streamHead(const std::string &callId, const std::string &seal,
                       const std::string &framing = "")
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", callId, "\r\nResponse-Seal: ", seal,
                        "\r\nContent-Type: text/event-stream\r\n", framing, "\r\n");
}

/** Start of a chunked stream; the last chunk is kEnd. */
std::string chunked(const std::string &callId, const std::string &seal, const std::string &body)
{
    const std::string chunk =
        body.empty() ? "" : absl::StrFormat("%x\r\n%s\r\n", body.size(), body);
    return streamHead(callId, seal, "Transfer-Encoding: chunked\r\n") + chunk;
}

constexpr const char *kEnd = "0\r\n\r\n";

/** A run that breaks off. */
struct BrokenRun
{
    const char *name;
    ScriptedReply reply;
};

std::vector<BrokenRun> brokenRuns(const std::string &callId)
{
    const std::string some = events(1, 3);
    const std::string part = "id: 4\ndata: tok";
    const std::string otherReply = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: other\r\n"
                                   "Content-Length: 6\r\n\r\nfailed";
    const std::string unframed = streamHead(callId, "a");
    return {
        {"before an event", {chunked(callId, "a", ""), Ending::Close}},
        {"inside an event", {chunked(callId, "a", some + part), Ending::Close}},
        {"after an event", {chunked(callId, "a", some), Ending::Close}},
        {"after an event by reset", {chunked(callId, "a", some), Ending::Reset}},
        {"by skipping an event", {chunked(callId, "a", some + events(5, 6)), Ending::Keep}},
        {"without length, before an event", {unframed, Ending::Close}},
        {"without length, inside an event", {unframed + some + part, Ending::Close}},
        {"without length, after an event by reset", {unframed + some, Ending::Reset}},
        {"without length, with another response behind",
         {otherReply, Ending::Close, unframed + some}},
        {"without length, with another response inside an event",
         {otherReply, Ending::Close, unframed + some + part}},
        {"with other bytes in a chunk",
         {chunked(callId, "a", some + "worker failed\n\n"), Ending::Keep}},
    };
}

/** What the next server does, and whether that completes the stream. */
struct NextRun
{
    const char *name;
    ScriptedReply reply;
    bool completes = false;
    /** Without an earlier event, nothing is wrong with the response. */
    bool isWrongAfterEventsOnly = false;
};

std::vector<NextRun> nextRuns(const std::string &callId, int lastEvent)
{
    const std::string rest = events(lastEvent + 1, kEvents);
    const std::string mark = "Not-Executed: 1";
    return {
        {"fails with 500", {reply("500 Failed", callId, "text/plain", "failed")}},
        {"fails with 404", {reply("404 Not Found", callId, "text/event-stream", rest)}},
        {"refuses", {reply("503 Busy\r\n" + mark, callId, "text/event-stream", rest)}},
        {"fails with 503", {reply("503 Busy", callId, "text/plain", "failed")}},
        {"has nothing to send", {streamHead(callId, "b", "").replace(9, 6, "204 No")}},
        {"resumes", {chunked(callId, "b", rest) + kEnd}, true},
        {"repeats all events", {chunked(callId, "b", events(1, kEvents)) + kEnd}, true},
        {"resumes without length", {streamHead(callId, "b") + rest, Ending::Close}, true},
        {"ends before the events that the caller has",
         {chunked(callId, "b", events(1, 1)) + kEnd},
         false,
         true},
        {"skips an event",
         {chunked(callId, "b", events(lastEvent + 2, kEvents)) + kEnd},
         false,
         true},
        {"sends other bytes first", {chunked(callId, "b", "oops\n\n" + rest) + kEnd}},
        {"breaks the chunks", {chunked(callId, "b", rest) + "oops\r\n", Ending::Keep}},
        {"ends inside an event without length",
         {streamHead(callId, "b") + rest + "id: 7\nda", Ending::Close}},
        {"ends without length and without an event", {streamHead(callId, "b"), Ending::Close}},
        {"sends a body that is no stream",
         {reply("200 OK\r\nResponse-Seal: b", callId, "text/plain", "no stream")}},
    };
}

/** The event after which @p request resumes a stream; 0 for one from the start. */
int lastEventOf(const std::string &request)
{
    const std::string name = "Last-Event-Id: ";
    const std::size_t at = request.find(name);
    return at == std::string::npos ? 0 : std::stoi(request.substr(at + name.size()));
}

/** One gateway and engines that send what the test says. The parameter is an index into
 * brokenRuns(). */
class BrokenStream : public testing::TestWithParam<std::size_t>
{
protected:
    BrokenStream()
        : deployment(1)
        , servers(this->addresses())
    {
        this->deployment.configure(1, {"key-1"});
        this->replaceServers();
        this->deployment.start(0);
    }

    std::vector<std::string> addresses() const
    {
        std::vector<std::string> result;
        result.reserve(kServers);
        for (int index = 0; index < kServers; ++index)
            result.push_back(this->deployment.spareHost(index) + ":8300");
        return result;
    }
    /** Lists the servers as new incarnations, of which the gateway remembers no failures. */
    void replaceServers()
    {
        ++this->incarnation;
        for (int index = 0; index < kServers; ++index) {
            const nlohmann::json spec = {
                {"Service", "engine"}, {"Address", this->addresses().at(index)},
                {"Zone", "d0"},        {"Slots", 16},
                {"State", "ready"},    {"born", this->incarnation}};
            this->deployment.platform().putObject("servers", ServingStandin::serverName(index),
                                                  spec.dump());
        }
    }
    CallerAnswer call(const std::string &callId)
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(0);
        request.path = "/stream/a";
        request.body = callId;
        request.headers = {"Attempt-Id: " + callId, "Key: key-1", "Deadline-Ms: 2000",
                           "Token-Usage: 1000,100"};
        return callGateway(request);
    }
    /** The caller has whole events of one stream, and takes it for complete only if it is. */
    static void checkStream(const CallerAnswer &answer)
    {
        const std::string whole = events(1, kEvents);
        int count = 0;
        while (count < kEvents && answer.body != events(1, count))
            ++count;
        EXPECT_EQ(answer.body, events(1, count));
        EXPECT_TRUE(!answer.isComplete || answer.body == whole);
        EXPECT_TRUE(answer.hasHeader("Response-Seal: "));
    }

    GatewayDeployment deployment;
    ScriptedServers servers;
    int incarnation = 0;
};

// Guards against a stream that broke off and was followed, on the caller's connection, by bytes of
// the next server's response, or by the end of a complete stream.
TEST_P(BrokenStream, IsContinuedByItsOwnEventsOrNotAtAll)
{
    ASSERT_TRUE(this->deployment.waitUntilReady(0));
    const std::size_t nextCount = nextRuns("", 0).size();
    for (std::size_t number = 0; number < nextCount; ++number) {
        const std::string callId = absl::StrCat("call-", number);
        const BrokenRun first = brokenRuns(callId).at(this->GetParam());
        SCOPED_TRACE(absl::StrCat("breaks ", first.name, ", the next server ",
                                  nextRuns(callId, 0).at(number).name));
        this->servers.setScript(
            [first, callId, number](std::size_t run, const std::string &request) {
                if (run == 0)
                    return first.reply;
                if (run == 1)
                    return nextRuns(callId, lastEventOf(request)).at(number).reply;
                return ScriptedReply {reply("500 Failed", callId, "text/plain", "failed")};
            });
        this->replaceServers();
        const CallerAnswer answer = this->call(callId);
        const std::vector<std::string> requests = this->servers.requests();
        ASSERT_GE(requests.size(), 2U);
        const int lastEvent = lastEventOf(requests[1]);
        const NextRun next = nextRuns(callId, lastEvent).at(number);
        const bool isStream = answer.status == 200 && answer.hasHeader("text/event-stream");
        // Without an event, the caller gets the next server's response as it is.
        if (next.isWrongAfterEventsOnly && lastEvent == 0)
            continue;
        if (isStream) {
            checkStream(answer);
            EXPECT_EQ(answer.isComplete, next.completes);
        } else {
            EXPECT_EQ(lastEvent, 0);
            EXPECT_FALSE(next.completes);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Breaks, BrokenStream,
                         testing::Range<std::size_t>(0, brokenRuns("").size()));

} // namespace
} // namespace foxtailtally
