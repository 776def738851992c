#include "tests/gateway/raw_server_call.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace foxtailtally {
namespace {

/** Well under the time that the caller allows. */
constexpr absl::Duration kAtOnce = absl::Seconds(5);

/** Time in which a gateway passes on a response. */
constexpr absl::Duration kReactionTime = absl::Milliseconds(50);

const std::string kBody = "body of the server";

/** Invalid beginnings of heads. */
const std::vector<std::string> kInvalidStarts = {
    "HTTP/1.1 000 Failed\r\n", "HTTP/1.1 600 Failed\r\n", "HTTP/1.1 200 OK\r\nX Name: 1\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n"};

std::string bodyOn(const RouteCase &route)
{
    return route.isStream ? kRetryEvents : kBody;
}

std::string lengthLine(const RouteCase &route)
{
    return absl::StrCat("Content-Length: ", bodyOn(route).size(), "\r\n");
}

/** Header lines that no response can have. */
const std::vector<std::string> kInvalidLines = {
    "X Name: 1",    "X-Name : 1",   "X-Name\t: 1",
    " X-Name: 1",   "\tX-Name: 1",  "X\x01Name: 1",
    "X\x1fName: 1", "X\x7fName: 1", std::string("X\0Name: 1", 9),
    "X\rName: 1",   "X\nName: 1",   "X\"Name\": 1",
    "X\xc3\xa9: 1", "X-Name",       ": 1",
};

/** Lines like @p line whose name is invalid. */
std::vector<std::string> invalidVariants(const std::string &line)
{
    const std::size_t colon = line.find(':');
    std::vector<std::string> variants = {" " + line, "\t" + line};
    for (const std::string byte : {" ", "\t", "\x01", "\r", "\x7f"}) {
        variants.push_back(line.substr(0, colon) + byte + line.substr(colon));
        variants.push_back(line.substr(0, 3) + byte + line.substr(3));
    }
    return variants;
}

/** A gateway, a server that sends an invalid response, and another server. */
class InvalidResponse : public testing::Test
{
protected:
    /** The first server sends @p bytes; the caller must get nothing of them, and at once. */
    void checkIsRefused(const RouteCase &route, const std::string &bytes, bool isKept)
    {
        RawServerCall call(this->listeners);
        if (isKept)
            call.keepConnections();
        const absl::Time start = absl::Now();
        call.send(route);
        call.respond(bytes, Ending::Keep);
        call.finish(retryResponse(route));
        EXPECT_LT(absl::Now() - start, kAtOnce);
        EXPECT_TRUE(call.isConnectionClosed());
        checkCaller(route, call);
    }
    static void checkCaller(const RouteCase &route, const RawServerCall &call)
    {
        const ReceivedResponse received = parseReceived(call.received);
        EXPECT_TRUE(received.isComplete);
        if (route.isRepeatable) {
            EXPECT_EQ(received.status, 200);
            EXPECT_EQ(received.body, route.isStream ? kRetryEvents : kRetryBody);
            EXPECT_EQ(call.requests, 2);
            return;
        }
        EXPECT_EQ(received.status, 502);
        EXPECT_FALSE(received.isSealed);
        EXPECT_EQ(call.requests, 1);
    }
    /** Checks @p head on @p route, on new and on kept connections. */
    void checkHead(const RouteCase &route, const std::string &head)
    {
        // What follows on the connection is no response to the call either.
        const std::string next =
            absl::StrCat("HTTP/1.1 200 OK\r\n", kSealed, "Content-Length: 4\r\n\r\nnext");
        for (const bool isKept : {false, true}) {
            SCOPED_TRACE(
                absl::StrCat(head, " on ", route.path, isKept ? ", on a kept connection" : ""));
            this->checkIsRefused(route, head + bodyOn(route) + next, isKept);
        }
    }

    std::array<RawServer, 2> listeners;
};

// Guards against a status that is none: 000 passed for an interim response, so that the caller
// waited to its deadline or got what came next on the connection.
TEST_F(InvalidResponse, WithAnInvalidStatusReachesNoCaller)
{
    for (const RouteCase &route : kRoutes) {
        for (const char *status :
             {"000 Failed", "000", "00 Failed", "0 Failed", "001 OK", "099 OK", "20 OK", "0200 OK",
              "00200 OK", "600 Failed", "700 Failed", "999 Failed", "2000 OK", "-200 OK"})
            this->checkHead(route,
                            absl::StrCat("HTTP/1.1 ", status, "\r\n", kSealed,
                                         route.isStream ? kEventStream : "", lengthLine(route),
                                         "\r\n"));
    }
}

// Guards against a change of the protocol, which no request asks for, that passes for an interim
// response, so that the caller waits to its deadline for the next one.
TEST_F(InvalidResponse, WithAChangeOfTheProtocolEndsTheCallAtOnce)
{
    const std::string head = "HTTP/1.1 101 Switching Protocols\r\n";
    const std::string upgrade = "Connection: Upgrade\r\nUpgrade: websocket\r\n";
    for (const RouteCase &route : kRoutes) {
        for (const bool isKept : {false, true}) {
            for (const std::string &bytes :
                 {head + "\r\n", head + upgrade + "\r\n", head + kSealed + upgrade + "\r\n",
                  "HTTP/1.1 100 Continue\r\n\r\n" + head + upgrade + "\r\n"}) {
                SCOPED_TRACE(absl::StrCat(bytes, " on ", route.path, isKept ? ", kept" : ""));
                this->checkIsRefused(route, bytes, isKept);
            }
        }
        this->checkHead(route, absl::StrCat(head, upgrade, kSealed, lengthLine(route), "\r\n"));
    }
}

// Guards against a check of the status that refuses sound responses.
TEST_F(InvalidResponse, IsNoneWithAnUnusualStatus)
{
    const RouteCase &action = kRoutes[0];
    for (const int status :
         {200, 201, 226, 299, 300, 399, 400, 418, 451, 499, 500, 501, 511, 599}) {
        for (const std::string interim :
             {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 Wait\r\nX-Step: 1\r\n\r\n"}) {
            SCOPED_TRACE(absl::StrCat(interim, status));
            RawServerCall call(this->listeners);
            call.send(action);
            call.respond(absl::StrCat(interim, "HTTP/1.1 ", status, "\r\n", kSealed,
                                      lengthLine(action), "\r\n", kBody),
                         Ending::Keep);
            call.finish(retryResponse(action));
            const ReceivedResponse received = parseReceived(call.received);
            EXPECT_EQ(received.status, status);
            EXPECT_EQ(received.body, kBody);
            EXPECT_TRUE(received.isSealed);
            EXPECT_EQ(call.requests, 1);
        }
    }
}

// Guards against a header whose name has a blank or a control byte and that is passed on, hides a
// header that matters, or changes where the body ends.
TEST_F(InvalidResponse, WithAnInvalidHeaderNameReachesNoCaller)
{
    for (const RouteCase &route : kRoutes) {
        std::vector<std::string> headers = {"Attempt-Id: call\r\n", "Response-Seal: s\r\n",
                                            lengthLine(route)};
        if (route.isStream)
            headers.push_back(kEventStream);
        for (std::size_t at = 0; at < headers.size(); ++at) {
            const std::string &header = headers[at];
            std::vector<std::string> replaced = invalidVariants(header);
            for (const std::string &line : kInvalidLines) {
                replaced.push_back(line + "\r\n" + header);
                replaced.push_back(header + line + "\r\n");
            }
            for (const std::string &text : replaced) {
                std::string head = "HTTP/1.1 200 OK\r\n";
                for (std::size_t i = 0; i < headers.size(); ++i)
                    head += i == at ? text : headers[i];
                this->checkHead(route, head + "\r\n");
            }
        }
    }
}

// Guards against a check of names that refuses sound ones, or changes them.
TEST_F(InvalidResponse, IsNoneWithAnUnusualHeaderName)
{
    const RouteCase &action = kRoutes[0];
    const std::string unusual = "!#$%&'*+-.^_`|~09azAZ:  a b\t: c\r\nx:\r\n";
    RawServerCall call(this->listeners);
    call.send(action);
    call.respond(
        absl::StrCat("HTTP/1.1 200 OK\r\n", unusual, kSealed, lengthLine(action), "\r\n", kBody),
        Ending::Keep);
    call.finish(retryResponse(action));
    EXPECT_EQ(parseReceived(call.received).body, kBody);
    EXPECT_NE(call.received.find("!#$%&'*+-.^_`|~09azAZ: a b\t: c\r\n"), std::string::npos)
        << call.received;
}

// Guards against a hedged call that ends with the invalid response to one of its two copies.
TEST_F(InvalidResponse, ToOneCopyOfAHedgedCallLeavesTheOther)
{
    const RouteCase &lookup = kRoutes[1];
    for (const std::string &start : kInvalidStarts) {
        const std::string invalid = start + kSealed + lengthLine(lookup) + "\r\n" + kBody;
        for (const bool isFirstInvalid : {true, false}) {
            SCOPED_TRACE(absl::StrCat(start, isFirstInvalid ? "first" : "second"));
            RawServerCall call(this->listeners);
            call.send(lookup);
            const int first = call.takeConnection();
            call.waitForRequest();
            const int second = call.takeConnection();
            writeAll(isFirstInvalid ? first : second, invalid);
            call.runFor(kReactionTime);
            EXPECT_EQ(call.received, "");
            writeAll(isFirstInvalid ? second : first, retryResponse(lookup));
            call.finish(retryResponse(lookup));
            checkCaller(lookup, call);
            ::close(first);
            ::close(second);
        }
    }
}

// Guards against a stream whose continuation by another server is invalid and reaches the caller,
// or looks like its end.
TEST_F(InvalidResponse, ToAResumedStreamIsNoPartOfIt)
{
    const RouteCase &stream = kRoutes[3];
    const std::string firstEvent = "id: 1\ndata: c\n\n";
    for (const std::string &start : kInvalidStarts) {
        SCOPED_TRACE(start);
        RawServerCall call(this->listeners);
        call.send(stream);
        call.respond(absl::StrCat("HTTP/1.1 200 OK\r\n", kSealed, kEventStream,
                                  "Transfer-Encoding: chunked\r\n\r\nf\r\n", firstEvent, "\r\n"),
                     Ending::Close);
        call.waitForRequest();
        call.respond(
            absl::StrCat(start, kSealed, kEventStream, lengthLine(stream), "\r\n", kRetryEvents),
            Ending::Keep);
        call.runFor(kReactionTime);
        const ReceivedResponse received = parseReceived(call.received);
        EXPECT_EQ(received.status, 200);
        EXPECT_EQ(received.body, firstEvent);
        EXPECT_FALSE(received.isComplete);
    }
}

} // namespace
} // namespace foxtailtally
