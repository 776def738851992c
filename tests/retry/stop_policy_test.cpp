#include "servers/retry/stop_policy.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

// Guards against requests on busy connections that were still accepted almost four seconds after
// the stop signal and then truncated when the process ended.
TEST(StopPolicy, TakesNoRequestThatItMightTruncate)
{
    StopPolicy policy(absl::Seconds(8));
    EXPECT_TRUE(policy.mayTakeRequests(kNow));
    EXPECT_FALSE(policy.isStopping());
    policy.begin(kNow);
    EXPECT_TRUE(policy.isStopping());
    EXPECT_TRUE(policy.mayTakeRequests(kNow + absl::Seconds(2)));
    EXPECT_FALSE(policy.mayTakeRequests(kNow + absl::Seconds(3)));
    EXPECT_TRUE(policy.closesIdle(kNow + absl::Seconds(3)));
    EXPECT_GT(policy.endsAt(), kNow + absl::Seconds(7));
    EXPECT_LT(policy.endsAt(), kNow + absl::Seconds(8));
}

TEST(StopPolicy, CountsFromTheFirstSignal)
{
    StopPolicy policy(absl::Seconds(8));
    policy.begin(kNow);
    policy.begin(kNow + absl::Seconds(5));
    EXPECT_LT(policy.endsAt(), kNow + absl::Seconds(8));
}

TEST(StopPolicy, BoundsNothingBeforeTheSignal)
{
    const StopPolicy policy(absl::Seconds(8));
    EXPECT_TRUE(policy.maySend(absl::Hours(1), kNow));
    EXPECT_EQ(policy.answersBy(), absl::InfiniteFuture());
}

// Guards against long streams that were taken in a stop as if only their first event mattered.
TEST(StopPolicy, ExpectsAStreamToTakeAPassForEachOfItsEvents)
{
    Route route;
    route.objective = absl::Seconds(1);
    route.kind = CallKind::Streaming;
    Service service;
    service.isEngine = true;
    service.engine.stepMs = 1.5;
    service.engine.stepsPerPass = 20;
    CallDemand demand;
    demand.route = &route;
    demand.service = &service;
    EXPECT_EQ(expectedCallTime(demand), absl::Seconds(1));
    demand.answerTokens = 1000;
    EXPECT_EQ(expectedCallTime(demand), absl::Milliseconds(2500));
    demand.answerTokens = 1001;
    EXPECT_EQ(expectedCallTime(demand), absl::Milliseconds(2530));
    service.isEngine = false;
    EXPECT_EQ(expectedCallTime(demand), absl::Seconds(1));
}

/** A call that arrives while an instance stops, and the time that its server takes. */
struct StopArrival
{
    absl::Time at;
    absl::Duration expected;
    absl::Duration service;
    /** Time until the call could be sent: its body arrives, or no server is free. */
    absl::Duration wait;
    absl::Duration timeout;
};

StopArrival anyArrival(absl::Duration limit)
{
    const auto time = [](absl::Duration longest) {
        return absl::Milliseconds(
            *rc::gen::inRange<std::int64_t>(0, absl::ToInt64Milliseconds(longest)));
    };
    StopArrival call;
    call.at = kNow + time(limit);
    call.expected = time(absl::Seconds(20));
    call.service = *rc::gen::arbitrary<bool>() ? call.expected : time(absl::Seconds(20));
    call.wait = time(absl::Seconds(4));
    call.timeout = time(absl::Seconds(20));
    return call;
}

// Guards against calls that were sent to a server late in a stop and had no answer when the process
// was killed, and against refusals of calls that a stopping instance could have served.
RC_GTEST_PROP(StopPolicy, AnswersEachCallBeforeTheKillAndSendsNoneThatCannotEnd, ())
{
    const absl::Duration limit = absl::Milliseconds(*rc::gen::inRange<std::int64_t>(1000, 20000));
    StopPolicy policy(limit);
    policy.begin(kNow);
    const auto count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
        const StopArrival call = anyArrival(limit);
        const absl::Time completeAt = call.at + call.wait;
        const absl::Time due = std::min(call.at + call.timeout, policy.answersBy());
        const bool isSent = completeAt < due && policy.mayTakeRequests(completeAt)
            && policy.maySend(call.expected, completeAt);
        RC_ASSERT(due < kNow + limit);
        if (!isSent) {
            const bool fits = completeAt + call.expected <= kNow + limit - absl::Milliseconds(700);
            RC_ASSERT(!fits || completeAt >= due || completeAt >= kNow + StopPolicy::kBalancerLag);
            continue;
        }
        // Sent: the server is expected to end in time, and what does not is answered for it.
        RC_ASSERT(completeAt + call.expected < kNow + limit);
        const absl::Time answeredAt = std::min(completeAt + call.service, due);
        RC_ASSERT(answeredAt + StopPolicy::kLastResponsesTime <= policy.endsAt());
        RC_ASSERT(policy.endsAt() + StopPolicy::kMargin <= kNow + limit);
    }
}

// Guards against a stop that ends before the last sixth of the grace, in which servers may still be
// at work on calls that were taken early.
TEST(StopPolicy, KeepsCallsOpenIntoTheLastSixthOfTheGrace)
{
    for (const absl::Duration limit : {absl::Seconds(4), absl::Seconds(8), absl::Seconds(30)}) {
        StopPolicy policy(limit);
        policy.begin(kNow);
        EXPECT_GT(policy.answersBy(), kNow + limit * 5 / 6);
    }
}

} // namespace
} // namespace foxtailtally
