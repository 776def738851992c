#include "servers/admission/fifo_admission.h"
#include "servers/admission/group_admission.h"
#include "tests/admission_model.h"
#include "tests/faulty_admission.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

constexpr std::int64_t kMemory = 100000;

template <typename Policy>
std::unique_ptr<AdmissionPolicy> make(const AdmissionOptions &options)
{
    return std::make_unique<Policy>(options);
}

std::unique_ptr<AdmissionPolicy> makeStarving(const AdmissionOptions &options)
{
    return std::make_unique<FaultyAdmission>(options, AdmissionFault::StarvesBatch);
}

AdmissionModelOptions warmGroup(int servers)
{
    AdmissionModelOptions options;
    options.servers = servers;
    options.memoryTokens = kMemory;
    options.coldLimit = options.warmLimit;
    return options;
}

std::int64_t between(Random &random, std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(high - low)));
}

/**
 * Urgent requests that use about 60% of the memory all the time, and some batch requests with long
 * deadlines; returns the number of batch requests that were not granted.
 */
int ungrantedBatch(const PolicyFactory &factory, std::uint64_t seed)
{
    Random random(seed);
    const int servers = static_cast<int>(between(random, 1, 5));
    AdmissionModel model(factory, warmGroup(servers), seed);
    model.advance(absl::Seconds(3));
    std::vector<std::size_t> batch;
    // Each urgent request holds 8,200 tokens for about 5 s: 4.4 s of service and the messages.
    const absl::Duration gap = absl::Seconds(5.0 * 8200 / (0.6 * kMemory * servers));
    for (absl::Duration time; time < absl::Minutes(4); time += gap) {
        if (time < absl::Minutes(1) && random.below(40) == 0)
            batch.push_back(model.reserve(RequestClass::Batch, between(random, 1000, 60000), 100,
                                          absl::Minutes(3)));
        model.reserve(RequestClass::Urgent, 8000, 200, absl::Seconds(30));
        model.advance(gap);
    }
    model.advance(absl::Minutes(1));
    return static_cast<int>(std::count_if(batch.begin(), batch.end(), [&](std::size_t index) {
        return !model.records()[index].isGranted;
    }));
}

/**
 * Two to four contexts larger than one server, at nearly the same time, alongside short requests;
 * returns the number of contexts that were not granted.
 */
int ungrantedContexts(const PolicyFactory &factory, std::uint64_t seed)
{
    Random random(seed);
    const int servers = static_cast<int>(between(random, 2, 7));
    AdmissionModel model(factory, warmGroup(servers), seed);
    model.advance(absl::Seconds(3));
    std::vector<std::size_t> contexts;
    const auto count = static_cast<std::size_t>(between(random, 2, 5));
    for (int step = 0; step < 400 * servers; ++step) {
        if (contexts.size() < count && step % 7 == 0)
            contexts.push_back(
                model.reserve(static_cast<RequestClass>(random.below(3)),
                              between(random, 12, 10 * servers - 4) * kMemory / 10 - 1000, 100,
                              absl::Minutes(5)));
        // About a fifth of the memory: 2,000 tokens for 2 s, every 200 ms on each server.
        model.reserve(RequestClass::Urgent, 1900, 100, absl::Seconds(10));
        model.advance(absl::Milliseconds(200) / servers);
    }
    model.advance(absl::Minutes(5));
    return static_cast<int>(std::count_if(contexts.begin(), contexts.end(), [&](std::size_t index) {
        return !model.records()[index].isGranted;
    }));
}

/** Replies to short requests, with or without a context that gathers memory it cannot get. */
std::vector<RequestRecord> shortAnswers(const PolicyFactory &factory, std::uint64_t seed,
                                        bool hasContext)
{
    Random random(seed);
    const int servers = static_cast<int>(between(random, 2, 6));
    AdmissionModelOptions options = warmGroup(servers);
    // Ticks at the same times in both runs; otherwise a waiting context would add ticks.
    options.tickInterval = absl::Milliseconds(50);
    AdmissionModel model(factory, options, seed);
    model.advance(absl::Seconds(3));
    // One request on each server blocks the context for a minute.
    for (int i = 0; i < servers; ++i)
        model.reserve(RequestClass::Normal, 30000, 3000, absl::Minutes(4));
    model.advance(absl::Seconds(1));
    // In the run without a waiting context, one that is refused at once sends the same messages.
    const std::size_t context =
        model.reserve(RequestClass::Urgent, servers * kMemory * 9 / 10, 100,
                      hasContext ? absl::Minutes(5) : absl::Milliseconds(300));
    for (int step = 0; step < 200; ++step) {
        model.reserve(static_cast<RequestClass>(random.below(3)), between(random, 500, 20000),
                      between(random, 10, 200), absl::Seconds(20));
        model.advance(absl::Milliseconds(between(random, 20, 300)));
    }
    EXPECT_EQ(model.records()[context].answeredAt == absl::InfiniteFuture(), hasContext);
    model.advance(absl::Seconds(10));
    std::vector<RequestRecord> answers(model.records());
    answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(context));
    return answers;
}

int delayedByGather(const PolicyFactory &factory, std::uint64_t seed)
{
    const std::vector<RequestRecord> without = shortAnswers(factory, seed, false);
    const std::vector<RequestRecord> with = shortAnswers(factory, seed, true);
    int different = 0;
    for (std::size_t i = 0; i < without.size(); ++i) {
        different += without[i].answeredAt != with[i].answeredAt
            || without[i].servers != with[i].servers || without[i].refused != with[i].refused;
    }
    return different;
}

/**
 * Fills a group until a request is refused because of its deadline, then lets it drain and tries
 * again after the time named in each refusal; returns the number of tries until it is granted.
 */
int triesUntilGranted(const PolicyFactory &factory, std::uint64_t seed)
{
    Random random(seed);
    const int servers = static_cast<int>(between(random, 1, 6));
    AdmissionModel model(factory, warmGroup(servers), seed);
    model.advance(absl::Seconds(3));
    // A moderate load first, so that the policy can measure the rates.
    for (int i = 0; i < 60 * servers; ++i) {
        model.reserve(RequestClass::Normal, between(random, 2000, 12000), 200, absl::Minutes(1));
        model.advance(absl::Milliseconds(between(random, 500, 1500)) / servers);
    }
    const absl::Duration budget = absl::Seconds(between(random, 8, 40));
    for (int i = 0; i < 2000; ++i) {
        const std::size_t index =
            model.reserve(RequestClass::Normal, between(random, 2000, 12000), 200, budget);
        model.advance(absl::Milliseconds(between(random, 20, 200)) / servers);
        if (model.records()[index].refused != RefusalReason::None)
            break;
    }
    const std::size_t last = model.records().size() - 1;
    absl::Duration wait = model.records()[last].retryAfter;
    const std::int64_t prompt = model.records()[last].request.profile.promptTokens;
    for (int tries = 1; tries < 100; ++tries) {
        model.advance(wait);
        const std::size_t index = model.reserve(RequestClass::Normal, prompt, 200, budget);
        // An immediate reply takes at most one message delay.
        model.advance(absl::Milliseconds(200));
        if (model.records()[index].refused == RefusalReason::None) {
            model.advance(budget);
            if (model.records()[index].isGranted)
                return tries;
        }
        wait = model.records()[index].retryAfter;
    }
    return 100;
}

bool holdsForAll(int (*property)(const PolicyFactory &, std::uint64_t),
                 const PolicyFactory &factory)
{
    return rc::check([&] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30);
        const int found = property(factory, seed);
        if (found != 0)
            RC_FAIL("seed " + std::to_string(seed) + ": " + std::to_string(found));
    });
}

} // namespace

// Guards against starvation of batch requests, including large ones, by a steady urgent load that
// leaves 40% of the memory free.
TEST(AdmissionSchedulingTest, BatchIsNotStarved)
{
    EXPECT_TRUE(holdsForAll(ungrantedBatch, make<GroupAdmission>));
    EXPECT_GT(ungrantedBatch(makeStarving, 1), 0);
}

// Guards against a deadlock of two contexts that each hold servers which the other needs.
TEST(AdmissionSchedulingTest, LongContextsDoNotBlockEachOther)
{
    EXPECT_TRUE(holdsForAll(ungrantedContexts, make<GroupAdmission>));
}

// Guards against short requests that wait for memory gathered for a long context. The FIFO baseline
// makes them wait, so the check must detect it.
TEST(AdmissionSchedulingTest, GatherDelaysNoShortRequest)
{
    EXPECT_TRUE(holdsForAll(delayedByGather, make<GroupAdmission>));
    EXPECT_GT(delayedByGather(make<FifoAdmission>, 1), 0);
}

// Guards against retry times that do not estimate the queue delay: with a short constant time the
// same callers need many more tries.
TEST(AdmissionSchedulingTest, RetryAfterIsAnEstimate)
{
    const auto makeConstant = [](const AdmissionOptions &options) {
        return std::make_unique<FaultyAdmission>(options, AdmissionFault::ConstantRetryAfter);
    };
    int estimated = 0;
    int constant = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        estimated += triesUntilGranted(make<GroupAdmission>, seed);
        constant += triesUntilGranted(makeConstant, seed);
    }
    EXPECT_LT(2 * estimated, constant);
    std::cout << estimated << " tries, " << constant << " with a constant time\n";
}

} // namespace foxtailtally
