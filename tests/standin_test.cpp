#include "core/lock.h"
#include "peers/engine/engine_client.h"
#include "peers/engine/http_engine_server.h"
#include "peers/platform/platform_client.h"
#include "peers/service/service_client.h"
#include "standins/lib/balancer_standin.h"
#include "standins/lib/engine_standin.h"
#include "standins/lib/platform_standin.h"
#include "standins/lib/service_standin.h"
#include "standins/lib/token_text.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <atomic>
#include <gtest/gtest.h>

namespace foxtailtally {

namespace {

constexpr const char *kToken = "secret";

/** Polls @p condition; the limit of 3000 polls only ends a test that would hang. */
template <typename F>
bool eventually(F condition)
{
    for (int i = 0; i < 3000; ++i) {
        if (condition()) {
            return true;
        }
        absl::SleepFor(absl::Milliseconds(10));
    }
    return false;
}

/** Compares every token with the simulated answer to the prompt. */
class AnswerChecker final : public CompletionListener
{
public:
    explicit AnswerChecker(const std::string &prompt)
        : key(answerKeyOf(prompt))
    { }
    void onToken(std::int64_t offset, std::string_view text) override
    {
        this->wrong += text == tokenText(this->key, offset) ? 0 : 1;
        ++this->tokens;
    }
    void onDone(const CompletionEnd &value) override
    {
        this->end = value;
        this->isDone = true;
    }

    std::uint64_t key;
    std::atomic<int> tokens {0};
    std::atomic<int> wrong {0};
    CompletionEnd end;
    std::atomic<bool> isDone {false};
};

/** Starts a platform stand-in; provides clients for it and for the other stand-ins. */
class StandinTest : public testing::Test
{
protected:
    void SetUp() override
    {
        auto started =
            PlatformStandin::start({{"127.0.0.1", 0, kToken}, this->limits, absl::ZeroDuration()});
        ASSERT_TRUE(started.ok());
        this->platform = std::move(*started);
        this->access.url = absl::StrCat("http://", this->platform->address());
        this->access.token = kToken;
        this->client.emplace(this->http, this->access);
    }

    std::unique_ptr<EngineStandin> startEngine(const std::string &id,
                                               const EngineOptionsBuilder &model)
    {
        InstanceEntry entry;
        entry.id = id;
        entry.group = GroupId("g");
        entry.model = ModelId("m");
        EngineStandinOptionsBuilder builder;
        builder.setListen({"127.0.0.1", 0, kToken})
            .setEntry(entry)
            .setEngine(*model.build())
            .setPlatform(this->access)
            .setRestartAfter(absl::Milliseconds(200));
        auto engine = EngineStandin::start(*builder.build());
        EXPECT_TRUE(engine.ok());
        EXPECT_TRUE(eventually([&] { return this->entryOf(id).has_value(); }));
        return std::move(*engine);
    }

    std::optional<InstanceEntry> entryOf(const std::string &id)
    {
        const Result<std::vector<InstanceEntry>> list = this->client->instances();
        for (const InstanceEntry &entry : list.ok() ? list.value() : std::vector<InstanceEntry>()) {
            if (entry.id == id) {
                return entry;
            }
        }
        return std::nullopt;
    }

    HttpEngineServer serverOf(const Standin &engine)
    {
        return HttpEngineServer(this->http, engine.address(), kToken);
    }

    /** Runs a completion to its end. */
    std::shared_ptr<AnswerChecker> complete(const Standin &engine, CompletionRequest request)
    {
        auto checker = std::make_shared<AnswerChecker>(request.prompt);
        request.model = request.model.isEmpty() ? ModelId("m") : request.model;
        this->serverOf(engine).startCompletion(request, checker);
        EXPECT_TRUE(eventually([&] { return checker->isDone.load(); }));
        return checker;
    }

    static CompletionRequest requestOf(const std::string &id, const std::string &prompt)
    {
        CompletionRequest request;
        request.id = RequestId(id);
        request.prompt = prompt;
        request.maxTokens = 20;
        return request;
    }

    int injectFault(const Standin &standin, const nlohmann::json &fault)
    {
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat("http://", standin.address(), "/admin/fault");
        call.headers = {absl::StrCat("Authorization: Bearer ", kToken)};
        call.body = fault.dump();
        const Result<HttpReply> reply = this->http->perform(call);
        return reply.ok() ? reply->status : 0;
    }

    nlohmann::json stats(const Standin &standin)
    {
        HttpCall call;
        call.url = absl::StrCat("http://", standin.address(), "/admin/stats");
        call.headers = {absl::StrCat("Authorization: Bearer ", kToken)};
        const Result<HttpReply> reply = this->http->perform(call);
        return reply.ok() ? nlohmann::json::parse(reply->body) : nlohmann::json::object();
    }

    static EngineOptionsBuilder fastEngine()
    {
        EngineOptionsBuilder builder;
        builder.setSpeed(50).setColdRequests(0).setEventDelay(absl::ZeroDuration());
        return builder;
    }

    PlatformLimits limits;
    std::shared_ptr<HttpClient> http = std::make_shared<HttpClient>(2);
    std::unique_ptr<PlatformStandin> platform;
    PlatformAccess access;
    std::optional<PlatformClient> client;
};

} // namespace

// Guards against answers that are mixed up, incomplete, or different after a resume on another
// engine.
TEST_F(StandinTest, EnginesGiveTheSameAnswerAndResumeAtAnOffset)
{
    const auto first = this->startEngine("e1", fastEngine());
    const auto second = this->startEngine("e2", fastEngine());
    const std::string prompt(20000, 'p');
    const auto whole = this->complete(*first, requestOf("r1", prompt));
    EXPECT_FALSE(whole->end.error);
    EXPECT_EQ(whole->tokens, 20);
    EXPECT_EQ(whole->wrong, 0);
    CompletionRequest rest = requestOf("r1", prompt);
    rest.resumeOffset = 15;
    const auto resumed = this->complete(*second, rest);
    EXPECT_EQ(resumed->tokens, 5);
    EXPECT_EQ(resumed->wrong, 0);
    EXPECT_EQ(resumed->end.nextOffset, 20);
    EXPECT_EQ(this->complete(*first, requestOf("r2", prompt))->end.cachedTokens,
              20000 / 1280 * kPrefixBlockTokens);
    EXPECT_TRUE(this->entryOf("e1")->backendServer().memoryTokens == 400000);

    HttpEngineServer server = this->serverOf(*first);
    const Result<EngineCachePage> page = server.cacheEvents(0);
    ASSERT_TRUE(page.ok());
    CacheEventTracker tracker(1000);
    EXPECT_TRUE(tracker.apply(1, *page));
    EXPECT_EQ(tracker.knownBlocks(), 20000U / 1280);
    EXPECT_TRUE(eventually([&] {
        const Result<LoadReport> report = server.load();
        return report.ok() && report->cachedBlocks == 20000 / 1280 && report->heldTokens == 0;
    }));
}

TEST_F(StandinTest, EngineRefusalsAndDeathsAreReported)
{
    auto model = fastEngine();
    model.setMemoryTokens(1000).setCacheTokens(0);
    const auto engine = this->startEngine("e1", model);
    CompletionRequest request = requestOf("r1", "hello");
    request.model = ModelId("other");
    const auto unknown = this->complete(*engine, request);
    EXPECT_EQ(unknown->end.error, Error::ModelNotLoaded);
    EXPECT_TRUE(unknown->end.isNotRun);
    EXPECT_EQ(this->complete(*engine, requestOf("r2", std::string(6000, 'x')))->end.error,
              Error::RequestTooLarge);
    request = requestOf("r3", "hello");
    request.reservation = "none";
    EXPECT_EQ(this->complete(*engine, request)->end.error, Error::ReservationUnknown);

    const Incarnation before = this->entryOf("e1")->incarnation;
    const auto killed = this->complete(*engine, requestOf("r4", "a <<poison>> b"));
    EXPECT_EQ(killed->end.error, Error::ConnectionLost);
    EXPECT_FALSE(killed->end.isNotRun);
    EXPECT_TRUE(eventually([&] { return this->entryOf("e1")->incarnation > before; }));
    EXPECT_EQ(this->stats(*engine)["deaths"]["poisonous_prompt"], 1);
    EXPECT_FALSE(this->complete(*engine, requestOf("r5", "hello"))->end.error);
}

TEST_F(StandinTest, EnginesCancelOnDisconnectAndServeLongContextsWithReservations)
{
    auto model = fastEngine();
    model.setMemoryTokens(2000).setCacheTokens(0).setSpeed(1);
    const auto first = this->startEngine("e1", model);
    const auto second = this->startEngine("e2", model);
    HttpEngineServer firstServer = this->serverOf(*first);
    HttpEngineServer secondServer = this->serverOf(*second);
    CompletionRequest request = requestOf("r1", std::string(12000, 'x'));
    request.maxTokens = 1500;
    request.model = ModelId("m");
    request.reservation = "v1";
    const EngineMemoryHold hold {"v1", InstanceId("i"), 1900, absl::Minutes(1)};
    EXPECT_FALSE(secondServer.reserve(hold));
    EXPECT_EQ(secondServer.reserve({"v2", InstanceId("i"), 200, absl::Minutes(1)}),
              Error::ServerOverloaded);
    EXPECT_EQ(secondServer.reservations()->size(), 1U);

    const auto running = std::make_shared<AnswerChecker>(request.prompt);
    const CompletionId id = firstServer.startCompletion(request, running);
    EXPECT_TRUE(eventually([&] { return running->tokens > 0; }));
    const Result<EngineMemoryHold> exported =
        firstServer.exportContext(request.id, InstanceId("i"), absl::Minutes(1));
    EXPECT_EQ(exported.error(), Error::ServerOverloaded);
    firstServer.cancel(id);
    EXPECT_TRUE(eventually([&] { return this->stats(*first)["held_tokens"] == 0; }));
    EXPECT_TRUE(eventually([&] { return running->isDone.load(); }));
    EXPECT_EQ(running->end.error, Error::RequestCancelled);

    request.id = RequestId("r2");
    const auto cut = std::make_shared<AnswerChecker>(request.prompt);
    firstServer.startCompletion(request, cut);
    EXPECT_TRUE(eventually([&] { return cut->tokens > 0; }));
    EXPECT_FALSE(secondServer.freeReservation("v1"));
    EXPECT_TRUE(eventually([&] { return cut->isDone.load(); }));
    EXPECT_EQ(cut->end.error, Error::ConnectionLost);
    EXPECT_EQ(cut->wrong, 0);
    EXPECT_EQ(this->stats(*first)["held_tokens"], 0);
}

// Guards against exported contexts that keep memory on the source engine after a move.
TEST_F(StandinTest, ExportedContextsMoveBetweenEnginesAndFreeTheirMemory)
{
    const auto first = this->startEngine("e1", fastEngine().setSpeed(1));
    const auto second = this->startEngine("e2", fastEngine().setSpeed(1));
    EngineClient engines([this](const std::string &address) {
        return std::make_shared<HttpEngineServer>(this->http, address, kToken);
    });
    const std::shared_ptr<EngineServer> source = engines.at(first->address());
    EXPECT_EQ(source, engines.at(first->address()));
    CompletionRequest request = requestOf("r1", std::string(3000, 'x'));
    request.model = ModelId("m");
    request.maxTokens = 100'000;
    const auto running = std::make_shared<AnswerChecker>(request.prompt);
    const CompletionId id = source->startCompletion(request, running);
    EXPECT_TRUE(eventually([&] { return running->tokens > 0; }));
    const Result<EngineMemoryHold> hold =
        source->exportContext(request.id, InstanceId("i"), absl::Minutes(1));
    ASSERT_TRUE(hold.ok());
    EXPECT_GT(hold->tokens, 600);
    EXPECT_EQ(source->exports()->size(), 1U);
    EXPECT_FALSE(engines.at(second->address())->importContext(*hold, request.id));
    EXPECT_EQ(this->stats(*second)["held_tokens"], hold->tokens);
    source->cancel(id);
    EXPECT_FALSE(source->freeExport(hold->id));
    EXPECT_FALSE(source->freeExport(hold->id));
    EXPECT_TRUE(eventually([&] { return this->stats(*first)["held_tokens"] == 0; }));
    EXPECT_TRUE(source->exports()->empty());
    request.maxTokens = 20;
    EXPECT_EQ(this->complete(*second, request)->wrong, 0);
    EXPECT_EQ(this->stats(*second)["held_tokens"], 0);
}

TEST_F(StandinTest, CommandsWithStaleFencesAreRejectedIfChecked)
{
    auto unchecked = fastEngine();
    unchecked.setChecksFence(false);
    const auto strict = this->startEngine("e1", fastEngine());
    const auto lax = this->startEngine("e2", unchecked);
    const auto order = [this](const Standin &engine, std::uint64_t fence) {
        return this->serverOf(engine).command({EngineCommand::Kind::LoadModel, "m2", "1", fence});
    };
    EXPECT_FALSE(order(*strict, 5).error);
    EXPECT_EQ(order(*strict, 4).error, Error::FenceRejected);
    EXPECT_EQ(order(*strict, 4).currentFence, 5U);
    EXPECT_FALSE(order(*lax, 5).error);
    EXPECT_FALSE(order(*lax, 4).error);
}

// Guards against a write whose response is lost being reported as failed or as committed.
TEST_F(StandinTest, PlatformWritesReportTheirOutcome)
{
    const WriteReply made = this->client->put("a/1", "x", kAbsentVersion);
    EXPECT_EQ(made.outcome, WriteOutcome::Committed);
    const WriteReply conflict = this->client->put("a/1", "y", kAbsentVersion);
    EXPECT_EQ(conflict.outcome, WriteOutcome::NotWritten);
    EXPECT_EQ(conflict.error, Error::StoreConflict);
    EXPECT_EQ(conflict.version, made.version);

    this->injectFault(*this->platform, {{"kind", "answer_lost"}, {"method", "PUT"}, {"count", 1}});
    const WriteReply lost = this->client->put("a/1", "z", made.version);
    EXPECT_EQ(lost.outcome, WriteOutcome::Unknown);
    EXPECT_EQ(this->client->get("a/1")->value, "z");
    this->injectFault(*this->platform, {{"kind", "drop"}, {"method", "PUT"}, {"count", 1}});
    EXPECT_EQ(this->client->put("a/1", "q", lost.version).outcome, WriteOutcome::Unknown);
    EXPECT_EQ(this->client->get("a/1")->value, "z");

    EXPECT_EQ(this->client->put("b", std::string(kMaxObjectBytes + 1, 'x'), kAbsentVersion).error,
              Error::StoreValueTooLarge);
    EXPECT_EQ(this->client->put("b", "\xff", kAbsentVersion).error, Error::RequestMalformed);
    this->injectFault(*this->platform, {{"kind", "outage"}});
    EXPECT_EQ(this->client->put("b", "x", kAbsentVersion).error, Error::StoreUnavailable);
    EXPECT_EQ(this->client->get("a/1").error(), Error::StoreUnavailable);
    this->injectFault(*this->platform, {{"kind", "none"}});
    const std::uint64_t version = this->client->get("a/1")->version;
    EXPECT_EQ(this->client->remove("a/1", version).outcome, WriteOutcome::Committed);
    EXPECT_GT(this->client->put("a/1", "x", kAbsentVersion).version, version);
    PlatformAccess wrong = this->access;
    wrong.token = "guess";
    EXPECT_EQ(PlatformClient(this->http, wrong).get("a/1").error(), Error::Unauthorized);
}

TEST_F(StandinTest, PlatformListsWatchesAndLimits)
{
    const std::string large(400'000, 'x');
    for (int i = 0; i < 5; ++i) {
        this->client->put(absl::StrCat("l/", i), large, kAbsentVersion);
    }
    this->client->put("m", "x", kAbsentVersion);
    const Result<std::vector<StoredObject>> listed = this->client->list("l/");
    ASSERT_TRUE(listed.ok());
    EXPECT_EQ(listed->size(), 5U);

    Thread writer("writer", [this] {
        eventually([&] { return this->stats(*this->platform)["pending_watches"] == 1; });
        this->client->put("w", "new", kAbsentVersion);
    });
    const auto seen = this->client->watch("w", kAbsentVersion, absl::Seconds(50));
    writer.join();
    ASSERT_TRUE(seen.ok() && seen->has_value());
    EXPECT_EQ((*seen)->value, "new");
    EXPECT_FALSE(this->client->watch("w", (*seen)->version, absl::Milliseconds(20))->has_value());

    InstanceEntry entry;
    entry.id = "i1";
    EXPECT_FALSE(this->client->registerInstance(entry));
    this->injectFault(*this->platform, {{"kind", "set_leaving"}, {"id", "i1"}});
    EXPECT_TRUE(this->entryOf("i1")->isLeaving);
    this->injectFault(*this->platform, {{"kind", "list_lag"}, {"lag_ms", 60000}});
    EXPECT_FALSE(this->entryOf("i1").has_value());
    int limited = 0;
    for (int i = 0; i < 200; ++i) {
        limited += this->client->fetchWeights(ModelId("m")) == Error::RateLimited ? 1 : 0;
    }
    EXPECT_GT(limited, 0);
}

// Guards against reporting an action as not run although it ran.
TEST_F(StandinTest, ServicesCountRunsAndCheckFences)
{
    const auto start = [this](bool checks) {
        InstanceEntry entry;
        entry.id = checks ? "checked" : "plain";
        entry.service = "crew";
        entry.checksFence = checks;
        ServiceStandinOptionsBuilder builder;
        builder.setListen({"127.0.0.1", 0, kToken}).setEntry(entry).setPlatform(this->access);
        return ServiceStandin::start(*builder.build()).value();
    };
    const auto checked = start(true);
    auto plain = start(false);
    const ServiceClient service(this->http, kToken);
    ServiceCall call;
    call.address = checked->address();
    call.name = "assign";
    call.key = "k";
    call.body = "b";
    call.fence = 3;
    EXPECT_EQ(service.runAction(call).result, "assign:k:b");
    const ServiceReply stale = service.runAction(call);
    EXPECT_EQ(stale.error, Error::FenceRejected);
    EXPECT_FALSE(stale.mayHaveRun);
    EXPECT_EQ(this->stats(*checked)["runs"]["k"], 1);

    call.address = plain->address();
    this->injectFault(*plain, {{"kind", "answer_lost"}, {"count", 1}});
    EXPECT_TRUE(service.runAction(call).mayHaveRun);
    EXPECT_EQ(this->stats(*plain)["runs"]["k"], 1);
    EXPECT_EQ(service.query(call).result, "assign:b");
    plain.reset();
    const ServiceReply refused = service.runAction(call);
    EXPECT_EQ(refused.error, Error::ConnectionFailed);
    EXPECT_FALSE(refused.mayHaveRun);
}

TEST_F(StandinTest, BalancerRotatesOverReadyBackends)
{
    std::atomic<bool> isReady {true};
    std::vector<std::unique_ptr<HttpServer>> entries;
    std::vector<std::string> addresses;
    for (const char *name : {"a", "b"}) {
        auto server = HttpServer::start({}, [&, name](const std::shared_ptr<HttpExchange> &call) {
            HttpResponse response;
            const bool isHealth = call->request().path == "/health/ready";
            response.status = isHealth && *name == 'b' && !isReady ? 503 : 200;
            response.body = isHealth ? "" : name + call->request().body;
            call->respond(response);
        });
        ASSERT_TRUE(server.ok());
        addresses.push_back(absl::StrCat("127.0.0.1:", (*server)->port()));
        entries.push_back(std::move(*server));
    }
    auto balancer = BalancerStandin::start({"127.0.0.1", 0, absl::Milliseconds(20)}, addresses);
    ASSERT_TRUE(balancer.ok());
    const std::string large(3'000'000, 'x');
    const auto ask = [&] {
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat("http://127.0.0.1:", (*balancer)->port(), "/");
        call.headers = {"Connection: close"};
        call.body = large;
        const Result<HttpReply> reply = this->http->perform(call);
        return reply.ok() && reply->body.size() == large.size() + 1 ? reply->body.substr(0, 1)
                                                                    : std::string();
    };
    EXPECT_TRUE(eventually([&] {
        const std::string first = ask();
        const std::string second = ask();
        return !first.empty() && !second.empty() && first != second;
    }));
    isReady = false;
    EXPECT_TRUE(eventually([&] { return ask() + ask() + ask() == "aaa"; }));
}

} // namespace foxtailtally
