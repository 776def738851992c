#include "tests/gateway/raw_server_call.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

/** Well under the time that the caller allows. */
constexpr absl::Duration kAtOnce = absl::Seconds(5);

const std::string kPart = "a part";
const std::string kPartOfEvents = "id: 1\ndata: c\n\n";

/** Uploads of which the kernel takes all, though the server has read none, and only a part. */
constexpr std::array<std::size_t, 2> kUploadSizes = {300'000, 4'000'000};

/** How a server that has read none of a long upload ends its connection. */
enum class EarlyEnd { Reset, CloseThenReset, CloseAndReset };

/** A gateway and servers that respond before they have read the body of the request. */
class EarlyResponse : public testing::TestWithParam<std::size_t>
{
protected:
    /** A response that ends with the connection unless @p framing says otherwise. */
    static std::string head(const RouteCase &route, const std::string &framing)
    {
        return absl::StrCat("HTTP/1.1 200 OK\r\n", kSealed, route.isStream ? kEventStream : "",
                            framing, "\r\n");
    }
    std::string upload() const { return std::string(this->GetParam(), 'u'); }

    std::array<RawServer, 2> listeners;
};

// Guards against a part of a body that reaches the caller as a whole one, with a length, because
// the connection was closed before it was reset.
TEST_P(EarlyResponse, WithoutLengthIsNotCompleteWhenTheUploadIsReset)
{
    for (const RouteCase &route : kRoutes) {
        for (const EarlyEnd end :
             {EarlyEnd::Reset, EarlyEnd::CloseThenReset, EarlyEnd::CloseAndReset}) {
            SCOPED_TRACE(absl::StrCat(route.path, ", end ", static_cast<int>(end)));
            RawServerCall call(this->listeners);
            const absl::Time start = absl::Now();
            call.send(route, this->upload());
            const int server = call.takeConnection();
            writeAll(server, head(route, "") + (route.isStream ? kPartOfEvents : kPart));
            if (end != EarlyEnd::Reset)
                ::shutdown(server, SHUT_WR);
            if (end != EarlyEnd::CloseAndReset)
                call.runFor(absl::Milliseconds(30));
            resetConnection(server);
            call.finish(retryResponse(route));
            EXPECT_LT(absl::Now() - start, kAtOnce);
            const ReceivedResponse received = parseReceived(call.received);
            if (route.isRepeatable) {
                EXPECT_EQ(received.status, 200);
                EXPECT_EQ(received.body, route.isStream ? kRetryEvents : kRetryBody);
                EXPECT_EQ(call.requests, 2);
            } else if (route.isStream && received.status == 200) {
                // What the gateway has read before the reset has been passed on.
                EXPECT_EQ(received.body, kPartOfEvents);
                EXPECT_FALSE(received.isComplete);
                EXPECT_EQ(call.requests, 1);
            } else {
                EXPECT_EQ(received.status, 502);
                EXPECT_FALSE(received.isSealed);
                EXPECT_EQ(call.requests, 1);
            }
        }
    }
}

// Guards against a sound response that is refused because it came early.
TEST_P(EarlyResponse, WithoutLengthIsCompleteWhenTheServerReadsTheUpload)
{
    for (const RouteCase &route : kRoutes) {
        SCOPED_TRACE(route.path);
        const std::string body = route.isStream ? kRetryEvents : kRetryBody;
        RawServerCall call(this->listeners);
        call.send(route, this->upload());
        const int server = call.takeConnection();
        writeAll(server, head(route, "") + body);
        ::shutdown(server, SHUT_WR);
        call.runFor(absl::Milliseconds(30));
        ASSERT_TRUE(call.runUntil([&] {
            readAvailable(server);
            return parseReceived(call.received).isComplete;
        }));
        ::close(server);
        EXPECT_EQ(parseReceived(call.received).status, 200);
        EXPECT_EQ(parseReceived(call.received).body, body);
        EXPECT_EQ(call.requests, 1);
    }
}

// Guards against a call that waits to its deadline for the end of its upload.
TEST_P(EarlyResponse, WithoutLengthIsGivenUpWhenTheServerNeverReadsTheUpload)
{
    const RouteCase &action = kRoutes[0];
    RawServerCall call(this->listeners);
    const absl::Time start = absl::Now();
    call.send(action, this->upload());
    const int server = call.takeConnection();
    writeAll(server, head(action, "") + kPart);
    ::shutdown(server, SHUT_WR);
    call.finish(retryResponse(action));
    ::close(server);
    EXPECT_LT(absl::Now() - start, kAtOnce);
    EXPECT_EQ(parseReceived(call.received).status, 502);
    EXPECT_EQ(call.requests, 1);
}

TEST_P(EarlyResponse, WithLengthIsCompleteWhateverHappensToTheUpload)
{
    for (const RouteCase &route : kRoutes) {
        const std::string body = route.isStream ? kRetryEvents : kRetryBody;
        const std::string chunked =
            absl::StrCat(absl::Hex(body.size()), "\r\n", body, "\r\n0\r\n\r\n");
        for (const std::string &response :
             {head(route, absl::StrCat("Content-Length: ", body.size(), "\r\n")) + body,
              head(route, "Transfer-Encoding: chunked\r\n") + chunked}) {
            SCOPED_TRACE(response);
            RawServerCall call(this->listeners);
            call.send(route, this->upload());
            const int server = call.takeConnection();
            writeAll(server, response);
            call.runFor(absl::Milliseconds(30));
            resetConnection(server);
            call.finish(retryResponse(route));
            EXPECT_EQ(parseReceived(call.received).status, 200);
            EXPECT_EQ(parseReceived(call.received).body, body);
            EXPECT_EQ(call.requests, 1);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Uploads, EarlyResponse, testing::ValuesIn(kUploadSizes));

} // namespace
} // namespace foxtailtally
