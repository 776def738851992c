#include "servers/retry/retry_after_policy.h"

#include "load/returns/retry_after_trial.h"

#include <cstdio>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

RefusedCall refused(absl::Duration reopensAfter, absl::Duration usefulFor, double callsPerSecond)
{
    return {"service", kNow + reopensAfter, kNow + usefulFor, callsPerSecond};
}

TEST(SpacedRetryAfter, AsksForNoRetryBeforeTheServersReopen)
{
    SpacedRetryAfter policy;
    const RefusedCall call = refused(absl::Seconds(2), absl::Seconds(30), 20);
    EXPECT_EQ(policy.retryAfter(call, kNow), absl::Seconds(2));
    // Further callers follow at half of the usual rate.
    EXPECT_EQ(policy.retryAfter(call, kNow), absl::Milliseconds(2100));
    EXPECT_EQ(policy.retryAfter(call, kNow), absl::Milliseconds(2200));
}

TEST(SpacedRetryAfter, AsksForNoWaitOnceTheServersHaveReopened)
{
    SpacedRetryAfter policy;
    EXPECT_EQ(policy.retryAfter(refused(absl::Seconds(-1), absl::Seconds(1), 1), kNow),
              absl::ZeroDuration());
}

struct Figures
{
    double servedShare = 0;
    double refusedAgain = 0;
    double meanMs = 0;
    double p95Ms = 0;
};

/** Mean over several seeds. */
Figures runTrials(const char *name, const RetryAfterTrialSetup &setup,
                  const RetryAfterPolicyFactory &policy)
{
    constexpr int kSeeds = 5;
    Figures figures;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const RetryAfterTrialResult result = runRetryAfterTrial(setup, policy, seed);
        figures.servedShare += static_cast<double>(result.served) / result.asked / kSeeds;
        figures.refusedAgain += static_cast<double>(result.refusedAgain) / kSeeds;
        figures.meanMs += result.meanMs / kSeeds;
        figures.p95Ms += result.p95Ms / kSeeds;
    }
    std::printf("%-12s load %.2f served %.4f refused again %.1f mean %.0f ms p95 %.0f ms\n", name,
                setup.load, figures.servedShare, figures.refusedAgain, figures.meanMs,
                figures.p95Ms);
    return figures;
}

// All servers shed load at the same time; callers that retry together are refused again.
TEST(RetryAfterTrial, SpacedRetriesAreRefusedAgainLeast)
{
    for (const double load : {0.6, 0.8, 0.95}) {
        RetryAfterTrialSetup setup;
        setup.load = load;
        const Figures atEnd = runTrials("at the end", setup, [] { return makeRetryAtReopening(); });
        std::uint64_t seed = 0;
        const Figures random =
            runTrials("in a second", setup, [&seed] { return makeRetryWithJitter(++seed); });
        const Figures urgent =
            runTrials("urgent first", setup, [] { return makeRetryUrgentFirst(); });
        const Figures spaced =
            runTrials("spaced", setup, [] { return std::make_unique<SpacedRetryAfter>(); });
        for (const Figures &other : {atEnd, random, urgent}) {
            EXPECT_LE(spaced.refusedAgain, other.refusedAgain);
            EXPECT_GE(spaced.servedShare, other.servedShare);
        }
    }
}

} // namespace
} // namespace foxtailtally
