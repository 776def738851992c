#include "load/limits/limit_trial.h"

#include "load/limits/limit_experiment.h"

#include <absl/strings/numbers.h>
#include <array>
#include <cstdlib>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

/** Smallest share of the limits that is to be used while demand is above them. */
double usedShareGoal(std::size_t instances)
{
    return instances <= 6 ? 0.85 : 0.75;
}

std::string describe(const LimitScenario &scenario)
{
    const LimitTrialSetup &setup = scenario.setup;
    return std::to_string(setup.fleet.instances) + " instances, "
        + std::to_string(setup.limitedServers) + " servers, limit " + std::to_string(setup.limit)
        + ", demand " + scenario.demand + ", fault " + scenario.fault;
}

class LimitTrialOfSize : public testing::TestWithParam<std::size_t>
{ };

// Replays demand above the limits, even and at one instance: the limits hold and are used.
TEST_P(LimitTrialOfSize, KeepsAndUsesTheLimits)
{
    for (const LimitScenario &scenario : steadyLimitScenarios(this->GetParam())) {
        // The larger rates take long to simulate and behave alike.
        if (scenario.setup.callsPerSecond > 200)
            continue;
        const LimitTrialResult result = runLimitTrial(scenario.setup, 1);
        EXPECT_LE(result.worstOfRule, 1.0) << describe(scenario);
        EXPECT_LE(result.worstOfAim, 1.0) << describe(scenario);
        EXPECT_GE(result.usedShare, usedShareGoal(this->GetParam())) << describe(scenario);
    }
}

// The limits hold while they change and while issuers and links fail.
TEST_P(LimitTrialOfSize, KeepsTheRuleThroughFaults)
{
    for (const LimitScenario &scenario : faultyLimitScenarios(this->GetParam())) {
        if (scenario.setup.callsPerSecond > 200)
            continue;
        const LimitTrialResult result = runLimitTrial(scenario.setup, 1);
        EXPECT_LE(result.worstOfRule, 1.0) << describe(scenario);
        EXPECT_GT(result.served, 0) << describe(scenario);
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, LimitTrialOfSize, testing::Values(6, 30, 100, 295));

// Calls of little worth still get tokens while worthier ones would take them all.
TEST(LimitTrial, StarvesNoKindOfCall)
{
    LimitTrialSetup setup;
    setup.limitedServers = 4;
    setup.limit = 2.0;
    setup.callsPerSecond = 40;
    setup.kinds = {{0.5, 1.0F, absl::Milliseconds(500)}, {0.5, 20.0F, absl::Milliseconds(500)}};
    const LimitTrialResult result = runLimitTrial(setup, 1);
    const auto shareOf = [&result](std::size_t kind) {
        return static_cast<double>(result.servedByKind[kind])
            / static_cast<double>(result.callsByKind[kind]);
    };
    const double shareOfAll =
        static_cast<double>(result.served) / static_cast<double>(result.calls);
    // The users' requirement: a quarter as often as all calls.
    EXPECT_GE(shareOf(0), shareOfAll / 4);
    EXPECT_GT(shareOf(1), shareOfAll);
}

LimitTrialEvent randomEvent(Random &random, absl::Duration length)
{
    using Kind = LimitTrialEvent::Kind;
    constexpr std::array<Kind, 9> kKinds = {Kind::ChangeLimit, Kind::KillIssuer, Kind::PauseIssuer,
                                            Kind::CutIssuer,   Kind::CutDomains, Kind::KillAny,
                                            Kind::PauseAny,    Kind::CutAny,     Kind::CutOneWay};
    LimitTrialEvent event;
    event.kind = kKinds[random.below(kKinds.size())];
    event.at = length * random.uniform();
    event.duration = absl::Seconds(4) * random.uniform();
    event.limit = 0.5 + 20.0 * random.uniform();
    return event;
}

/** Number of random schedules; FOXTAILTALLY_LIMIT_SCHEDULES sets another one. */
std::uint64_t scheduleCount()
{
    const char *text = std::getenv("FOXTAILTALLY_LIMIT_SCHEDULES");
    std::uint64_t count = 0;
    return text && absl::SimpleAtoi(text, &count) ? count : 2000;
}

// For any series of faults and changes, with lost and repeated messages: no server gets more
// requests from all instances than the users' rule allows, excused instances included.
TEST(LimitTrial, KeepsTheRuleInAnySeriesOfFaults)
{
    for (std::uint64_t seed = 1; seed <= scheduleCount(); ++seed) {
        Random random(seed);
        LimitTrialSetup setup;
        setup.fleet.instances = 2 + random.below(8);
        setup.fleet.domains = 1 + random.below(3);
        setup.fleet.lossRate = 0.1 * random.uniform();
        setup.fleet.duplicateRate = 0.1 * random.uniform();
        setup.limitedServers = 1 + random.below(3);
        setup.limit = 0.5 + 15.0 * random.uniform();
        setup.callsPerSecond = 10 + 1.5 * setup.limit * static_cast<double>(setup.limitedServers);
        setup.length = absl::Seconds(11);
        setup.isDemandAtOneInstance = random.below(4) == 0;
        for (std::uint64_t i = random.below(6); i > 0; --i)
            setup.events.push_back(randomEvent(random, setup.length));
        const LimitTrialResult result = runLimitTrial(setup, random.next());
        EXPECT_LE(result.worstOfRule, 1.0) << "seed " << seed;
    }
}

} // namespace
} // namespace foxtailtally
