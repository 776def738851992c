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
        // The first event may get out before the connection breaks; a stream that has been written
        // for a while has crashed nobody.
        {true, false, kCrashDelay, true},
        {true, false, kCrashDelay + absl::Milliseconds(1), false},
    };
    for (const Case &entry : cases) {
        const LossEvidence evidence = {entry.isBroken, entry.hasAnswerBegun, entry.streamingFor};
        EXPECT_EQ(mayHaveCrashedServer(evidence), entry.mayHaveCrashed);
    }
}

TEST(CrashSuspicion, QuarantinesAtTheThirdServerAndNotBefore)
{
    Quarantine table(threeDeaths());
    table.onVerdict(death(1), kNow);
    table.onVerdict(death(1), kNow);
    table.onVerdict(death(2), kNow);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Suspect);
    EXPECT_EQ(table.retryAfter(kCall, kNow), absl::ZeroDuration());
    table.onVerdict(death(3), kNow);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);
    EXPECT_EQ(table.retryAfter(kCall, kNow), kQuarantineDuration);
}

TEST(CrashSuspicion, ACallThatWasServedCrashesNobody)
{
    Quarantine table(threeDeaths());
    table.onVerdict(death(1), kNow);
    EXPECT_TRUE(table.onServed({kCall, kNow}, kNow));
    EXPECT_FALSE(table.onServed({kCall, kNow}, kNow));
    for (int server = 2; server < 9; ++server)
        EXPECT_FALSE(
            table.onVerdict(death(server, kNow + kServedRetention), kNow + kServedRetention));
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Clear);
    // Its servers may have been replaced since by others that it does crash.
    const absl::Time later = kNow + kServedRetention + absl::Seconds(1);
    EXPECT_TRUE(table.onVerdict(death(1, later), later));
    table.onTick(later + kQuarantineDuration);
    EXPECT_TRUE(table.isEmpty());
}

// A call that is asked for often runs at most servers, so it is at several that end together.
TEST(CrashSuspicion, ACallThatIsServedAllTheTimeIsNotSuspectedWhenManyServersEndTogether)
{
    Quarantine table(threeDeaths());
    EXPECT_FALSE(table.recordServed(kCall, kNow - kServedRetention));
    EXPECT_TRUE(table.isEmpty());
    EXPECT_TRUE(table.wasServedRecently(kCall, kNow));
    EXPECT_FALSE(table.wasServedRecently(fingerprintOf("other"), kNow));
    EXPECT_TRUE(table.onServerDeath(BackendServerId("server-1"), 1, {&kCall, 1}, kNow).empty());
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Clear);
    // Another instance, which has not served it, tells of deaths.
    table.onVerdict(death(2), kNow);
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

// A call that runs beside the one that crashes servers must not be taken for it.
RC_GTEST_PROP(SuspectPlacement, TheRunThatDecidesIsAlone, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<SuspectCandidate> servers;
    const std::uint64_t count = random.below(8);
    for (ServerKey server = 0; server < count; ++server)
        servers.push_back(anyChoice(server, random));
    const SuspectRun run = random.below(2) == 0 ? SuspectRun::Early : SuspectRun::Last;
    const SuspectPlacement spread = placeSuspect(servers, run, random);
    std::size_t allowed = 0;
    std::size_t free = 0;
    std::size_t kept = 0;
    for (const SuspectCandidate &choice : servers) {
        const bool isForbidden = holds(spread.forbidden, choice.server);
        const bool isAvoided = holds(spread.avoided, choice.server);
        const bool hasSuspect = choice.earlyRuns + choice.lastRuns > 0;
        RC_ASSERT(isForbidden == (run == SuspectRun::Last ? hasSuspect : choice.lastRuns > 0));
        RC_ASSERT(isAvoided || !isForbidden);
        allowed += isForbidden ? 0 : 1;
        free += hasSuspect ? 0 : 1;
        kept += isAvoided ? 0 : 1;
        // One with a suspect is taken only where there is no other.
        RC_ASSERT(isAvoided || !hasSuspect || free == 0);
    }
    RC_ASSERT(kept == std::min(kSuspectCandidates, free == 0 ? allowed : free));
    RC_ASSERT(spread.mustWait == (allowed == 0 && !servers.empty()));
}

// Calls that ran beside one that crashes servers followed it from server to server, because all of
// them chose the least loaded one.
TEST(SuspectPlacement, FewCallsMeetTheCulpritTwice)
{
    constexpr ServerKey kServers = 14;
    constexpr int kBeside = 10000;
    Random random(1);
    // The least loaded server that is left is taken: the one with the lowest number.
    const auto next = [&random](std::span<const ServerKey> ended) {
        std::vector<SuspectCandidate> servers;
        for (ServerKey server = 0; server < kServers; ++server) {
            if (!holds(ended, server))
                servers.push_back({server});
        }
        const SuspectPlacement spread = placeSuspect(servers, SuspectRun::Early, random);
        ServerKey server = 0;
        while (holds(ended, server) || holds(spread.avoided, server))
            ++server;
        return server;
    };
    int metTwice = 0;
    for (int call = 0; call < kBeside; ++call) {
        std::vector<ServerKey> ended = {0};
        const ServerKey second = next(ended);
        const bool hasMetOnce = next(ended) == second;
        ended.push_back(second);
        metTwice += hasMetOnce && next(ended) == next(ended) ? 1 : 0;
    }
    EXPECT_LT(metTwice, kBeside / 50);
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

// Connections that break while the servers live must not put calls into quarantine.
TEST(CrashSuspicion, ForgetsDeathsOfServersThatTheListKeeps)
{
    Quarantine table(threeDeaths());
    FakeListing listing;
    for (int server = 1; server <= 3; ++server) {
        table.onVerdict(death(server), kNow);
        listing.listed[BackendServerId(absl::StrCat("server-", server))] = 1;
    }
    listing.until = kNow + absl::Seconds(5);
    table.withdrawDeathsOfListed(listing);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);

    // The store was away meanwhile, so the list may still have servers that have ended.
    listing.until = kNow + absl::Seconds(7);
    listing.from = kNow + absl::Seconds(2);
    table.withdrawDeathsOfListed(listing);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);

    // Server 3 is there in another life only.
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
        table.onVerdict(death(server), kNow);
    table.withdraw(crashKey(death(2)), kNow);
    EXPECT_EQ(table.deathsSeen(kCall, kNow), 2U);
    EXPECT_FALSE(table.onVerdict(death(2), kNow));
    EXPECT_FALSE(table.has(crashKey(death(2))));
    // What is unknown yet is withdrawn as well.
    table.withdraw(crashKey(death(4)), kNow);
    EXPECT_FALSE(table.onVerdict(death(4), kNow));
    const absl::Time later = kNow + kQuarantineDuration;
    table.onTick(later);
    EXPECT_TRUE(table.onVerdict(death(4, later), later));
}

TEST(CrashSuspicion, RecordsOnlyOwnDeathsOfCallsThatAreNearlyQuarantined)
{
    Quarantine table(threeDeaths());
    table.onServerDeath(BackendServerId("server-1"), 1, {&kCall, 1}, kNow);
    EXPECT_TRUE(table.deathsToRecord(kNow).empty());
    table.onVerdict(death(2), kNow);
    const std::vector<CrashReport> reports = table.deathsToRecord(kNow);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(crashKey(reports[0]), crashKey(death(1)));
    EXPECT_EQ(table.nextRun(kCall, kNow), SuspectRun::Last);
}

/** One thing that an instance may learn. */
struct News
{
    bool isServed = false;
    CrashReport report;
};

News anyNews(Random &random)
{
    News news;
    news.isServed = random.below(5) == 0;
    news.report =
        death(static_cast<int>(random.below(6)), kNow - absl::Milliseconds(random.below(200'000)),
              fingerprintOf(absl::StrCat(random.below(4))));
    return news;
}

void learn(Quarantine &table, const News &news)
{
    if (news.isServed)
        table.onServed({news.report.fingerprint, news.report.diedAt}, kNow);
    else
        table.onVerdict(news.report, kNow);
}

// Instances compare digests to find out whether they know the same.
RC_GTEST_PROP(CrashSuspicion, TablesThatLearnTheSameInAnyOrderHaveEqualDigests, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<News> news(1 + random.below(30));
    for (News &item : news)
        item = anyNews(random);
    Quarantine first(threeDeaths());
    for (const News &item : news)
        learn(first, item);
    for (std::size_t i = news.size() - 1; i > 0; --i)
        std::swap(news[i], news[random.below(i + 1)]);
    Quarantine second(threeDeaths());
    for (const News &item : news) {
        learn(second, item);
        if (random.below(3) == 0)
            learn(second, item);
    }
    RC_ASSERT(first.digest() == second.digest());
    for (std::uint64_t call = 0; call < 4; ++call) {
        const Fingerprint fingerprint = fingerprintOf(absl::StrCat(call));
        RC_ASSERT(first.check(fingerprint, kNow) == second.check(fingerprint, kNow));
    }
    // What one table tells adds nothing to the other.
    for (const CrashReport &report : first.reports(kNow))
        RC_ASSERT(!second.onVerdict(report, kNow));
    for (const ServedReport &report : first.servedReports(kNow))
        RC_ASSERT(!second.onServed(report, kNow));
    RC_ASSERT((first.digest() == 0) == first.isEmpty());
}

RC_GTEST_PROP(CrashSuspicion, ADigestTellsThatATableLacksSomething, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    Quarantine first(threeDeaths());
    Quarantine second(threeDeaths());
    const std::uint64_t common = random.below(10);
    for (std::uint64_t i = 0; i < common; ++i) {
        const News news = anyNews(random);
        learn(first, news);
        learn(second, news);
    }
    const News extra = anyNews(random);
    const std::uint64_t before = first.digest();
    const bool isNew = extra.isServed
        ? first.onServed({extra.report.fingerprint, extra.report.diedAt}, kNow)
        : first.onVerdict(extra.report, kNow);
    RC_ASSERT(isNew == (first.digest() != before));
    RC_ASSERT(isNew == (first.digest() != second.digest()));
}

TEST(CrashSuspicion, AFullTableKeepsVerdictsAndDropsTheOldestNews)
{
    QuarantineOptions options = threeDeaths();
    options.maxFingerprints = 20;
    Quarantine table(options);
    for (int server = 1; server <= 3; ++server)
        table.onVerdict(death(server, kNow - absl::Minutes(50)), kNow);
    for (int i = 0; i < 100; ++i) {
        const Fingerprint call = fingerprintOf(absl::StrCat("other", i));
        if (i % 2 == 0)
            table.onServed({call, kNow - absl::Minutes(40)}, kNow);
        else
            table.onVerdict(death(1, kNow, call), kNow);
    }
    EXPECT_EQ(table.size(), 20U);
    EXPECT_EQ(table.check(kCall, kNow), QuarantineState::Quarantined);
    EXPECT_TRUE(table.servedReports(kNow).empty());
}

} // namespace
} // namespace foxtailtally
