#include "servers/admission/cold_start_ramp.h"

#include "core/random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

LoadReport reportOf(bool isWarm, std::int64_t running, std::int64_t blocks)
{
    LoadReport report;
    report.warm = isWarm;
    report.running = running;
    report.cachedBlocks = blocks;
    return report;
}

} // namespace

// Guards against a limit that rises without a success, leaves its range, or does not return to the
// cold limit when the server becomes cold.
TEST(ColdStartRampTest, RisesByOneSuccessAtMostAndFallsToCold)
{
    EXPECT_TRUE(rc::check([] {
        Random random(*rc::gen::inRange<std::uint64_t>(0, 1U << 30));
        ColdStartRamp ramp(2, 20);
        RC_ASSERT(ramp.limit() == 2);
        ramp.onReport(reportOf(true, 0, 1000));
        int slow = 0;
        for (int i = 0; i < 200; ++i) {
            const std::int64_t before = ramp.limit();
            const bool isSlow = random.below(4) == 0;
            slow = isSlow ? slow + 1 : 0;
            ramp.onSuccess(isSlow, static_cast<std::int64_t>(random.below(20)));
            RC_ASSERT(ramp.limit() >= 2 && ramp.limit() <= std::min<std::int64_t>(before + 1, 20));
            // Earlier slow first tokens count too, so fewer than three in a row may reach the
            // threshold.
            RC_ASSERT(slow < 3 || ramp.limit() == 2);
            RC_ASSERT(slow > 0 || ramp.limit() >= before);
        }
        const auto fall = random.below(3);
        if (fall == 0)
            ramp.reset();
        else
            ramp.onReport(reportOf(fall == 1, 20, fall == 1 ? 10 : 1000));
        RC_ASSERT(ramp.limit() == 2);
    }));
}

// Guards against a new owner that limits a busy warm server to its cold limit.
TEST(ColdStartRampTest, StartsFromWhatAWarmServerRuns)
{
    ColdStartRamp ramp(2, 20);
    ramp.onReport(reportOf(true, 15, 1000));
    EXPECT_EQ(ramp.limit(), 15);
    ramp.onReport(reportOf(false, 15, 1000));
    EXPECT_EQ(ramp.limit(), 2);
}

} // namespace foxtailtally
