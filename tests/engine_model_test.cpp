#include "standins/lib/engine_model.h"

#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

EngineOptions smallOptions(std::int64_t coldLimit, std::int64_t memory)
{
    return *EngineOptionsBuilder()
                .setMemoryTokens(memory)
                .setCacheTokens(1024)
                .setColdLimit(coldLimit)
                .setColdRequests(3)
                .setWarmLimit(4)
                .setQueueLimit(3)
                .setPrefillChunkTokens(300)
                .build();
}

/**
 * Drives an engine with random calls and compares it with a simple reference model of the memory it
 * must hold. run() returns the first difference as text; empty if there is none.
 */
class EngineReferenceModel
{
public:
    EngineReferenceModel(std::uint64_t seed, const EngineOptions &actual,
                         const EngineOptions &stated)
        : random(seed)
        , stated(stated)
        , engine(BackendServerId("e"), 1, actual, this->now)
    { }

    std::string run(int steps)
    {
        for (int i = 0; i < steps && this->problem.empty(); ++i) {
            this->step();
        }
        return this->problem;
    }

    int deaths = 0;

private:
    struct Expected
    {
        std::int64_t prompt = 0;
        std::int64_t maximum = 0;
        std::int64_t next = 0;
        std::int64_t onOtherEngines = 0;

        std::int64_t memory() const
        {
            return std::max<std::int64_t>(0, this->prompt + this->next - this->onOtherEngines);
        }
    };

    std::int64_t expectedHeld() const
    {
        std::int64_t total = 0;
        for (const auto &[id, entry] : this->requests) {
            total += entry.memory();
        }
        for (const auto &[id, hold] : this->holds) {
            total += hold.second > this->now ? hold.first : 0;
        }
        return total;
    }

    void expect(bool condition, const std::string &text)
    {
        if (!condition && this->problem.empty()) {
            this->problem = text;
        }
    }

    void step()
    {
        this->now += absl::Milliseconds(static_cast<std::int64_t>(this->random.below(60)));
        std::vector<EngineAction> actions;
        this->engine.advance(this->now, actions);
        this->apply(actions);
        switch (this->random.below(8)) {
        case 0:
        case 1:
        case 2:
            this->submit();
            break;
        case 3:
            this->cancel();
            break;
        case 4:
            this->hold();
            break;
        case 5:
            if (this->random.below(10) == 0) {
                this->engine.turnCold(this->now);
                this->served = 0;
            }
            break;
        default:
            break;
        }
        if (!this->engine.isAlive()) {
            this->engine.restart(this->now);
            this->served = 0;
        }
        this->expect(this->engine.heldTokens() == this->expectedHeld(), "held memory differs");
        this->expect(this->engine.heldTokens() >= 0, "held memory is negative");
        this->expect(this->engine.heldTokens() <= this->stated.memoryTokens,
                     "held memory exceeds the capacity");
        this->expect(this->engine.cachedBlocks() * kPrefixBlockTokens + this->engine.heldTokens()
                         <= this->stated.memoryTokens,
                     "prefix cache uses held memory");
        this->expect(this->engine.isWarm() == (this->served >= this->stated.coldRequests),
                     "warm state differs");
    }

    void submit()
    {
        EngineRequest request;
        request.id = RequestId(std::to_string(++this->lastId));
        request.promptTokens = static_cast<std::int64_t>(this->random.below(2000));
        request.maxNewTokens = static_cast<std::int64_t>(this->random.below(40));
        request.resumeOffset = static_cast<std::int64_t>(this->random.below(5));
        request.tokensOnOtherEngines = this->random.below(10) == 0 ? 1500 : 0;
        for (std::int64_t i = 0; i < request.promptTokens / kPrefixBlockTokens; ++i) {
            request.prefixBlocks.push_back(static_cast<std::uint64_t>(i));
        }
        Expected entry {request.promptTokens, request.maxNewTokens,
                        std::min(request.resumeOffset, request.maxNewTokens),
                        request.tokensOnOtherEngines};
        const bool cold = this->served < this->stated.coldRequests;
        const std::size_t count = this->requests.size() + 1;
        const bool tooLong =
            request.promptTokens + request.maxNewTokens - request.tokensOnOtherEngines
            > this->stated.memoryTokens;
        const bool full = !cold && this->engine.queued() >= this->stated.queueLimit;
        std::optional<EngineDeathCause> fatal;
        if (this->expectedHeld() + entry.memory() > this->stated.memoryTokens) {
            fatal = EngineDeathCause::MemoryExceeded;
        } else if (cold && static_cast<std::int64_t>(count) > this->stated.coldLimit) {
            fatal = EngineDeathCause::ColdOverload;
        }
        std::vector<EngineAction> actions;
        const EngineSubmitResult result = this->engine.submit(request, this->now, actions);
        if (tooLong) {
            this->expect(result == EngineSubmitResult::TooLong,
                         "engine accepted a context that is too long");
        } else if (full) {
            this->expect(result == EngineSubmitResult::Overloaded,
                         "engine accepted a request with a full queue");
        } else {
            this->expect((result == EngineSubmitResult::Dead) == fatal.has_value(),
                         "crash on submit does not match the limits");
            this->requests[request.id] = entry;
        }
        this->apply(actions, fatal);
    }

    void cancel()
    {
        if (this->requests.empty()) {
            return;
        }
        const RequestId id = this->requests.begin()->first;
        this->expect(this->engine.cancel(id, this->now),
                     "cancelled request was unknown to the engine");
        this->requests.erase(id);
    }

    void hold()
    {
        const std::string id = std::to_string(this->random.below(3));
        const auto tokens = static_cast<std::int64_t>(this->random.below(1500));
        const absl::Time expires = this->now + absl::Milliseconds(1 + this->random.below(500));
        const bool known = this->holds.contains(id) && this->holds[id].second > this->now;
        const std::int64_t replaced = known ? this->holds[id].first : 0;
        const bool fits = this->expectedHeld() - replaced + tokens <= this->stated.memoryTokens;
        const std::error_code error = this->engine.reserve({id, "o", tokens, expires}, this->now);
        this->expect(!error == fits, "reservation result does not match the free memory");
        if (!error) {
            this->holds[id] = {tokens, expires};
        }
    }

    void apply(const std::vector<EngineAction> &actions,
               std::optional<EngineDeathCause> fatal = std::nullopt)
    {
        for (const EngineAction &action : actions) {
            if (const auto *token = std::get_if<TokenProduced>(&action)) {
                const auto entry = this->requests.find(token->request);
                if (entry == this->requests.end()) {
                    this->expect(false, "token of an unknown request");
                    continue;
                }
                this->expect(token->offset == entry->second.next, "offset repeated or skipped");
                ++entry->second.next;
            } else if (const auto *finished = std::get_if<RequestFinished>(&action)) {
                const auto entry = this->requests.find(finished->request);
                this->expect(entry != this->requests.end()
                                 && entry->second.next == entry->second.maximum,
                             "request finished before its answer was complete");
                this->requests.erase(finished->request);
                ++this->served;
            } else if (const auto *death = std::get_if<EngineDied>(&action)) {
                ++this->deaths;
                const absl::Time at = death->at;
                std::int64_t total = 0;
                for (const auto &[id, entry] : this->requests) {
                    total += entry.memory();
                }
                for (const auto &[id, hold] : this->holds) {
                    total += hold.second > at ? hold.first : 0;
                }
                this->expect(fatal.has_value() ? death->cause == *fatal
                                               : death->cause == EngineDeathCause::MemoryExceeded
                                     && total > this->stated.memoryTokens,
                             "engine crashed for the wrong cause");
                this->requests.clear();
                this->holds.clear();
            }
        }
    }

    Random random;
    EngineOptions stated;
    absl::Time now = absl::UnixEpoch();
    EngineModel engine;
    std::map<RequestId, Expected> requests;
    std::map<std::string, std::pair<std::int64_t, absl::Time>> holds;
    std::int64_t served = 0;
    int lastId = 0;
    std::string problem;
};

} // namespace

// Guards against a simulated engine whose actual limits differ from its stated ones, which would
// falsify all results about admission.
TEST(EngineModelTest, HoldsMemoryAndDiesExactlyAtItsLimits)
{
    EXPECT_TRUE(rc::check([] {
        const EngineOptions options = smallOptions(2, 4000);
        EngineReferenceModel reference(*rc::gen::arbitrary<std::uint64_t>(), options, options);
        RC_ASSERT(reference.run(150) == "");
        RC_CLASSIFY(reference.deaths > 0, "died");
    }));
}

// Checks that the reference model detects an engine whose cold limit or memory is slightly larger
// than stated.
TEST(EngineModelTest, ReferenceModelDetectsWrongLimits)
{
    int coldFound = 0;
    int memoryFound = 0;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        const EngineOptions stated = smallOptions(2, 4000);
        coldFound +=
            !EngineReferenceModel(seed, smallOptions(3, 4000), stated).run(150).empty() ? 1 : 0;
        memoryFound +=
            !EngineReferenceModel(seed, smallOptions(2, 4400), stated).run(150).empty() ? 1 : 0;
    }
    EXPECT_GT(coldFound, 40);
    EXPECT_GT(memoryFound, 10);
}

TEST(EngineModelTest, StepTimesGrowWithContextAndUrgentRequestsRunFirst)
{
    const auto firstTokenAt = [](std::int64_t prompt, RequestClass priority) {
        const EngineOptions options =
            *EngineOptionsBuilder().setMemoryTokens(2'000'000).setColdRequests(0).build();
        EngineModel engine(BackendServerId("e"), 1, options, absl::UnixEpoch());
        std::vector<EngineAction> actions;
        EngineRequest other;
        other.id = RequestId("other");
        other.promptTokens = 100'000;
        other.maxNewTokens = 1;
        engine.submit(other, absl::UnixEpoch(), actions);
        EngineRequest request = other;
        request.id = RequestId("measured");
        request.promptTokens = prompt;
        request.priority = priority;
        engine.submit(request, absl::UnixEpoch(), actions);
        engine.advance(absl::UnixEpoch() + absl::Hours(1), actions);
        for (const EngineAction &action : actions) {
            const auto *token = std::get_if<TokenProduced>(&action);
            if (token != nullptr && token->request == request.id) {
                return token->at - absl::UnixEpoch();
            }
        }
        return absl::InfiniteDuration();
    };
    const absl::Duration urgent = firstTokenAt(1000, RequestClass::Urgent);
    EXPECT_LT(urgent, absl::Milliseconds(300));
    EXPECT_GT(firstTokenAt(1000, RequestClass::Batch), absl::Seconds(5));
    // If the cost per token did not grow with the context, ten times the prompt would take at most
    // ten times as long.
    EXPECT_GT(firstTokenAt(1'000'000, RequestClass::Urgent),
              firstTokenAt(100'000, RequestClass::Urgent) * 15);
}

TEST(EngineModelTest, ReportsLagAndContextsCanBeExported)
{
    const EngineOptions options = *EngineOptionsBuilder().setColdRequests(0).build();
    const absl::Time start = absl::UnixEpoch();
    EngineModel engine(BackendServerId("e"), 7, options, start);
    std::vector<EngineAction> actions;
    EngineRequest request;
    request.id = RequestId("a");
    request.promptTokens = 5000;
    request.maxNewTokens = 1000;
    engine.submit(request, start, actions);
    engine.advance(start + absl::Milliseconds(600), actions);
    EXPECT_EQ(engine.load(start + absl::Milliseconds(600)).running, 0);
    engine.advance(start + absl::Seconds(2), actions);
    const LoadReport report = engine.load(start + absl::Seconds(2));
    EXPECT_EQ(report.running, 1);
    EXPECT_GE(report.age, options.reportLag);
    EXPECT_LT(report.age, options.reportLag + options.reportInterval);

    const absl::Time now = start + absl::Seconds(2);
    const Result<EngineHold> hold =
        engine.exportContext(request.id, "owner", now + absl::Seconds(1), now);
    ASSERT_TRUE(hold.ok());
    EXPECT_GE(hold->tokens, 5000);
    EngineModel receiver(BackendServerId("f"), 1, options, now);
    EXPECT_FALSE(receiver.importContext({"a", "owner", hold->tokens, hold->expires}, now));
    std::vector<EngineAction> received;
    receiver.submit(request, now, received);
    receiver.advance(now + absl::Milliseconds(20), received);
    // Without the import the prefill alone would take 250 ms.
    EXPECT_FALSE(received.empty());
    const std::int64_t held = engine.heldTokens();
    engine.advance(now + absl::Seconds(1), actions);
    EXPECT_TRUE(engine.exports(now + absl::Seconds(1)).empty());
    EXPECT_LT(engine.heldTokens(), held);
}

} // namespace foxtailtally
