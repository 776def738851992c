#include "core/hash.h"
#include "core/random.h"
#include "core/text.h"
#include "servers/quarantine/crash_evidence.h"
#include "servers/quarantine/quarantine.h"
#include "servers/quarantine/trial_runs.h"
#include "servers/quarantine/trial_schedule.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
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

/** A call with these parts that no other call equals. */
CallFingerprints callWith(const std::vector<std::string> &parts)
{
    static int calls = 0;
    CallFingerprints call;
    call.call = fingerprintOf(absl::StrCat("call ", ++calls));
    for (const std::string &id : parts)
        call.parts.push_back(part(id));
    return call;
}

absl::Time at(double seconds)
{
    return kNow + absl::Seconds(seconds);
}

class QuarantineTrial : public testing::Test
{
protected:
    /** Another server dies under @p call. */
    void lose(const CallFingerprints &call, double seconds, bool wasTrial = false)
    {
        const BackendServerId server(absl::StrCat("server-", ++this->servers));
        this->table.onCallLost(server, 1, call, commonCauseSince({}, at(seconds)), at(seconds),
                               wasTrial);
    }
    void serve(const CallFingerprints &call, double seconds)
    {
        this->table.recordPartsServed(call.parts, at(seconds), at(seconds));
    }
    /** The first moment from @p seconds on at which a call like @p call may run as a trial. */
    double trialDueAfter(const CallFingerprints &call, double seconds)
    {
        for (double time = seconds; time < seconds + 4000; time += 0.1) {
            Quarantine copy = this->table;
            if (copy.startTrial(call, at(time)))
                return time;
        }
        return -1;
    }

    Quarantine table {threeDeaths()};
    int servers = 0;
};

// Guards against refusing a sound part for an hour because one server more has died under it than
// under the deadly part that it comes with, at whatever moment that server died.
TEST_F(QuarantineTrial, ReleasesASoundPartAfterACrashOfAnotherCause)
{
    for (int unrelated = 0; unrelated < 4; ++unrelated) {
        this->table = Quarantine(threeDeaths());
        for (int death = 0; death < 4; ++death)
            this->lose(death == unrelated ? callWith({"sound"}) : callWith({"sound", "deadly"}),
                       death * 2);
        const CallFingerprints call = callWith({"sound"});
        EXPECT_TRUE(this->table.refuses(call, at(6.1)));
        EXPECT_FALSE(this->table.startTrial(call, at(7.9)));
        EXPECT_LE(this->table.retryAfter(call, at(6.1)), kTrialDelay);
        const std::optional<Trial> trial = this->table.startTrial(call, at(8.1));
        ASSERT_TRUE(trial) << unrelated;
        EXPECT_FALSE(this->table.refusesTrial(call, *trial, at(8.2)));
        EXPECT_TRUE(this->table.refuses(callWith({"sound"}), at(8.2)));
        this->serve(call, 9);
        EXPECT_FALSE(this->table.refuses(callWith({"sound"}), at(9.1)));
        EXPECT_TRUE(this->table.refuses(callWith({"sound", "deadly"}), at(9.1)));
        EXPECT_TRUE(this->table.refuses(callWith({"deadly"}), at(9.1)));
    }
}

// The same with several crashes of other causes, some of them before the deadly part is known.
TEST_F(QuarantineTrial, ReleasesASoundPartAfterCrashesOfSeveralOtherCauses)
{
    this->lose(callWith({"sound"}), 0);
    this->lose(callWith({"sound", "deadly"}), 2);
    this->lose(callWith({"sound"}), 4);
    this->lose(callWith({"sound", "deadly"}), 6);
    this->lose(callWith({"sound"}), 8);
    const CallFingerprints call = callWith({"sound"});
    EXPECT_TRUE(this->table.refuses(call, at(8.1)));
    EXPECT_NEAR(this->trialDueAfter(call, 8.1), 10, 0.2);
    ASSERT_TRUE(this->table.startTrial(call, at(10.1)));
    this->serve(call, 10.5);
    EXPECT_FALSE(this->table.refuses(callWith({"sound"}), at(10.6)));
}

// The evidence against a part is conclusive if it has five deaths that no other part explains.
TEST_F(QuarantineTrial, IsLateAfterManyDeathsOfASinglePart)
{
    for (int death = 0; death < 5; ++death)
        this->lose(callWith({"sound"}), death);
    const CallFingerprints call = callWith({"sound"});
    EXPECT_NEAR(this->trialDueAfter(call, 4.1), 4 + absl::ToDoubleSeconds(kLateTrialDelay), 0.2);
    ASSERT_TRUE(this->table.startTrial(call, at(65)));
    this->serve(call, 65.5);
    EXPECT_FALSE(this->table.refuses(callWith({"sound"}), at(65.6)));
}

// A sound part that comes late in the prompts is held by the same rule as the first one, and may
// have other deaths than that.
TEST_F(QuarantineTrial, ReleasesAllSoundPartsOfACall)
{
    this->lose(callWith({"first", "deadly", "later"}), 0);
    this->lose(callWith({"first", "deadly"}), 2);
    this->lose(callWith({"first", "deadly", "later"}), 4);
    this->lose(callWith({"first", "later"}), 6);
    this->lose(callWith({"first"}), 8);
    const CallFingerprints call = callWith({"first", "later"});
    const double due = this->trialDueAfter(call, 8.1);
    EXPECT_LT(due, 8 + 4 * absl::ToDoubleSeconds(kTrialDelay));
    EXPECT_GT(this->trialDueAfter(callWith({"first", "deadly", "later"}), 8.1), due);
    ASSERT_TRUE(this->table.startTrial(call, at(due)));
    this->serve(call, due + 1);
    EXPECT_FALSE(this->table.refuses(callWith({"first", "later"}), at(due + 1)));
    EXPECT_TRUE(this->table.refuses(callWith({"deadly"}), at(due + 1)));
}

// The trial of a call with both parts would crash a server and tell nothing about the sound one.
TEST_F(QuarantineTrial, TriesCallsWithoutTheOtherSuspectFirst)
{
    for (int death = 0; death < 3; ++death)
        this->lose(callWith({"sound", "deadly"}), death * 2);
    this->lose(callWith({"sound"}), 6);
    const double alone = this->trialDueAfter(callWith({"sound"}), 6.1);
    const double both = this->trialDueAfter(callWith({"sound", "deadly"}), 6.1);
    EXPECT_NEAR(alone, 8, 0.2);
    EXPECT_GT(both, alone + 4);
}

// Guards against a part that crashes servers and gets one trial after the other: users allow three
// calls with it after its fifth crash.
TEST_F(QuarantineTrial, IsRepeatedForADeadlyPartOnlyOnce)
{
    for (int death = 0; death < 20; ++death)
        this->lose(callWith({"deadly"}), death * 0.2);
    int trials = 0;
    for (double time = 4; time < 3500; time += 0.1) {
        const CallFingerprints call = callWith({"deadly"});
        EXPECT_TRUE(this->table.refuses(call, at(time)));
        if (!this->table.startTrial(call, at(time)))
            continue;
        ++trials;
        this->lose(call, time + 0.5, true);
    }
    EXPECT_EQ(trials, static_cast<int>(kMaxLostTrials));
    EXPECT_GT(this->table.retryAfter(callWith({"deadly"}), at(200)), absl::Minutes(50));
}

// A trial that crashes its server, and a server that dies at another instance, both end it.
TEST_F(QuarantineTrial, EndsWithTheNextDeath)
{
    for (int death = 0; death < 3; ++death)
        this->lose(callWith({"deadly"}), death * 2);
    const CallFingerprints call = callWith({"deadly"});
    const std::optional<Trial> trial = this->table.startTrial(call, at(7));
    ASSERT_TRUE(trial);
    EXPECT_FALSE(this->table.refusesTrial(call, *trial, at(7.1)));
    this->lose(call, 7.5, true);
    EXPECT_TRUE(this->table.refusesTrial(call, *trial, at(7.6)));
}

// Guards against several instances that try the same part at the same moment.
TEST_F(QuarantineTrial, IsNotStartedWhileAnotherInstanceRunsOne)
{
    for (int death = 0; death < 3; ++death)
        this->lose(callWith({"sound"}), death * 2);
    const TrialReport report = {part("sound"), at(7)};
    EXPECT_TRUE(this->table.onTrial(report, at(7)));
    EXPECT_FALSE(this->table.onTrial(report, at(7.1)));
    EXPECT_FALSE(this->table.onTrial({part("sound"), at(7.1)}, at(7.1)));
    const CallFingerprints call = callWith({"sound"});
    EXPECT_FALSE(this->table.startTrial(call, at(8)));
    EXPECT_EQ(this->table.retryAfter(call, at(8)), kUsualTrialTime);
    // Its instance may have ended.
    EXPECT_TRUE(this->table.startTrial(call, at(7) + kTrialTimeout));
}

// An instance that restarts does not know the trials that run, and learns of the deaths from others
// or from the store, with those of trials.
TEST_F(QuarantineTrial, IsNotRepeatedByAnInstanceThatRestarts)
{
    for (int death = 0; death < 3; ++death)
        this->lose(callWith({"deadly"}), death * 2);
    this->lose(callWith({"deadly"}), 7, true);
    Quarantine restarted(threeDeaths());
    restarted.holdTrials(at(18));
    for (const CrashReport &report : this->table.reports(at(8)))
        restarted.onCrashReport(report, at(8));
    EXPECT_EQ(restarted.digest(), this->table.digest());
    const CallFingerprints call = callWith({"deadly"});
    EXPECT_EQ(restarted.retryAfter(call, at(17)), this->table.retryAfter(call, at(17)));
    EXPECT_FALSE(restarted.startTrial(call, at(60)));
    restarted.holdTrials(at(80));
    EXPECT_FALSE(restarted.startTrial(call, at(70)));
    EXPECT_EQ(restarted.retryAfter(call, at(70)), absl::Seconds(10));
    EXPECT_EQ(restarted.retryAfter(callWith({"sound"}), at(70)), absl::ZeroDuration());
    EXPECT_TRUE(restarted.startTrial(call, at(80)));
}

// An instance that has another report of the death does not know that it was a trial's.
TEST_F(QuarantineTrial, IsToldToInstancesThatKnowTheDeath)
{
    CrashReport report = {part("deadly"), BackendServerId("server-1"), 1, kNow, kNow};
    EXPECT_TRUE(this->table.onCrashReport(report, kNow));
    const std::uint64_t before = this->table.digest();
    EXPECT_FALSE(this->table.onCrashReport(report, kNow));
    report.wasTrial = true;
    EXPECT_TRUE(this->table.onCrashReport(report, kNow));
    EXPECT_NE(this->table.digest(), before);
    EXPECT_TRUE(this->table.reports(kNow).front().wasTrial);
}

// Guards against refusing a sound call for an hour that was sent again and again while servers died
// of other causes.
TEST_F(QuarantineTrial, ReleasesAWholeCall)
{
    const CallFingerprints call = callWith({});
    for (int death = 0; death < 3; ++death)
        this->lose(call, death * 2);
    EXPECT_TRUE(this->table.refuses(call, at(5)));
    // A call has no other fingerprint that may have caused the deaths.
    EXPECT_NEAR(this->trialDueAfter(call, 5), 4 + absl::ToDoubleSeconds(kLateTrialDelay), 0.2);
    ASSERT_TRUE(this->table.startTrial(call, at(65)));
    this->table.recordServed(call.call, at(66));
    EXPECT_FALSE(this->table.refuses(call, at(66)));
}

// Guards against forgetting the deadly part when all instances restart: the deaths were explained
// by the sound part when they were stored.
TEST_F(QuarantineTrial, RecordsTheDeathsThatAnotherPartExplains)
{
    for (int death = 0; death < 3; ++death)
        this->lose(callWith({"sound", "deadly"}), death * 2);
    this->lose(callWith({"sound"}), 6);
    EXPECT_EQ(this->table.deathsSeen(part("deadly"), at(6.1)), 0U);
    const std::vector<CrashReport> recorded = this->table.deathsToRecord(at(6.1));
    EXPECT_EQ(std::count_if(
                  recorded.begin(), recorded.end(),
                  [](const CrashReport &report) { return report.fingerprint == part("deadly"); }),
              3);
}

TEST(TrialRuns, AreBounded)
{
    TrialRuns runs;
    for (std::size_t i = 0; i < TrialRuns::kMaxRuns + 10; ++i)
        runs.add({part(absl::StrCat(i)), kNow}, kNow);
    EXPECT_FALSE(runs.add({part("one more"), kNow}, kNow));
    EXPECT_FALSE(runs.add({part("old"), kNow}, kNow + kTrialTimeout));
    runs.onTick(kNow + kTrialTimeout);
    EXPECT_TRUE(runs.add({part("one more"), kNow + kTrialTimeout}, kNow + kTrialTimeout));
}

/** Calls with and without a deadly part, at a fleet whose servers also die of other causes. */
class FleetWithADeadlyPart
{
public:
    static constexpr int kSoundParts = 5;
    static constexpr double kRunTime = 0.4;

    explicit FleetWithADeadlyPart(Random &random)
        : random(random)
    { }

    void run(double seconds)
    {
        for (double time = 0; time < seconds; time += 0.1) {
            this->endRuns(time);
            const std::string sound = absl::StrCat("sound-", this->random.below(kSoundParts));
            if (this->random.below(3) == 0)
                this->send({sound}, time);
            if (this->random.below(10) == 0)
                this->send({sound, "deadly"}, time);
        }
    }

    std::vector<double> crashes;
    std::vector<double> deadlyArrivals;
    /** Longest time for which calls with only sound parts were refused one after the other. */
    double longestRefusal = 0;

private:
    struct Run
    {
        CallFingerprints call;
        std::optional<Trial> trial;
        bool isDeadly = false;
        bool hitsCrash = false;
        double end = 0;
    };

    void send(const std::vector<std::string> &parts, double time)
    {
        Run run;
        run.call = callWith(parts);
        run.isDeadly = parts.size() > 1;
        run.end = time + kRunTime;
        if (this->table.refuses(run.call, at(time))) {
            run.trial = this->table.startTrial(run.call, at(time));
            if (!run.isDeadly && !run.trial) {
                const auto since = this->refusedSince.try_emplace(parts.front(), time).first;
                this->longestRefusal = std::max(this->longestRefusal, time - since->second);
            }
            if (!run.trial)
                return;
        }
        if (run.isDeadly)
            this->deadlyArrivals.push_back(time);
        else
            this->refusedSince.erase(parts.front());
        run.hitsCrash = !run.isDeadly && this->random.below(40) == 0;
        this->runs.push_back(run);
    }

    void endRuns(double time)
    {
        std::vector<Run> open;
        for (const Run &run : this->runs) {
            if (run.end > time) {
                open.push_back(run);
            } else if (run.isDeadly || run.hitsCrash) {
                if (run.isDeadly)
                    this->crashes.push_back(time);
                this->table.onCallLost(BackendServerId(absl::StrCat("server-", ++this->servers)), 1,
                                       run.call, commonCauseSince({}, at(time)), at(time),
                                       run.trial.has_value());
            } else {
                this->table.recordPartsServed(run.call.parts, at(time), at(time));
            }
        }
        this->runs = open;
    }

    Random &random;
    Quarantine table {threeDeaths()};
    std::vector<Run> runs;
    absl::btree_map<std::string, double> refusedSince;
    int servers = 0;
};

// The two rules of the users together: few calls with the part reach servers once it has crashed
// five, and sound calls with the same other parts come back within seconds, or with two crashes of
// other causes in a row, within minutes.
RC_GTEST_PROP(TrialFleet, HoldsADeadlyPartAndReleasesSoundOnes, ())
{
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    FleetWithADeadlyPart fleet(random);
    fleet.run(200);
    RC_ASSERT(fleet.crashes.size() >= 3U);
    const double deciding = fleet.crashes[std::min<std::size_t>(fleet.crashes.size(), 5) - 1];
    const auto late = std::count_if(fleet.deadlyArrivals.begin(), fleet.deadlyArrivals.end(),
                                    [&](double time) { return time > deciding + 3; });
    RC_ASSERT(late <= 3);
    RC_ASSERT(fleet.longestRefusal < 2 * absl::ToDoubleSeconds(kLateTrialDelay));
}

} // namespace
} // namespace foxtailtally
