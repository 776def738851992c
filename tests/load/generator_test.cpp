#include "core/random.h"
#include "load/generator/answer_check.h"
#include "load/generator/load_generator.h"
#include "peers/caller/caller_replies.h"
#include "peers/http/http_server.h"
#include "standins/lib/token_text.h"

#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

constexpr std::uint64_t kKey = 99;
const RequestId kId("r");
const ModelId kModel("m");

/** Events of a complete answer of @p tokens tokens, the end included. */
std::vector<std::string> answerEvents(std::uint64_t key, std::int64_t tokens)
{
    std::vector<std::string> events;
    for (std::int64_t i = 0; i < tokens; ++i)
        events.push_back(tokenEvent(kId, kModel, i, tokenText(key, i)));
    events.push_back(finishEvents(kId, kModel, tokens));
    return events;
}

/** Feeds @p events in pieces of random size. */
AnswerCheck checkOf(const std::vector<std::string> &events, std::int64_t tokens, Random &random)
{
    AnswerCheck check(kKey, tokens);
    std::string text;
    for (const std::string &event : events)
        text += event;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t size = 1 + random.below(40);
        check.feed(std::string_view(text).substr(at, size));
        at += size;
    }
    return check;
}

/** How the test server replies to a request; it goes through the values in turn. */
enum class Reply { Whole, OtherAnswer, Gap, Cut, Refused, UntrueRefusal };
constexpr int kReplies = 6;

void respond(const std::shared_ptr<HttpExchange> &exchange, Reply reply)
{
    const nlohmann::json body = nlohmann::json::parse(exchange->takeBody());
    if (!body.contains("messages")) {
        exchange->respond({200, "application/json", {}, R"({"result": "done"})"});
        return;
    }
    if (reply == Reply::Refused) {
        exchange->respond(
            refusalResponse({RefusalReason::DeadlineUnreachable, true, absl::Seconds(1)}));
        return;
    }
    const auto prompt = body["messages"][0]["content"].get<std::string>();
    const std::uint64_t key = answerKeyOf(prompt) + (reply == Reply::OtherAnswer ? 1 : 0);
    std::vector<std::string> events = answerEvents(key, body["max_tokens"].get<std::int64_t>());
    if (reply == Reply::Gap)
        events.erase(events.begin() + 1);
    const auto writer = exchange->startStream(streamHead());
    for (std::size_t i = 0; i < events.size(); ++i) {
        if (i == 3 && reply == Reply::UntrueRefusal) {
            writer->write("data: {\"error\": {\"type\": \"server_lost\", \"not_run\": true}}\n\n");
            break;
        }
        if (i == 3 && reply == Reply::Cut) {
            writer->abort();
            return;
        }
        writer->write(events[i]);
    }
    writer->close();
}

} // namespace

// Guards against faults of a stream that the load generator misses, and against intact streams that
// it reports as faulty, whatever pieces they arrive in.
TEST(GeneratorTest, CheckFindsEveryFaultOfAStream)
{
    EXPECT_TRUE(rc::check("answer check", [](std::uint64_t seed) {
        Random random(seed);
        const auto tokens = static_cast<std::int64_t>(2 + random.below(12));
        const std::vector<std::string> intact = answerEvents(kKey, tokens);
        RC_ASSERT(checkOf(intact, tokens, random).isComplete());
        std::vector<std::string> events = intact;
        const std::size_t at = random.below(events.size() - 1);
        switch (random.below(5)) {
        case 0:
            events.erase(events.begin() + static_cast<std::ptrdiff_t>(at));
            break;
        case 1:
            events.insert(events.begin() + static_cast<std::ptrdiff_t>(at), events[at]);
            break;
        case 2:
            events[at] = tokenEvent(kId, kModel, static_cast<std::int64_t>(at),
                                    tokenText(kKey + 1, static_cast<std::int64_t>(at)));
            break;
        case 3:
            events.pop_back();
            break;
        default:
            std::swap(events[at], events[at + 1]);
        }
        const AnswerCheck check = checkOf(events, tokens, random);
        RC_ASSERT(!check.isComplete());
        RC_ASSERT(events.size() < intact.size() || check.hasGap() || check.hasMixUp()
                  || check.isMalformed());
    }));
}

// Guards against wrong counts of a whole run over HTTP, with a server that produces each fault.
TEST(GeneratorTest, RunCountsWhatTheServerDid)
{
    std::mutex mutex;
    std::map<Reply, std::int64_t> sent;
    int number = 0;
    auto server = HttpServer::start({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        Reply reply = Reply::Whole;
        if (exchange->request().path == "/v1/chat/completions") {
            const std::lock_guard<std::mutex> lock(mutex);
            reply = static_cast<Reply>(number++ % kReplies);
            ++sent[reply];
        }
        respond(exchange, reply);
    });
    ASSERT_TRUE(server.ok());
    GeneratorOptions options;
    options.entries = {"http://127.0.0.1:" + std::to_string((*server)->port())};
    options.trace = *TraceOptionsBuilder()
                         .setDeployment("fotocheck")
                         .setRate(100)
                         .setLength(absl::Seconds(1))
                         .setPromptScale(0.01)
                         .build();
    const std::vector<LoadRecord> records = LoadGenerator(options).run();
    const LoadSummary summary = summarize(records);
    EXPECT_EQ(summary.requests, static_cast<std::int64_t>(generateTrace(options.trace).size()));
    EXPECT_EQ(summary.mixUps, sent[Reply::OtherAnswer]);
    EXPECT_EQ(summary.gaps, sent[Reply::Gap]);
    EXPECT_EQ(summary.untrueRefusals, sent[Reply::UntrueRefusal]);
    EXPECT_EQ(summary.outcomes.at("cut"), sent[Reply::Cut]);
    EXPECT_EQ(summary.reasons.at("deadline_unreachable"), sent[Reply::Refused]);
    EXPECT_FALSE(summary.isFaultless());
}

} // namespace foxtailtally
