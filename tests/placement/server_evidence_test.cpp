#include "servers/placement/reachability.h"
#include "servers/placement/server_health.h"
#include "servers/placement/service_placement.h"

#include <gtest/gtest.h>
#include <map>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
const FailureDomainId kEast("east");
const FailureDomainId kWest("west");

TEST(ServerHealth, SuspectsABrokenServerForLongerEachTime)
{
    ServerHealth health;
    health.onOutcome(1, ServerHealth::Outcome::Lost, kNow);
    const absl::Duration first = health.suspicionLeft(1, kNow);
    EXPECT_GT(first, absl::ZeroDuration());
    health.onOutcome(1, ServerHealth::Outcome::Lost, kNow);
    EXPECT_GT(health.suspicionLeft(1, kNow), first);
    health.onOutcome(1, ServerHealth::Outcome::Answered, kNow);
    EXPECT_FALSE(health.isSuspect(1, kNow));
}

// One seventh of the lookups fail in normal operation; single failures must not make a server
// suspect.
TEST(ServerHealth, ToleratesSingleFailedAnswers)
{
    ServerHealth health;
    for (int i = 0; i < 50; ++i) {
        health.onOutcome(1, ServerHealth::Outcome::Failed, kNow);
        health.onOutcome(1, ServerHealth::Outcome::Answered, kNow);
        EXPECT_FALSE(health.isSuspect(1, kNow));
    }
    for (int i = 0; i < 3; ++i)
        health.onOutcome(1, ServerHealth::Outcome::Failed, kNow);
    EXPECT_TRUE(health.isSuspect(1, kNow));
}

// Regression: a server of which only the speed or the response time was known was forgotten at the
// next tick.
TEST(ServerHealth, KeepsAServerKnownBySpeedOrLatencyOnlyForAMinute)
{
    ServerHealth health;
    for (int i = 0; i < 20; ++i)
        health.onSlowdown(1, 3.0, kNow);
    health.onLatency(2, absl::Milliseconds(150), kNow);
    health.onTick(kNow + absl::Seconds(59));
    EXPECT_GT(health.slowdown(1), 2.5);
    EXPECT_EQ(health.latency(2), absl::Milliseconds(150));
    health.onTick(kNow + absl::Seconds(61));
    EXPECT_EQ(health.slowdown(1), 1.0);
    EXPECT_EQ(health.latency(2), absl::ZeroDuration());
}

// Regression: when a failure domain became unreachable, each call ran into a time-out of its own.
TEST(Reachability, MarksADomainUnreachableAfterTwoServers)
{
    Reachability reachability;
    reachability.onConnectFailed(1, kEast, kNow);
    EXPECT_FALSE(reachability.isReachable(1, kEast));
    EXPECT_TRUE(reachability.isReachable(3, kEast));
    reachability.onConnectFailed(2, kEast, kNow);
    EXPECT_FALSE(reachability.isReachable(3, kEast));
    EXPECT_TRUE(reachability.isReachable(4, kWest));
}

TEST(Reachability, DetectsTheRecoveryOfADomainByProbes)
{
    Reachability reachability;
    reachability.onConnectFailed(1, kEast, kNow);
    reachability.onConnectFailed(2, kEast, kNow);
    EXPECT_TRUE(reachability.takeProbes(kNow).empty());
    const absl::Time later = kNow + Reachability::kConfirmationProbeInterval;
    EXPECT_EQ(reachability.takeProbes(later).size(), 2U);
    EXPECT_TRUE(reachability.takeProbes(later).empty());
    reachability.onConnected(1, kEast, kNow);
    EXPECT_TRUE(reachability.isReachable(1, kEast));
    EXPECT_TRUE(reachability.isReachable(3, kEast));
    EXPECT_FALSE(reachability.isReachable(2, kEast));
}

// Regression: streams waited for an engine that had vanished without closing its connections, as
// if it were prefilling a long prompt.
TEST(Reachability, DistinguishesUnresponsiveFromBusyServersByConnecting)
{
    Reachability reachability;
    absl::Time now = kNow;
    reachability.onSilent(1, kEast, false, now);
    EXPECT_TRUE(reachability.isReachable(1, kEast));
    for (int failure = 0; failure < Reachability::kFailuresForUnresponsive; ++failure) {
        EXPECT_FALSE(reachability.isUnresponsive(1));
        EXPECT_EQ(reachability.takeProbes(now), std::vector<ServerKey> {1});
        EXPECT_TRUE(reachability.takeProbes(now).empty());
        reachability.onConnectFailed(1, kEast, now);
        now += Reachability::kConfirmationProbeInterval;
    }
    EXPECT_TRUE(reachability.isUnresponsive(1));
    EXPECT_FALSE(reachability.isReachable(1, kEast));
    reachability.onConnected(1, kEast, kNow);
    EXPECT_FALSE(reachability.isUnresponsive(1));

    // A server that accepts connections is not probed again at once, however many streams wait for
    // it.
    now += Reachability::kSilentProbeInterval;
    reachability.onSilent(1, kEast, false, now);
    EXPECT_EQ(reachability.takeProbes(now).size(), 1U);
    reachability.onConnected(1, kEast, kNow);
    reachability.onSilent(1, kEast, false, now + Reachability::kSilentProbeInterval / 2);
    EXPECT_TRUE(reachability.takeProbes(now + Reachability::kSilentProbeInterval / 2).empty());
    reachability.onSilent(1, kEast, false, now + Reachability::kSilentProbeInterval);
    EXPECT_EQ(reachability.takeProbes(now + Reachability::kSilentProbeInterval).size(), 1U);
}

// Guards against unresponsive servers that are never probed again, so that they stay out of use
// after they have returned: the same few were probed in each round.
TEST(Reachability, ProbesManyUnresponsiveServersInTurn)
{
    constexpr ServerKey kServers = 40;
    constexpr int kRoundsPerServer = 3;
    Reachability reachability;
    for (ServerKey server = 1; server <= kServers; ++server) {
        for (int failure = 0; failure < Reachability::kFailuresForUnresponsive; ++failure)
            reachability.onConnectFailed(server, kEast, kNow);
    }
    std::map<ServerKey, int> probes;
    constexpr int kRounds = kRoundsPerServer * kServers / Reachability::kMaxProbesPerRound;
    for (int round = 1; round <= kRounds; ++round) {
        for (const ServerKey server :
             reachability.takeProbes(kNow + (round + 1) * Reachability::kProbeInterval / 2))
            ++probes[server];
    }
    for (ServerKey server = 1; server <= kServers; ++server)
        EXPECT_EQ(probes[server], kRoundsPerServer) << "server " << server;
}

// Guards against a sound server whose life is in doubt for longer than memory may wait for it,
// because many others are probed before it.
TEST(Reachability, ProbesServersFirstThatOthersHoldMemoryFor)
{
    Reachability reachability;
    for (ServerKey server = 1; server <= 20; ++server) {
        for (int failure = 0; failure < Reachability::kFailuresForUnresponsive; ++failure)
            reachability.onConnectFailed(server, kEast, kNow);
    }
    const absl::Time later = kNow + Reachability::kConfirmationProbeInterval;
    EXPECT_TRUE(reachability.takeProbes(later).empty());
    reachability.onSilent(17, kEast, true, later);
    EXPECT_EQ(reachability.takeProbes(later), std::vector<ServerKey> {17});
    EXPECT_EQ(reachability.aliveAt(17), absl::InfinitePast());
    reachability.onConnected(17, kEast, later);
    EXPECT_EQ(reachability.aliveAt(17), later);
}

// Regression: servers that had crashed and were removed from the list kept their failure domain
// marked as unreachable for ever.
TEST(Reachability, ForgettingRemovedServersRestoresTheirDomain)
{
    Reachability reachability;
    reachability.onConnectFailed(1, kEast, kNow);
    reachability.onConnectFailed(2, kEast, kNow);
    EXPECT_TRUE(reachability.isDomainUnreachable(kEast));
    reachability.forget(1);
    EXPECT_FALSE(reachability.isDomainUnreachable(kEast));
    reachability.forget(1);
    reachability.forget(2);
    reachability.onConnectFailed(3, kEast, kNow);
    EXPECT_FALSE(reachability.isDomainUnreachable(kEast));
}

ServiceCandidate candidate(ServerKey server, bool isSameDomain)
{
    ServiceCandidate result;
    result.server = server;
    result.slots = 6;
    result.isSameDomain = isSameDomain;
    return result;
}

TEST(ServicePlacement, PrefersTheOwnDomainAndAvoidsFailures)
{
    ServerHealth health;
    std::vector<ServiceCandidate> two = {candidate(1, false), candidate(2, true)};
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 1U);
    for (int i = 0; i < 10; ++i) {
        health.onOutcome(2, ServerHealth::Outcome::Failed, kNow);
        health.onOutcome(2, ServerHealth::Outcome::Answered, kNow);
    }
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 0U);
}

TEST(ServicePlacement, UsesAnUnreachableServerLastAndATriedOneNever)
{
    ServerHealth health;
    std::vector<ServiceCandidate> two = {candidate(1, true), candidate(2, false)};
    two[0].isUnreachable = true;
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 1U);
    two[1].wasTried = true;
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 0U);
    two[0].wasTried = true;
    EXPECT_FALSE(chooseServiceServer(two, health, kNow));
}

TEST(ServicePlacement, PrefersAServerWithoutALimitAndSkipsOneWithoutATokenInTime)
{
    ServerHealth health;
    std::vector<ServiceCandidate> two(2);
    two[0].server = 1;
    two[1].server = 2;
    two[0].isLimited = true;
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 1U);
    two[1].outstanding = 2;
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 0U);
    two[0].lacksToken = true;
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 1U);
    two[1].isLimited = two[1].lacksToken = true;
    EXPECT_EQ(chooseServiceServer(two, health, kNow), std::nullopt);
}

TEST(ServicePlacement, AvoidsASlowServer)
{
    ServerHealth health;
    health.onLatency(1, absl::Milliseconds(150), kNow);
    health.onLatency(2, absl::Milliseconds(20), kNow);
    const std::vector<ServiceCandidate> two = {candidate(1, true), candidate(2, false)};
    EXPECT_EQ(chooseServiceServer(two, health, kNow), 1U);
}

} // namespace
} // namespace foxtailtally
