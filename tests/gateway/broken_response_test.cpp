#include "tests/gateway/raw_server_call.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const std::string kTwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kLongBody(120, 'x');

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

/** Whether @p size bytes of @p response are all that a caller needs. */
bool isWhole(const WholeResponse &response, std::size_t size, Ending ending)
{
    if (response.endsWithConnection)
        return ending == Ending::Close && size == response.bytes.size();
    return size == response.bytes.size();
}

/** Whether a body that ends with its connection looks whole though @p size bytes are not. */
bool looksWhole(const WholeResponse &response, std::size_t size, Ending ending)
{
    if (!response.endsWithConnection || ending != Ending::Close)
        return false;
    const std::size_t headSize = response.bytes.size() - response.body.size();
    if (!response.isStream)
        return size >= headSize;
    return size == headSize + response.body.size() / 2;
}

void checkCaller(const RouteCase &route, const WholeResponse &response, std::size_t size,
                 Ending ending, const RawServerCall &call)
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
        for (const Ending ending : {Ending::Close, Ending::Reset}) {
            for (const bool isKept : {false, true}) {
                for (std::size_t size = 0; size <= response.bytes.size(); ++size) {
                    SCOPED_TRACE(absl::StrCat(response.name, " on ", route.path, ", ", size, " of ",
                                              response.bytes.size(), " bytes and a ",
                                              ending == Ending::Close ? "close" : "reset",
                                              isKept ? ", on a kept connection" : ""));
                    RawServerCall call(this->listeners);
                    if (isKept)
                        call.keepConnections();
                    call.send(route);
                    call.respond(response.bytes.substr(0, size), ending);
                    call.finish(retryResponse(route));
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
