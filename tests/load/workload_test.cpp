#include "load/workload/trace.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

std::vector<TracedRequest> traceOf(std::string_view deployment, std::uint64_t seed, double rate,
                                   RateShape shape = RateShape::Steady)
{
    return generateTrace(*TraceOptionsBuilder()
                              .setDeployment(deployment)
                              .setRate(rate)
                              .setLength(absl::Minutes(10))
                              .setShape(shape)
                              .setSeed(seed)
                              .build());
}

std::size_t commonBlocks(const TracedRequest &a, const TracedRequest &b)
{
    const auto &left = a.profile.prefixBlocks;
    const auto &right = b.profile.prefixBlocks;
    return static_cast<std::size_t>(
        std::mismatch(left.begin(), left.end(), right.begin(), right.end()).first - left.begin());
}

} // namespace

// Guards against comparisons of policies on traces that differ, and against traces that lack the
// stated mix: one model request in fifty above 100,000 tokens, repeated requests and periods
// without load.
TEST(WorkloadTest, TraceIsReproducibleAndHasTheStatedMix)
{
    for (const std::string_view name : deploymentNames()) {
        const auto trace = traceOf(name, 7, 40);
        const auto again = traceOf(name, 7, 40);
        ASSERT_EQ(trace.size(), again.size());
        const Deployment &deployment = *findDeployment(name);
        double modelRequests = 0;
        double longPrompts = 0;
        int repeats = 0;
        for (std::size_t i = 0; i < trace.size(); ++i) {
            ASSERT_EQ(trace[i].profile.fingerprint, again[i].profile.fingerprint);
            ASSERT_EQ(trace[i].sendAt, again[i].sendAt);
            ASSERT_TRUE(i == 0 || trace[i - 1].sendAt <= trace[i].sendAt);
            ASSERT_GE(trace[i].profile.promptTokens, 1000);
            ASSERT_LE(trace[i].profile.promptTokens, 1'000'000);
            const TracedRequest &original = trace[trace[i].original];
            ASSERT_EQ(trace[i].profile.fingerprint, original.profile.fingerprint);
            repeats += trace[i].original != i ? 1 : 0;
            const bool isModel = deployment.kinds[trace[i].kind].service.empty();
            modelRequests += isModel ? 1 : 0;
            longPrompts += trace[i].profile.promptTokens > 100'000 ? 1 : 0;
        }
        EXPECT_NEAR(longPrompts / modelRequests, 0.02, 0.004);
        EXPECT_GT(repeats, 0);
        for (const TracedRequest &request : traceOf(name, 7, 40, RateShape::Surge))
            ASSERT_GE(request.sendAt, absl::Seconds(200));
    }
    EXPECT_EQ(TraceOptionsBuilder().setDeployment("unknown").build().error(),
              Error::SettingsInvalid);
}

// Guards against prompts whose texts share more or less than their block hashes: the prefix cache
// would then be measured on hits that no engine has.
TEST(WorkloadTest, PromptsShareTextExactlyAsFarAsBlocks)
{
    const auto trace = traceOf("himrekha", 3, 4);
    EXPECT_TRUE(rc::check("shared prefixes", [&](std::uint32_t first, std::uint32_t second) {
        const TracedRequest &a = trace[first % trace.size()];
        const TracedRequest &b = trace[second % trace.size()];
        const std::string left = promptText(a);
        const std::string right = promptText(b);
        RC_ASSERT(left.size() == static_cast<std::size_t>(a.profile.promptTokens) * 5);
        const std::size_t shared = commonBlocks(a, b);
        const std::size_t bytes = shared * kPrefixBlockTokens * 5;
        RC_ASSERT(left.substr(0, bytes) == right.substr(0, bytes));
        const bool bothGoOn =
            std::min(a.profile.prefixBlocks.size(), b.profile.prefixBlocks.size()) > shared;
        RC_ASSERT(!bothGoOn || left.substr(bytes, 1280) != right.substr(bytes, 1280));
    }));
}

} // namespace foxtailtally
