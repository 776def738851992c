#include "platform/call_headers.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailtally::platform {
namespace {

RequestHead callerHead()
{
    RequestHead head;
    head.method = "POST";
    head.target = "/a/b?q=1";
    head.headers.add("Host", "h.example");
    head.headers.add("Attempt-Id", "id-1");
    head.headers.add("Deadline-Ms", "9000");
    head.headers.add("Key", "secret");
    head.headers.add("tenant", "forged");
    head.headers.add("Expect-Instance", "forged");
    head.headers.add("Helpers", "10.9.9.9:1");
    head.headers.add("X-Custom", "kept");
    head.headers.add("X-Hop", "dropped");
    head.headers.add("Connection", "keep-alive, X-Hop");
    head.headers.add("Content-Length", "4");
    head.headers.add("Token-Usage", "1460,80");
    return head;
}

TEST(CallHeaders, DecodesTheHeadersOfACaller)
{
    const CallHeaders call = decodeCallHeaders(callerHead().headers);
    EXPECT_EQ(call.callId, "id-1");
    EXPECT_EQ(call.deadline, absl::Seconds(9));
    EXPECT_EQ(call.apiKey, "secret");
    EXPECT_EQ(call.promptTokens, 1460);
    EXPECT_EQ(call.maxAnswerTokens, 80);
}

PromptParts promptOf(const std::vector<std::string> &lists)
{
    HttpHeaders headers;
    for (const std::string &list : lists)
        headers.add("Prompt-Prefix", list);
    return decodeCallHeaders(headers).prompt;
}

TEST(CallHeaders, DecodesTheSharedPartsOfAPrompt)
{
    struct Case
    {
        std::vector<std::string> lists;
        std::vector<std::string> shared;
        bool isMalformed = false;
    };
    const std::vector<Case> cases = {
        {{}, {}},
        {{"5c1e07a2:800"}, {}},
        {{"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}, {"5c1e07a2", "91bd3f06"}},
        {{" 5C1E:8 , 91bd:4 ,e4:2"}, {"5c1e", "91bd"}},
        {{"5c1e:8", "91bd:4,e4:2"}, {"5c1e", "91bd"}},
        {{"5c1e:8,5c1e:8,91bd:4"}, {"5c1e"}},
        {{"5c1e:99999999999999999999999,91bd:4"}, {"5c1e"}},
        {{""}, {}, true},
        {{"5c1e:8,,91bd:4"}, {"5c1e"}, true},
        {{"5c1e,91bd:4"}, {}, true},
        {{"5c1e:,91bd:4"}, {}, true},
        {{":8,91bd:4"}, {}, true},
        {{"5c1e:-8,91bd:4"}, {}, true},
        {{"xyz:8,5c1e:8,91bd:4"}, {"5c1e"}, true},
        {{"5c1e:8,91bd"}, {"5c1e"}, true},
        {{std::string(kMaxPartIdLength + 1, 'a') + ":8,5c1e:8,91bd:4"}, {"5c1e"}, true},
    };
    for (const Case &entry : cases) {
        const PromptParts prompt = promptOf(entry.lists);
        EXPECT_EQ(prompt.sharedParts, entry.shared) << testing::PrintToString(entry.lists);
        EXPECT_EQ(prompt.isMalformed, entry.isMalformed) << testing::PrintToString(entry.lists);
        EXPECT_FALSE(prompt.isTruncated);
    }
}

TEST(CallHeaders, BoundsTheSharedPartsOfAPrompt)
{
    std::string list;
    for (int number = 0; number < 5000; ++number)
        list += absl::StrCat(absl::Hex(number), ":1,");
    const PromptParts prompt = promptOf({list + "ffff:1"});
    EXPECT_EQ(prompt.sharedParts.size(), kMaxSharedParts);
    EXPECT_EQ(prompt.sharedParts.back(), "3f");
    EXPECT_TRUE(prompt.isTruncated);
    EXPECT_FALSE(prompt.isMalformed);
}

RC_GTEST_PROP(CallHeaders, DecodesAnyListOfParts, (const std::vector<std::string> &lists))
{
    const PromptParts prompt = promptOf(lists);
    RC_ASSERT(prompt.sharedParts.size() <= kMaxSharedParts);
    for (const std::string &id : prompt.sharedParts) {
        RC_ASSERT(!id.empty() && id.size() <= kMaxPartIdLength);
        RC_ASSERT(id.find_first_not_of("0123456789abcdef") == std::string::npos);
    }
}

TEST(CallHeaders, OverridesGatewayHeadersSentByTheCaller)
{
    ForwardedCall call;
    call.server = BackendServerId("i-7");
    call.deadline = absl::Milliseconds(1234);
    call.customer = "depot";
    call.helpers = {{"10.0.0.1:80", "t1"}, {"10.0.0.2:80", ""}};
    const std::string text = encodeForwardedCall(callerHead(), 4, call);
    EXPECT_TRUE(text.starts_with("POST /a/b?q=1 HTTP/1.1\r\n"));
    EXPECT_TRUE(text.ends_with("\r\n\r\n"));
    EXPECT_NE(text.find("Expect-Instance: i-7\r\n"), std::string::npos);
    EXPECT_NE(text.find("Tenant: depot\r\n"), std::string::npos);
    EXPECT_NE(text.find("Deadline-Ms: 1234\r\n"), std::string::npos);
    EXPECT_NE(text.find("Helpers: 10.0.0.1:80/t1,10.0.0.2:80\r\n"), std::string::npos);
    EXPECT_NE(text.find("X-Custom: kept\r\n"), std::string::npos);
    EXPECT_NE(text.find("Content-Length: 4\r\n"), std::string::npos);
    EXPECT_EQ(text.find("forged"), std::string::npos);
    EXPECT_EQ(text.find("secret"), std::string::npos);
    EXPECT_EQ(text.find("X-Hop"), std::string::npos);
    EXPECT_EQ(text.find("Connection"), std::string::npos);
}

TEST(CallHeaders, DistinguishesRejectionsFromOtherResponses)
{
    ResponseHead head;
    head.status = 503;
    EXPECT_FALSE(decodeServerReply(head).notRun);
    head.headers.add("Not-Executed", "1");
    head.headers.add("At-Server", "10.0.0.2:80");
    EXPECT_TRUE(decodeServerReply(head).notRun);
    EXPECT_EQ(decodeServerReply(head).faultyServer, "10.0.0.2:80");
    ResponseHead misdirected;
    misdirected.status = 421;
    EXPECT_TRUE(decodeServerReply(misdirected).notRun);
    // Regression: calls kept going to addresses whose servers were gone, because the rejection did
    // not count against any server.
    EXPECT_TRUE(decodeServerReply(misdirected).isMisdirected);
    EXPECT_FALSE(decodeServerReply(head).isMisdirected);
}

TEST(CallHeaders, DecodesTheBackpressureOfAServer)
{
    struct Case
    {
        int status;
        std::vector<std::string> values;
        absl::Duration pause;
        bool isMalformed;
    };
    const std::vector<Case> cases = {
        {503, {}, absl::ZeroDuration(), false},
        {503, {"2"}, absl::Seconds(2), false},
        {503, {"0.25"}, absl::Milliseconds(250), false},
        {503, {"0"}, absl::ZeroDuration(), false},
        {503, {"-1"}, absl::ZeroDuration(), true},
        {503, {""}, absl::ZeroDuration(), true},
        {503, {"soon"}, absl::ZeroDuration(), true},
        {503, {"2 s"}, absl::ZeroDuration(), true},
        {503, {"nan"}, absl::ZeroDuration(), true},
        {503, {"1e999"}, absl::InfiniteDuration(), false},
        {503, {"Fri, 04 Dec 2026 12:00:00 GMT"}, absl::ZeroDuration(), true},
        {503, {"1", "3", "2"}, absl::Seconds(3), false},
        {503, {"1", "never"}, absl::Seconds(1), true},
        // Only a server that rejects a call can request a pause.
        {200, {"2"}, absl::ZeroDuration(), false},
    };
    for (const Case &entry : cases) {
        ResponseHead head;
        head.status = entry.status;
        for (const std::string &value : entry.values)
            head.headers.add("retry-after", value);
        const ServerReply reply = decodeServerReply(head);
        EXPECT_EQ(reply.requestedPause, entry.pause) << testing::PrintToString(entry.values);
        EXPECT_EQ(reply.isRetryAfterMalformed, entry.isMalformed)
            << testing::PrintToString(entry.values);
    }
    ResponseHead leaving;
    leaving.status = 200;
    EXPECT_FALSE(decodeServerReply(leaving).isDraining);
    leaving.headers.add("Server-Leaving", "1");
    EXPECT_TRUE(decodeServerReply(leaving).isDraining);
    // The response comes from another server than the one that was called.
    leaving.status = 421;
    EXPECT_FALSE(decodeServerReply(leaving).isDraining);
}

TEST(CallHeaders, DecodesTheRateLimitOfAServer)
{
    struct Case
    {
        std::vector<std::string> values;
        std::optional<double> limit;
        bool isMalformed;
    };
    const std::vector<Case> cases = {
        {{}, std::nullopt, false},       {{"1.9"}, 1.9, false},
        {{"0.25"}, 0.25, false},         {{"0"}, 0.0, false},
        {{"12"}, 12.0, false},           {{"1e1"}, 10.0, false},
        {{"99999999"}, 1e6, false},      {{"-1"}, std::nullopt, true},
        {{"nan"}, std::nullopt, true},   {{"inf"}, std::nullopt, true},
        {{"1e999"}, std::nullopt, true}, {{""}, std::nullopt, true},
        {{"few"}, std::nullopt, true},   {{"2 a second"}, std::nullopt, true},
        {{"1,9"}, std::nullopt, true},   {{"3", "1.5", "2"}, 1.5, false},
        {{"3", "few"}, 3.0, true},
    };
    for (const int status : {200, 429, 500, 503}) {
        for (const Case &entry : cases) {
            ResponseHead head;
            head.status = status;
            for (const std::string &value : entry.values)
                head.headers.add("server-limit", value);
            const ServerReply reply = decodeServerReply(head);
            EXPECT_EQ(reply.rateLimit, entry.limit) << testing::PrintToString(entry.values);
            EXPECT_EQ(reply.isRateLimitMalformed, entry.isMalformed)
                << testing::PrintToString(entry.values);
        }
    }
    // The response comes from another server than the one that was called.
    ResponseHead misdirected;
    misdirected.status = 421;
    misdirected.headers.add("Server-Limit", "2");
    EXPECT_EQ(decodeServerReply(misdirected).rateLimit, std::nullopt);
}

// Such values overflowed where load, memory and times are added up.
TEST(CallHeaders, BoundsNumbersOfCallersAndServers)
{
    struct Case
    {
        std::string text;
        std::optional<absl::Duration> time;
        std::int64_t count;
    };
    const std::string longest = "9223372036854775807";
    const std::vector<Case> cases = {
        {"12", absl::Milliseconds(12), 12},
        {"0", absl::ZeroDuration(), 0},
        {"2.5", absl::Microseconds(2500), 0},
        {"-1", std::nullopt, 0},
        {"-" + longest, std::nullopt, 0},
        {"", std::nullopt, 0},
        {"soon", std::nullopt, 0},
        {"nan", std::nullopt, 0},
        {"-inf", std::nullopt, 0},
        {"inf", absl::Hours(24), 0},
        {"1e999", absl::Hours(24), 0},
        {longest, absl::Hours(24), 1000000000},
        {"99999999999999999999", absl::Hours(24), 0},
        {std::string(4000, '9'), absl::Hours(24), 0},
    };
    for (const Case &entry : cases) {
        RequestHead request;
        request.headers.add("Deadline-Ms", entry.text);
        request.headers.add("Token-Usage", entry.text + "," + entry.text);
        const CallHeaders call = decodeCallHeaders(request.headers);
        EXPECT_EQ(call.deadline, entry.time) << entry.text;
        EXPECT_EQ(call.promptTokens, entry.count) << entry.text;
        EXPECT_EQ(call.maxAnswerTokens, entry.count) << entry.text;
        ResponseHead response;
        response.headers.add("Cold-Ms", entry.text);
        response.headers.add("Worker-Load", entry.text + "," + entry.text + ",8");
        const ServerReply reply = decodeServerReply(response);
        EXPECT_EQ(reply.coldLeft, entry.time) << entry.text;
        EXPECT_EQ(reply.outstanding.value_or(0), 2 * entry.count) << entry.text;
    }
}

TEST(CallHeaders, DecodesLoadAndSignature)
{
    ResponseHead head;
    head.status = 200;
    head.headers.add("Response-Seal", "s");
    head.headers.add("Attempt-Id", "id-1");
    head.headers.add("Worker-Load", "3,2,8");
    head.headers.add("Content-Type", "text/event-stream");
    const ServerReply reply = decodeServerReply(head);
    EXPECT_TRUE(reply.isSigned && reply.hasCallId && reply.isEventStream);
    EXPECT_EQ(reply.outstanding, 5);
}

} // namespace
} // namespace foxtailtally::platform
