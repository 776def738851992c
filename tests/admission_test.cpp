#include "servers/admission/fifo_admission.h"
#include "servers/admission/group_admission.h"
#include "tests/admission_model.h"
#include "tests/faulty_admission.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

template <typename Policy>
std::unique_ptr<AdmissionPolicy> make(const AdmissionOptions &options)
{
    return std::make_unique<Policy>(options);
}

using Words = std::vector<std::uint32_t>;

rc::Gen<Words> anyWords()
{
    return rc::gen::container<Words>(rc::gen::inRange<std::uint32_t>(0, 1U << 30));
}

/** Runs the commands and returns the first violated rule, or empty. */
std::string runCommands(const PolicyFactory &factory, const Words &words, int earlierRequests,
                        bool checksLongPrompts = true)
{
    AdmissionModelOptions options;
    options.checksLongPrompts = checksLongPrompts;
    options.servers = 1 + static_cast<int>(words.size() % 5);
    options.earlierRequests = earlierRequests;
    options.coldLimit = words.size() % 2 == 0 ? 2 : 8;
    AdmissionModel model(factory, options, words.size());
    for (const std::uint32_t word : words)
        model.apply(word);
    model.drain();
    return model.violation();
}

/** A full server loses a third of its entry instances while requests wait for memory. */
std::string runInstanceDeath(const PolicyFactory &factory, std::uint64_t seed)
{
    AdmissionModelOptions options;
    options.servers = 1;
    options.coldLimit = options.warmLimit;
    options.cancelDelay = absl::Seconds(20);
    AdmissionModel model(factory, options, seed);
    model.advance(absl::Seconds(3));
    for (int i = 0; i < 60; ++i) {
        model.reserve(RequestClass::Normal, 25000, 400, absl::Minutes(2));
        if (i == 10)
            model.advance(absl::Seconds(2));
        if (i == 10)
            model.killInstance(0);
        model.advance(absl::Milliseconds(200));
    }
    model.drain();
    return model.violation();
}

struct FaultCase
{
    AdmissionFault fault;
    /** Prefix of the violation that must be reported. */
    std::string_view rule;
};

constexpr FaultCase kFaultCases[] = {
    {AdmissionFault::LosesReleases, "left over"},
    {AdmissionFault::FreesDeadAtOnce, "memory of"},
    {AdmissionFault::DoublesMemory, "memory of"},
    {AdmissionFault::IgnoresSuspects, "two suspects"},
    {AdmissionFault::IgnoresCold, "requests on"},
    {AdmissionFault::IgnoresEarlierOwner, "memory of"},
    {AdmissionFault::IgnoresReadyAt, "grant before"},
    {AdmissionFault::IgnoresStop, "grant while"},
    {AdmissionFault::AnswersTwice, "second answer"},
    {AdmissionFault::LosesRefusals, "no answer"},
};

} // namespace

// Guards against grants beyond the memory or concurrency limit of a server, two suspects on one
// server, missing, late or repeated replies, and memory that stays held after all requests have
// ended. Servers restart, entry instances die, grants are lost, requests are cancelled and limits
// shrink.
TEST(AdmissionTest, KeepsLimitsAndAnswersOnce)
{
    EXPECT_TRUE(rc::check([] {
        const std::string broken =
            runCommands(make<GroupAdmission>, *anyWords(), *rc::gen::element(0, 0, 10));
        if (!broken.empty())
            RC_FAIL(broken);
    }));
}

// Guards against freeing memory that engines still hold for a dead entry instance.
TEST(AdmissionTest, KeepsMemoryOfDeadInstances)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed)
        EXPECT_EQ(runInstanceDeath(make<GroupAdmission>, seed), "") << "seed " << seed;
}

// Checks that the rules above can fail: each fault must violate its rule.
TEST(AdmissionTest, RulesNoticeFaults)
{
    constexpr std::uint64_t kRuns = 300;
    constexpr int kCommands = 100;
    for (const FaultCase &item : kFaultCases) {
        const auto factory = [&](const AdmissionOptions &options) {
            return std::make_unique<FaultyAdmission>(options, item.fault);
        };
        std::uint64_t caught = 0;
        for (std::uint64_t seed = 0; seed < kRuns; ++seed) {
            Random random(seed);
            Words words;
            for (int i = 0; i < kCommands + static_cast<int>(seed % 5); ++i)
                words.push_back(static_cast<std::uint32_t>(random.below(1U << 30)));
            const std::string broken = item.fault == AdmissionFault::FreesDeadAtOnce
                ? runInstanceDeath(factory, seed)
                : runCommands(factory, words, seed % 2 == 0 ? 0 : 10);
            caught += broken.starts_with(item.rule) ? 1 : 0;
        }
        EXPECT_GT(caught, 0U) << "fault " << static_cast<int>(item.fault);
        std::cout << "fault " << static_cast<int>(item.fault) << " caught in " << caught << " of "
                  << kRuns << " runs: " << item.rule << "\n";
    }
}

// Guards against a baseline that looks better in comparisons because it exceeds the limits. It may
// violate only the rule for long prompts, and the check of that rule must detect it.
TEST(AdmissionTest, FifoKeepsLimitsAndAnswersOnce)
{
    int longPrompts = 0;
    EXPECT_TRUE(rc::check([&] {
        const Words words = *anyWords();
        const int earlier = *rc::gen::element(0, 0, 10);
        const std::string broken = runCommands(make<FifoAdmission>, words, earlier, false);
        if (!broken.empty())
            RC_FAIL(broken);
        longPrompts +=
            runCommands(make<FifoAdmission>, words, earlier).starts_with("long prompts on");
    }));
    EXPECT_GT(longPrompts, 0);
    std::cout << "long prompts on too many servers in " << longPrompts << " runs\n";
}

} // namespace foxtailtally
