#include "core/hash.h"
#include "core/random.h"
#include "core/text.h"
#include "servers/quarantine/crash_evidence.h"
#include "servers/quarantine/quarantine.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(100);

QuarantineOptions threeDeaths()
{
    QuarantineOptions options;
    options.deaths = 3;
    return options;
}

Fingerprint part(std::string_view id)
{
    return fingerprintOf(absl::StrCat("part ", asAbsl(id)));
}

/** Calls that are lost one after the other, each at another server. */
class LostCalls
{
public:
    explicit LostCalls(Quarantine &table)
        : table(table)
    { }

    /** A call with these parts that no other call equals. */
    static CallFingerprints call(const std::vector<std::string> &parts)
    {
        static int calls = 0;
        CallFingerprints result;
        result.call = fingerprintOf(absl::StrCat("call ", ++calls));
        for (const std::string &id : parts)
            result.parts.push_back(part(id));
        return result;
    }
    void lose(const CallFingerprints &call, absl::Time diedAt) { this->loseAll({call}, diedAt); }
    /** The same server was running all these calls. */
    void loseAll(const std::vector<CallFingerprints> &calls, absl::Time diedAt)
    {
        const BackendServerId server(absl::StrCat("server-", ++this->servers));
        for (const CallFingerprints &call : calls)
            this->table.onCallLost(server, 1, call, commonCauseSince({}, diedAt), diedAt);
    }

private:
    Quarantine &table;
    int servers = 0;
};

absl::Time at(int milliseconds)
{
    return kNow + absl::Milliseconds(milliseconds);
}

// Guards against a fault that users reported: no two calls with a part that crashes servers are
// alike, so each had one death and none was quarantined.
TEST(PromptPart, IsQuarantinedThoughNoTwoOfItsCallsAreAlike)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(table.refuses(LostCalls::call({"common", "deadly"}), at(i * 1100)));
        lost.lose(LostCalls::call({"common", "deadly"}), at(i * 1100 + 300));
        table.recordPartsServed({{part("common")}}, at(i * 1100 + 350), at(i * 1100 + 380));
    }
    EXPECT_TRUE(table.refuses(LostCalls::call({"common", "deadly"}), at(2600)));
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly", "other"}), at(2600)));
    EXPECT_FALSE(table.refuses(LostCalls::call({"common", "other"}), at(2600)));
    EXPECT_GT(table.retryAfter(part("deadly"), at(2600)), absl::Minutes(59));
}

// Guards against refusing all calls of a customer because a zone loses power.
TEST(PromptPart, ThatAllCallsHaveIsNotQuarantinedWhenManyServersEndTogether)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int server = 0; server < 100; ++server)
        lost.lose(LostCalls::call({"common"}), at(server * 7));
    EXPECT_EQ(table.deathsSeen(part("common"), at(700)), 1U);
    EXPECT_FALSE(table.refuses(LostCalls::call({"common"}), at(700)));
}

// Guards against waiting for a third cause while one server after the other crashes.
TEST(PromptPart, IsQuarantinedAfterFiveDeathsOfTwoCauses)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int i = 0; i < 4; ++i)
        lost.lose(LostCalls::call({"deadly"}), at(i * 100));
    EXPECT_FALSE(table.refuses(LostCalls::call({"deadly"}), at(400)));
    lost.lose(LostCalls::call({"deadly"}), at(999));
    EXPECT_FALSE(table.refuses(LostCalls::call({"deadly"}), at(999)));
    lost.lose(LostCalls::call({"deadly"}), at(1000));
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly"}), at(1000)));
    EXPECT_EQ(table.retryAfter(part("deadly"), at(1000)),
              kQuarantineDuration - absl::Milliseconds(1000));
    table.recordPartsServed({{part("deadly")}}, at(500), at(1100));
    EXPECT_FALSE(table.refuses(LostCalls::call({"deadly"}), at(1100)));
}

// A server that is cut off is noticed long after those that reset their connections.
TEST(PromptPart, ThatAllCallsHaveIsNotQuarantinedWhenServersFallSilentTogether)
{
    Quarantine table(threeDeaths());
    for (int server = 0; server < 100; ++server) {
        CrashEvidence evidence;
        evidence.isConnectionBroken = true;
        evidence.silentFor = absl::Milliseconds(server * 30);
        const absl::Time noticed = at(server * 30);
        table.onCallLost(BackendServerId(absl::StrCat("server-", server)), 1,
                         LostCalls::call({"common"}), commonCauseSince(evidence, noticed), noticed);
    }
    EXPECT_FALSE(table.refuses(LostCalls::call({"common"}), at(3000)));
}

// Guards against excusing the deaths of a part that was served until a moment ago.
TEST(PromptPart, ThatWasServedUntilAMomentAgoIsQuarantined)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    table.recordPartsServed({{part("deadly")}}, at(-10), at(0));
    for (int i = 0; i < 3; ++i)
        lost.lose(LostCalls::call({"deadly"}), at(i * 1000 + 400));
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly"}), at(2500)));
}

TEST(PromptPart, IsAcquittedByACallThatAServerSurvived)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    lost.lose(LostCalls::call({"sound"}), at(100));
    lost.lose(LostCalls::call({"sound"}), at(1300));
    EXPECT_EQ(table.nextRun(part("sound"), at(1350)), SuspectRun::Last);
    // It began before the second death, so it shows nothing about what happened then.
    EXPECT_EQ(table.recordPartsServed({{part("sound")}}, at(1250), at(1400)).size(), 1U);
    EXPECT_EQ(table.deathsSeen(part("sound"), at(1400)), 1U);
    EXPECT_EQ(table.recordPartsServed({{part("sound")}}, at(1450), at(1500)).size(), 1U);
    EXPECT_EQ(table.deathsSeen(part("sound"), at(1500)), 0U);
    EXPECT_TRUE(table.recordPartsServed({{part("sound")}}, at(1460), at(1510)).empty());
    // A report that was late.
    const CrashReport late = {part("sound"), BackendServerId("server-9"), 1, at(1430), at(430)};
    EXPECT_FALSE(table.onCrashReport(late, at(1520)));
    const std::optional<ServedReport> contradiction = table.contradictionOf(late, at(1520));
    ASSERT_TRUE(contradiction);
    EXPECT_EQ(contradiction->servedAt, at(1460));
    EXPECT_EQ(contradiction->trustedFor, absl::ZeroDuration());
}

// Guards against refusing sound parts that came with the deadly one before it was known.
TEST(PromptPart, ThatOftenComesWithTheDeadlyOneIsReleased)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int i = 0; i < 3; ++i)
        lost.lose(LostCalls::call({"deadly", "companion"}), at(i * 1000));
    // Both have the same deaths: only calls with both are refused.
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly", "companion"}), at(2100)));
    EXPECT_FALSE(table.refuses(LostCalls::call({"companion"}), at(2100)));
    EXPECT_EQ(table.nextRun(part("companion"), at(2100)), SuspectRun::Last);
    lost.lose(LostCalls::call({"deadly", "else"}), at(2400));
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly", "else"}), at(2500)));
    EXPECT_FALSE(table.refuses(LostCalls::call({"companion"}), at(2500)));
    EXPECT_EQ(table.deathsSeen(part("companion"), at(2500)), 0U);
}

// Guards against suspecting calls that were only running on servers that the deadly part crashed.
TEST(PromptPart, ExplainsTheDeathsOfOtherCallsOnTheSameServers)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    const CallFingerprints beside = LostCalls::call({"beside"});
    lost.loseAll({LostCalls::call({"deadly"}), beside}, at(0));
    EXPECT_EQ(table.check(beside.call, at(300)), QuarantineState::Suspect);
    lost.loseAll({LostCalls::call({"deadly"}), beside}, at(1000));
    lost.lose(LostCalls::call({"deadly"}), at(2000));
    EXPECT_EQ(table.check(beside.call, at(2100)), QuarantineState::Clear);
    EXPECT_EQ(table.check(part("beside"), at(2100)), QuarantineState::Clear);
}

// Guards against a call that is repeated at once, so that its own deaths explain those of the part.
TEST(PromptPart, IsNotHiddenByCallsThatAreRepeatedAtOnce)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int i = 0; i < 3; ++i) {
        const CallFingerprints repeated = LostCalls::call({"deadly"});
        for (int copy = 0; copy < 3; ++copy)
            lost.lose(repeated, at(i * 1100 + copy));
    }
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly"}), at(2500)));
}

TEST(PromptPart, TwoDeadlyPartsAtOnceAreBothQuarantined)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int i = 0; i < 4; ++i) {
        lost.lose(LostCalls::call({"common", "first"}), at(i * 1000 + 300));
        lost.lose(LostCalls::call({"common", "second"}), at(i * 1000 + 400));
        table.recordPartsServed({{part("common")}}, at(i * 1000 + 450), at(i * 1000 + 450));
    }
    EXPECT_TRUE(table.refuses(LostCalls::call({"first"}), at(4000)));
    EXPECT_TRUE(table.refuses(LostCalls::call({"second"}), at(4000)));
    EXPECT_FALSE(table.refuses(LostCalls::call({"common"}), at(4000)));
}

// Guards against a bounded table that forgets the deaths that count while many more do not.
TEST(PromptPart, IsQuarantinedThoughManyServersCrashAtOnce)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int i = 0; i < 300; ++i)
        lost.lose(LostCalls::call({"deadly"}), at(i * 10));
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly"}), at(3000)));
    EXPECT_EQ(table.reports(at(3000)).size(), 300U + Quarantine::kMaxDeaths);
}

TEST(PromptPart, IsLiftedAsAWhole)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int i = 0; i < 5; ++i)
        lost.lose(LostCalls::call({"deadly"}), at(i * 1000));
    const std::vector<CrashReport> before = table.reports(at(4500));
    table.withdrawAll(part("deadly"), at(4500));
    EXPECT_EQ(table.check(part("deadly"), at(4500)), QuarantineState::Clear);
    for (const CrashReport &report : before) {
        if (report.fingerprint != part("deadly"))
            continue;
        EXPECT_FALSE(table.onCrashReport(report, at(4600)));
    }
}

// Guards against a part that all calls have: servers that lost power together return one after the
// other, and each resets the connections that it does not know.
TEST(PromptPart, ThatAllCallsHaveIsNotQuarantinedWhenServersReturnAfterAPowerFailure)
{
    Quarantine table(threeDeaths());
    for (int server = 0; server < 9; ++server) {
        CrashEvidence evidence;
        evidence.isConnectionBroken = true;
        const absl::Duration outage = absl::Milliseconds(3000 + server * 400);
        evidence.silentFor = outage;
        table.onCallLost(BackendServerId(absl::StrCat("server-", server)), 1,
                         LostCalls::call({"common"}), commonCauseSince(evidence, kNow + outage),
                         kNow + outage);
    }
    EXPECT_FALSE(table.refuses(LostCalls::call({"common"}), at(7000)));
}

// Guards against a service with few servers, each of which is back under its id after some seconds:
// all deaths of one server counted once, and the part was never quarantined.
TEST(PromptPart, IsQuarantinedWhenItCrashesTheSameServersAgain)
{
    Quarantine table(threeDeaths());
    int deaths = 0;
    for (; deaths < 10 && !table.refuses(LostCalls::call({"deadly"}), at(deaths * 1300)); ++deaths)
        table.onCallLost(BackendServerId(absl::StrCat("server-", deaths % 2)),
                         static_cast<Incarnation>(1 + deaths / 2), LostCalls::call({"deadly"}),
                         commonCauseSince({}, at(deaths * 1300)), at(deaths * 1300));
    EXPECT_EQ(deaths, 3);
}

// Guards against a sound part that is refused because it was running on some of many servers that
// crashed: the deadly part's deaths there had been dropped, so they explained nothing.
TEST(PromptPart, ExplainsTheDeathsOfOthersThoughItHasMany)
{
    Quarantine table(threeDeaths());
    LostCalls lost(table);
    for (int death = 0; death < 40; ++death) {
        std::vector<CallFingerprints> calls = {LostCalls::call({"deadly"})};
        if (death % 4 == 0)
            calls.push_back(LostCalls::call({"sound"}));
        lost.loseAll(calls, at(death * 80));
    }
    EXPECT_TRUE(table.refuses(LostCalls::call({"deadly"}), at(3300)));
    EXPECT_FALSE(table.refuses(LostCalls::call({"sound"}), at(3300)));
}

struct Event
{
    bool isServed = false;
    CrashReport report;
};

Event anyEvent(Random &random)
{
    Event event;
    event.isServed = random.below(6) == 0;
    event.report.fingerprint = part(absl::StrCat(random.below(4)));
    event.report.server = BackendServerId(absl::StrCat("server-", random.below(10)));
    event.report.incarnation = random.below(3);
    event.report.diedAt = kNow - absl::Milliseconds(random.below(8000));
    event.report.causeSince = event.report.diedAt - absl::Milliseconds(random.below(1500));
    event.report.wasTrial = random.below(4) == 0;
    return event;
}

void merge(Quarantine &table, const Event &event)
{
    if (event.isServed)
        table.onServed({event.report.fingerprint, event.report.diedAt, absl::ZeroDuration()}, kNow);
    else
        table.onCrashReport(event.report, kNow);
}

// Messages between instances are lost, doubled and late; the order must not matter.
RC_GTEST_PROP(PromptPart, TablesWithTheSameReportsInAnyOrderAgree, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<Event> events(1 + random.below(40));
    for (Event &event : events)
        event = anyEvent(random);
    Quarantine first(threeDeaths());
    for (const Event &event : events)
        merge(first, event);
    for (std::size_t i = events.size() - 1; i > 0; --i)
        std::swap(events[i], events[random.below(i + 1)]);
    Quarantine second(threeDeaths());
    for (const Event &event : events) {
        merge(second, event);
        if (random.below(3) == 0)
            merge(second, event);
    }
    RC_ASSERT(first.digest() == second.digest());
    for (std::uint64_t id = 0; id < 4; ++id) {
        const Fingerprint key = part(absl::StrCat(id));
        RC_ASSERT(first.deathsSeen(key, kNow) == second.deathsSeen(key, kNow));
    }
}

// A part that was served after all of its deaths is never quarantined, whatever else happens; one
// that three calls in sequence were lost with is.
RC_GTEST_PROP(PromptPart, ServedAfterItsDeathsIsNeverQuarantined, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    Quarantine table(threeDeaths());
    for (std::uint64_t i = 0; i < 60; ++i)
        merge(table, anyEvent(random));
    const Fingerprint served = part("0");
    table.recordPartsServed({{served}}, kNow, kNow);
    for (std::uint64_t i = 0; i < 60; ++i)
        merge(table, anyEvent(random));
    RC_ASSERT(table.check(served, kNow) == QuarantineState::Clear);
}

} // namespace
} // namespace foxtailtally
