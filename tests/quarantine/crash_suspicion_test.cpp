#include "core/hash.h"
#include "core/random.h"
#include "servers/quarantine/crash_evidence.h"
#include "servers/quarantine/quarantine.h"
#include "servers/quarantine/served_call_cache.h"
#include "servers/quarantine/suspect_placement.h"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(100);
const Fingerprint kCall = fingerprintOf("call");

QuarantineOptions threeDeaths()
{
    QuarantineOptions options;
    options.deaths = 3;
    options.listRemovalDelay = absl::Seconds(6);
    return options;
}

CrashReport death(int server, absl::Time at = kNow, const Fingerprint &call = kCall)
{
    return {call, BackendServerId(absl::StrCat("server-", server)), 1, at};
}

class FakeListing final : public ServerListing
{
public:
    bool has(const BackendServerId &server, Incarnation incarnation) const override
    {
        const auto found = this->listed.find(server);
        return found != this->listed.end() && found->second == incarnation;
    }
    absl::Time confirmedFrom() const override { return this->from; }
    absl::Time confirmedUntil() const override { return this->until; }

    absl::btree_map<BackendServerId, Incarnation> listed;
    absl::Time from = absl::InfinitePast();
    absl::Time until = kNow;
};

TEST(CrashEvidence, CountsOnlyConnectionsThatBrokeBeforeTheAnswer)
{
    struct Case
    {
        bool isBroken;
        bool hasAnswerBegun;
        absl::Duration streamingFor;
        bool mayHaveCrashed;
    };
    const std::vector<Case> cases = {
        {true, false, absl::ZeroDuration(), true},
        {false, false, absl::ZeroDuration(), false},
        {true, true, absl::ZeroDuration(), false},
        // The first event may get out before the connection breaks; a call that has streamed for
        // longer has not crashed its server.
        {true, false, kCrashDelay, true},
        {true, false, kCrashDelay + absl::Milliseconds(1), false},
    };
    for (const Case &entry : cases) {
        const CrashEvidence evidence = {entry.isBroken, entry.hasAnswerBegun, entry.streamingFor};
        EXPECT_EQ(mayHaveCrashedServer(evidence), entry.mayHaveCrashed);
    }
}

TEST(CrashSuspicion, QuarantinesAtTheThirdServerAndNotBefore)
{
    Quarantine table(threeDeaths());
    table.onCrashReport(death(1), kNow);
    table.onCrashReport(death(1), kNow);
    table.onCrashReport(death(2), kNow);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Suspect);
    EXPECT_EQ(table.retryAfter(kCall, kNow), absl::ZeroDuration());
    table.onCrashReport(death(3), kNow);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);
    EXPECT_EQ(table.retryAfter(kCall, kNow), kQuarantineDuration);
}

TEST(CrashSuspicion, AServedCallIsNotSuspected)
{
    Quarantine table(threeDeaths());
    table.onCrashReport(death(1), kNow);
    EXPECT_TRUE(table.onServed({kCall, kNow}, kNow));
    EXPECT_FALSE(table.onServed({kCall, kNow}, kNow));
    for (int server = 2; server < 9; ++server)
        EXPECT_FALSE(
            table.onCrashReport(death(server, kNow + kServedRetention), kNow + kServedRetention));
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Clear);
    // Since then the servers may have been replaced by others that the call does crash.
    const absl::Time later = kNow + kServedRetention + absl::Seconds(1);
    EXPECT_TRUE(table.onCrashReport(death(1, later), later));
    table.onTick(later + kQuarantineDuration);
    EXPECT_TRUE(table.isEmpty());
}

// Guards against quarantining a frequent call because it was running on several servers that ended
// together.
TEST(CrashSuspicion, AFrequentlyServedCallIsNotSuspectedWhenManyServersEndTogether)
{
    Quarantine table(threeDeaths());
    EXPECT_FALSE(table.recordServed(kCall, kNow - kServedRetention));
    EXPECT_TRUE(table.isEmpty());
    EXPECT_TRUE(table.wasServedRecently(kCall, kNow));
    EXPECT_FALSE(table.wasServedRecently(fingerprintOf("other"), kNow));
    EXPECT_TRUE(table.onServerDeath(BackendServerId("server-1"), 1, {&kCall, 1}, kNow).empty());
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Clear);
    // Another instance, which has not served the call, reports deaths.
    table.onCrashReport(death(2), kNow);
    EXPECT_TRUE(table.recordServed(kCall, kNow));
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Clear);
    EXPECT_FALSE(table.wasServedRecently(kCall, kNow + 2 * kServedRetention));
}

SuspectCandidate anyChoice(ServerKey server, Random &random)
{
    SuspectCandidate choice = {server};
    const std::uint64_t kind = random.below(3);
    choice.earlyRuns = kind == 1 ? 1 : 0;
    choice.lastRuns = kind == 2 ? 1 : 0;
    return choice;
}

bool holds(std::span<const ServerKey> servers, ServerKey server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

// Guards against suspecting a call that only runs on the same server as the one that crashes it.
RC_GTEST_PROP(SuspectPlacement, TheRunThatDecidesSharesNoServerWithASuspect, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<SuspectCandidate> servers;
    const std::uint64_t count = random.below(8);
    for (ServerKey server = 0; server < count; ++server)
        servers.push_back(anyChoice(server, random));
    const SuspectRun run = random.below(2) == 0 ? SuspectRun::Early : SuspectRun::Last;
    const SuspectPlacement placement = placeSuspect(servers, run, random);
    std::size_t allowed = 0;
    std::size_t unshared = 0;
    std::size_t kept = 0;
    for (const SuspectCandidate &choice : servers) {
        const bool isForbidden = holds(placement.forbidden, choice.server);
        const bool isAvoided = holds(placement.avoided, choice.server);
        const bool hasSuspect = choice.earlyRuns + choice.lastRuns > 0;
        RC_ASSERT(isForbidden == (run == SuspectRun::Last ? hasSuspect : choice.lastRuns > 0));
        RC_ASSERT(isAvoided || !isForbidden);
        allowed += isForbidden ? 0 : 1;
        unshared += hasSuspect ? 0 : 1;
        kept += isAvoided ? 0 : 1;
        // A server with a suspect is chosen only if there is none without.
        RC_ASSERT(isAvoided || !hasSuspect || unshared == 0);
    }
    RC_ASSERT(kept == std::min(kSuspectCandidates, unshared == 0 ? allowed : unshared));
    RC_ASSERT(placement.mustWait == (allowed == 0 && !servers.empty()));
}

// Guards against harmless calls that follow the one that crashes servers from server to server,
// because all of them choose the least loaded server.
TEST(SuspectPlacement, FewCallsShareTwoServersWithACrashingCall)
{
    constexpr ServerKey kServers = 14;
    constexpr int kHarmless = 10000;
    Random random(1);
    // Chooses the least loaded allowed server: the one with the lowest number.
    const auto next = [&random](std::span<const ServerKey> ended) {
        std::vector<SuspectCandidate> servers;
        for (ServerKey server = 0; server < kServers; ++server) {
            if (!holds(ended, server))
                servers.push_back({server});
        }
        const SuspectPlacement placement = placeSuspect(servers, SuspectRun::Early, random);
        ServerKey server = 0;
        while (holds(ended, server) || holds(placement.avoided, server))
            ++server;
        return server;
    };
    int sharedTwice = 0;
    for (int call = 0; call < kHarmless; ++call) {
        std::vector<ServerKey> ended = {0};
        const ServerKey second = next(ended);
        const bool hasSharedOnce = next(ended) == second;
        ended.push_back(second);
        sharedTwice += hasSharedOnce && next(ended) == next(ended) ? 1 : 0;
    }
    EXPECT_LT(sharedTwice, kHarmless / 50);
}

TEST(ServedCallCache, IsBounded)
{
    ServedCallCache memory(absl::Minutes(1), 10);
    for (std::uint64_t call = 0; call < 1000; ++call)
        memory.add(call, kNow);
    EXPECT_LE(memory.size(), 20U);
    EXPECT_TRUE(memory.contains(999, kNow));
    EXPECT_FALSE(memory.contains(0, kNow));
}

// Guards against quarantining calls whose connections break while their servers stay alive.
TEST(CrashSuspicion, WithdrawsDeathsOfServersThatStayListed)
{
    Quarantine table(threeDeaths());
    FakeListing listing;
    for (int server = 1; server <= 3; ++server) {
        table.onCrashReport(death(server), kNow);
        listing.listed[BackendServerId(absl::StrCat("server-", server))] = 1;
    }
    listing.until = kNow + absl::Seconds(5);
    table.withdrawDeathsOfListed(listing);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);

    // The store was unavailable meanwhile, so the list may still contain servers that have ended.
    listing.until = kNow + absl::Seconds(7);
    listing.from = kNow + absl::Seconds(2);
    table.withdrawDeathsOfListed(listing);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);

    // The list contains server 3 with another incarnation only.
    listing.listed[BackendServerId("server-3")] = 2;
    listing.until = kNow + absl::Seconds(8);
    table.withdrawDeathsOfListed(listing);
    EXPECT_EQ(table.deathsSeen(kCall, kNow), 1U);

    listing.listed[BackendServerId("server-3")] = 1;
    table.withdrawDeathsOfListed(listing);
    EXPECT_TRUE(table.isEmpty());
    EXPECT_EQ(table.digest(), 0U);
}

TEST(CrashSuspicion, AWithdrawnDeathDoesNotComeBack)
{
    Quarantine table(threeDeaths());
    for (int server = 1; server <= 3; ++server)
        table.onCrashReport(death(server), kNow);
    table.withdraw(crashKey(death(2)), kNow);
    EXPECT_EQ(table.deathsSeen(kCall, kNow), 2U);
    EXPECT_FALSE(table.onCrashReport(death(2), kNow));
    EXPECT_FALSE(table.has(crashKey(death(2))));
    // A death can be withdrawn before it is reported.
    table.withdraw(crashKey(death(4)), kNow);
    EXPECT_FALSE(table.onCrashReport(death(4), kNow));
    const absl::Time later = kNow + kQuarantineDuration;
    table.onTick(later);
    EXPECT_TRUE(table.onCrashReport(death(4, later), later));
}

TEST(CrashSuspicion, RecordsOnlyOwnDeathsOfCallsThatAreNearlyQuarantined)
{
    Quarantine table(threeDeaths());
    table.onServerDeath(BackendServerId("server-1"), 1, {&kCall, 1}, kNow);
    EXPECT_TRUE(table.deathsToRecord(kNow).empty());
    table.onCrashReport(death(2), kNow);
    const std::vector<CrashReport> reports = table.deathsToRecord(kNow);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(crashKey(reports[0]), crashKey(death(1)));
    EXPECT_EQ(table.nextRun(kCall, kNow), SuspectRun::Last);
}

/** One report that an instance may receive. */
struct ReceivedReport
{
    bool isServed = false;
    CrashReport report;
};

ReceivedReport anyReport(Random &random)
{
    ReceivedReport received;
    received.isServed = random.below(5) == 0;
    received.report =
        death(static_cast<int>(random.below(6)), kNow - absl::Milliseconds(random.below(200'000)),
              fingerprintOf(absl::StrCat(random.below(4))));
    return received;
}

void merge(Quarantine &table, const ReceivedReport &received)
{
    if (received.isServed)
        table.onServed({received.report.fingerprint, received.report.diedAt}, kNow);
    else
        table.onCrashReport(received.report, kNow);
}

// Instances compare digests to find out whether their tables are equal.
RC_GTEST_PROP(CrashSuspicion, TablesWithTheSameReportsInAnyOrderHaveEqualDigests, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<ReceivedReport> reports(1 + random.below(30));
    for (ReceivedReport &item : reports)
        item = anyReport(random);
    Quarantine first(threeDeaths());
    for (const ReceivedReport &item : reports)
        merge(first, item);
    for (std::size_t i = reports.size() - 1; i > 0; --i)
        std::swap(reports[i], reports[random.below(i + 1)]);
    Quarantine second(threeDeaths());
    for (const ReceivedReport &item : reports) {
        merge(second, item);
        if (random.below(3) == 0)
            merge(second, item);
    }
    RC_ASSERT(first.digest() == second.digest());
    for (std::uint64_t call = 0; call < 4; ++call) {
        const Fingerprint fingerprint = fingerprintOf(absl::StrCat(call));
        RC_ASSERT(first.check(fingerprint, kNow) == second.check(fingerprint, kNow));
    }
    // The reports of one table add nothing to the other.
    for (const CrashReport &report : first.reports(kNow))
        RC_ASSERT(!second.onCrashReport(report, kNow));
    for (const ServedReport &report : first.servedReports(kNow))
        RC_ASSERT(!second.onServed(report, kNow));
    RC_ASSERT((first.digest() == 0) == first.isEmpty());
}

RC_GTEST_PROP(CrashSuspicion, ADigestShowsThatATableLacksAReport, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    Quarantine first(threeDeaths());
    Quarantine second(threeDeaths());
    const std::uint64_t common = random.below(10);
    for (std::uint64_t i = 0; i < common; ++i) {
        const ReceivedReport received = anyReport(random);
        merge(first, received);
        merge(second, received);
    }
    const ReceivedReport extra = anyReport(random);
    const std::uint64_t before = first.digest();
    const bool isNew = extra.isServed
        ? first.onServed({extra.report.fingerprint, extra.report.diedAt}, kNow)
        : first.onCrashReport(extra.report, kNow);
    RC_ASSERT(isNew == (first.digest() != before));
    RC_ASSERT(isNew == (first.digest() != second.digest()));
}

TEST(CrashSuspicion, AFullTableKeepsQuarantinedCallsAndEvictsTheOldestEntries)
{
    QuarantineOptions options = threeDeaths();
    options.maxFingerprints = 20;
    Quarantine table(options);
    for (int server = 1; server <= 3; ++server)
        table.onCrashReport(death(server, kNow - absl::Minutes(50)), kNow);
    for (int i = 0; i < 100; ++i) {
        const Fingerprint call = fingerprintOf(absl::StrCat("other", i));
        if (i % 2 == 0)
            table.onServed({call, kNow - absl::Minutes(40)}, kNow);
        else
            table.onCrashReport(death(1, kNow, call), kNow);
    }
    EXPECT_EQ(table.size(), 20U);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);
    EXPECT_TRUE(table.servedReports(kNow).empty());
}

} // namespace
} // namespace foxtailtally
