#include "peers/caller/completion_call.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

using nlohmann::json;

CompletionDefaults defaults()
{
    CompletionDefaults values;
    values.timeLimits = {absl::Seconds(10), absl::Seconds(60), absl::Seconds(300)};
    return values;
}

/** Random JSON value whose objects use the member names that the parser looks up. */
json anyValue(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 7 : 5)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::element<std::string>("text", "user", "plough", "");
    case 4:
        return *rc::gen::arbitrary<double>();
    case 5: {
        json list = json::array();
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
            list.push_back(anyValue(depth - 1));
        return list;
    }
    default: {
        json object = json::object();
        for (const char *name : {"model", "messages", "role", "content", "type", "text", "stream",
                                 "max_tokens", "adapter"}) {
            if (*rc::gen::arbitrary<bool>())
                object[name] = anyValue(depth - 1);
        }
        return object;
    }
    }
}

} // namespace

TEST(CompletionCallTest, ReadsMessagesHeadersAndDefaults)
{
    HttpRequest request;
    request.headers = {{"x-request-class", "urgent"}, {"x-deadline-ms", "1500"}};
    const auto parsed = parseCompletionCall(
        request,
        R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]},)"
        R"({"role":"user","content":"b"}],"stream":true,"max_tokens":7})",
        defaults());
    ASSERT_TRUE(std::holds_alternative<CompletionCall>(parsed));
    const auto &call = std::get<CompletionCall>(parsed);
    EXPECT_EQ(call.prompt, "a\nb");
    EXPECT_EQ(call.maxTokens, 7);
    EXPECT_TRUE(call.isStreamed);
    EXPECT_EQ(call.requestClass, RequestClass::Urgent);
    EXPECT_EQ(call.timeLimit, absl::Milliseconds(1500));
}

// Guards against a request body that terminates the process: members of unexpected types used to
// throw.
TEST(CompletionCallTest, AnyBodyGivesACallOrATypedError)
{
    EXPECT_TRUE(rc::check("any JSON body", [] {
        // Well-formed down to a random level, below which any value may occur.
        const json part = *rc::gen::arbitrary<bool>()
            ? anyValue(2)
            : json(json::object({{"type", anyValue(1)}, {"text", anyValue(1)}}));
        const json content = *rc::gen::arbitrary<bool>() ? anyValue(2) : json(json::array({part}));
        const json message = *rc::gen::arbitrary<bool>()
            ? anyValue(2)
            : json(json::object({{"role", "user"}, {"content", content}}));
        const json body = {{"model", "m"},
                           {"messages", json::array({message})},
                           {"stream", anyValue(1)},
                           {"max_tokens", anyValue(1)}};
        const bool isWhole = *rc::gen::arbitrary<bool>();
        const std::string text = (isWhole ? body : anyValue(4)).dump();
        const auto parsed = parseCompletionCall({}, text, defaults());
        if (const auto *error = std::get_if<CallerError>(&parsed))
            RC_ASSERT(error->status == 400);
    }));
    EXPECT_TRUE(rc::check("any bytes", [](const std::string &text) {
        (void)parseCompletionCall({}, text, defaults());
    }));
}

} // namespace foxtailtally
