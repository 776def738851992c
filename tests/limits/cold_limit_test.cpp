#include "servers/limits/cold_limit.h"

#include "core/random.h"
#include "load/limits/limit_trial.h"
#include "servers/limits/rate_limiter.h"
#include "servers/limits/token_claims.h"

#include <array>
#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

TEST(ColdTokenRate, StaysWithinTheBoundOfASecond)
{
    for (const double perSecond : {0.5, 4.0, 14.0, 36.0}) {
        for (const double factor : {1.0, 1.5, 3.0}) {
            for (const double slack : {0.0, 5.0}) {
                const double rate = coldTokenRate(perSecond, factor, slack);
                const double inSecond = TokenIssuer::kBurstTokens
                    + rate
                        * absl::ToDoubleSeconds(absl::Seconds(1) + TokenClaims::kTokenTerm
                                                + TokenIssuer::kBurstTime);
                EXPECT_GE(rate, 0);
                EXPECT_LE(rate, perSecond);
                if (rate > 0)
                    EXPECT_LE(inSecond, perSecond * factor + slack + 1e-9);
            }
        }
    }
}

/** An aggregator that hears none of the instances that the store lists. */
class LoneAggregator final : public LimitTopology
{
public:
    IssuerRoute issuerOf(ServerKey) const override { return {IssuerRoute::Kind::Self, {}}; }
    bool isAggregator() const override { return true; }
    std::string aggregatorAddress() const override { return {}; }
    std::vector<std::string> followerAddresses() const override { return {}; }
    std::vector<std::string> otherAggregatorAddresses() const override { return {}; }
    std::size_t lenders(absl::Time) const override { return 1; }
    std::size_t domainInstances() const override { return 1; }
    std::size_t listedDomainInstances() const override { return this->listed; }

    std::size_t listed = 1;
};

/** Tokens of a server with a limit of 10 a second that an instance grants itself within 2 s, from
 * @p after its start. */
int granted(LimitTopology &topology, absl::Duration after)
{
    constexpr ServerKey kServer = 7;
    RateLimiter limiter(topology, "10.0.0.1:7340", 1, kStart);
    const ServerLimit cold = {kServer, 10};
    limiter.setColdLimits(std::span(&cold, 1), kStart);
    int grants = 0;
    const absl::Time from = kStart + after;
    for (absl::Time now = from; now < from + absl::Seconds(2); now += absl::Milliseconds(10)) {
        limiter.claim({{kServer}, 1.0F, absl::Milliseconds(400)}, now);
        limiter.takeMessages(now);
        limiter.onTick(now);
        for (const ClaimOutcome &outcome : limiter.takeOutcomes(now))
            grants += outcome.isGranted ? 1 : 0;
    }
    return grants;
}

// Two instances of a domain that start and do not hear each other issued the whole limit each.
TEST(ColdLimit, IsSharedWithInstancesThatAStartedOneDoesNotHear)
{
    LoneAggregator alone;
    EXPECT_GE(granted(alone, absl::ZeroDuration()), 17);
    LoneAggregator listedWithTwo;
    listedWithTwo.listed = 3;
    EXPECT_LE(granted(listedWithTwo, absl::ZeroDuration()), 8);
    // Instances that have not been heard for so long have failed.
    EXPECT_GE(granted(listedWithTwo, absl::Minutes(1)), 17);
}

TEST(ColdLimit, HoldsBesideALimitThatTheServerNames)
{
    LoneAggregator topology;
    RateLimiter limiter(topology, "10.0.0.1:7340", 1, kStart);
    const ServerLimit cold = {7, 10};
    limiter.onNamed(7, 4, kStart);
    limiter.setColdLimits(std::span(&cold, 1), kStart);
    EXPECT_EQ(limiter.limitOf(7), 4);
    limiter.onNamed(7, 40, kStart);
    EXPECT_EQ(limiter.limitOf(7), 10);
    // A response without Server-Limit says nothing about the cold time.
    limiter.onNotNamed(7, kStart + absl::Seconds(1), kStart + absl::Seconds(2));
    EXPECT_EQ(limiter.limitOf(7), 10);
    limiter.setColdLimits({}, kStart + absl::Seconds(3));
    EXPECT_FALSE(limiter.isLimited(7));
}

LimitTrialEvent randomFault(Random &random, absl::Duration length)
{
    using Kind = LimitTrialEvent::Kind;
    constexpr std::array<Kind, 8> kKinds = {Kind::KillIssuer, Kind::PauseIssuer, Kind::CutIssuer,
                                            Kind::CutDomains, Kind::KillAny,     Kind::PauseAny,
                                            Kind::CutAny,     Kind::CutOneWay};
    LimitTrialEvent event;
    event.kind = kKinds[random.below(kKinds.size())];
    event.at = length * random.uniform();
    event.duration = absl::Seconds(4) * random.uniform();
    return event;
}

// Each instance kept the rate of a cold server by itself: six of them sent it 42 requests in a
// second where 26 were allowed. Whoever hears whom, and whatever fails: no second has more requests
// from all instances than the users' rule allows.
TEST(ColdLimit, HoldsInEachSecondInAnySeriesOfFaults)
{
    constexpr std::uint64_t kSchedules = 600;
    for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
        Random random(seed);
        LimitTrialSetup setup;
        setup.isCold = true;
        setup.fleet.instances = 2 + random.below(8);
        setup.fleet.domains = 1 + random.below(3);
        setup.fleet.lossRate = 0.1 * random.uniform();
        setup.fleet.duplicateRate = 0.1 * random.uniform();
        setup.limitedServers = 1 + random.below(3);
        setup.limit = 1.0 + 35.0 * random.uniform();
        setup.callsPerSecond = 20 + 3 * setup.limit * static_cast<double>(setup.limitedServers);
        setup.length = absl::Seconds(8);
        setup.isDemandAtOneInstance = random.below(4) == 0;
        for (std::uint64_t i = random.below(6); i > 0; --i)
            setup.events.push_back(randomFault(random, setup.length));
        const LimitTrialResult result = runLimitTrial(setup, random.next());
        EXPECT_LE(result.worstOfColdRule, 1.0) << "seed " << seed;
    }
}

TEST(ColdLimit, IsUsedWhereInstancesHearEachOther)
{
    for (const std::size_t instances : {6, 30}) {
        LimitTrialSetup setup;
        setup.isCold = true;
        setup.fleet.instances = instances;
        setup.limit = 14;
        setup.callsPerSecond = 60;
        setup.length = absl::Seconds(8);
        const LimitTrialResult result = runLimitTrial(setup, 1);
        EXPECT_LE(result.worstOfColdRule, 1.0);
        EXPECT_GE(static_cast<double>(result.served), 0.75 * 14 * 8);
    }
}

} // namespace
} // namespace foxtailtally
