#include "tests/fleet/fleet_model.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <vector>

namespace foxtailtally {
namespace {

/** Size of a fleet, with the bounds that users require there. */
struct FleetSize
{
    FleetModel::Options options;
    /** Time within which a change must be in force at a connected instance (ApplyMs). */
    absl::Duration applyBound;
    /** Calls that the store takes in a second (ReadsPerS), for all kinds. */
    std::size_t storeRate = 0;
};

const std::vector<FleetSize> kSizes = {{{3, 2, 2}, absl::Milliseconds(2000), 2000},
                                       {{3, 10, 3}, absl::Milliseconds(3000), 6000},
                                       {{4, 25, 3}, absl::Milliseconds(3000), 6000},
                                       {{5, 59, 3}, absl::Milliseconds(4000), 16000}};

/** Time until the fleet has settled after it was started or a disruption has ended. */
constexpr absl::Duration kStable = absl::Seconds(3);

void serveFor(FleetModel &fleet, StoreAnswer away, absl::Duration time)
{
    fleet.setStoreForAll(away);
    fleet.run(time);
}

/** The store is away for @p outage and returns with @p copy. */
void restore(FleetModel &fleet, std::size_t copy, absl::Duration outage, StoreAnswer away,
             bool breaksCalls = true)
{
    serveFor(fleet, away, outage);
    fleet.restore(copy, breaksCalls);
    fleet.setStoreForAll(StoreAnswer::Serve);
}

/** Instances that lack a change that the store acknowledged longer than @p bound ago. */
std::size_t lateInstances(const FleetModel &fleet, absl::Duration bound)
{
    std::size_t late = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        late += fleet.isRunning(i) && !fleet.isPaused(i) && fleet.lag(i) > bound ? 1 : 0;
    return late;
}

/** Runs the fleet for @p time; returns what was broken first. */
std::string brokenRule(FleetModel &fleet, absl::Duration time, absl::Duration applyBound)
{
    std::vector<std::int64_t> versions(fleet.size());
    for (std::size_t i = 0; i < fleet.size(); ++i)
        versions[i] = fleet.version(i);
    for (const absl::Time end = fleet.now() + time; fleet.now() < end;) {
        fleet.run(FleetModel::kStep);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.version(i) < versions[i])
                return absl::StrCat("instance ", i, " went back to version ", fleet.version(i));
            versions[i] = fleet.version(i);
        }
        const std::vector<std::size_t> wrong = fleet.wronglyConfirmed();
        if (!wrong.empty())
            return absl::StrCat("instance ", wrong.front(), " confirmed an older version");
        if (lateInstances(fleet, applyBound) > 0)
            return absl::StrCat(lateInstances(fleet, applyBound), " instances late");
    }
    return {};
}

class RestoredFleet : public testing::TestWithParam<FleetSize>
{
protected:
    RestoredFleet()
        : fleet(GetParam().options)
    {
        this->fleet.run(kStable);
    }
    std::string brokenRuleIn(absl::Duration time)
    {
        return brokenRule(this->fleet, time, GetParam().applyBound);
    }

    FleetModel fleet;
};

// Guards against a change that is ignored because a restored store gives the revisions that the
// instances hold out again.
TEST_P(RestoredFleet, TheNextChangeIsInForceInTime)
{
    for (const int lost : {0, 1, 2, 5}) {
        for (const int sinceReturnMs : {0, 100, 900, 2500}) {
            const std::size_t copy = this->fleet.copy();
            for (int i = 0; i < lost; ++i) {
                this->fleet.change();
                this->fleet.run(absl::Milliseconds(700));
            }
            this->fleet.run(GetParam().applyBound);
            restore(this->fleet, copy, absl::Seconds(2), StoreAnswer::Refuse);
            EXPECT_EQ(this->brokenRuleIn(absl::Milliseconds(sinceReturnMs)), "");
            this->fleet.change();
            EXPECT_EQ(this->brokenRuleIn(GetParam().applyBound + absl::Seconds(1)), "")
                << lost << " lost, change after " << sinceReturnMs << " ms";
        }
    }
}

// Guards against changes that are ignored until the counter of a restored store has met or passed
// the lost revision.
TEST_P(RestoredFleet, ChangesAtTheLostRevisionsAreInForceInTime)
{
    for (int changes = 1; changes <= 5; ++changes) {
        const std::size_t copy = this->fleet.copy();
        for (int i = 0; i < 3; ++i)
            this->fleet.change();
        this->fleet.run(GetParam().applyBound);
        restore(this->fleet, copy, absl::Seconds(1), StoreAnswer::Refuse);
        for (int i = 0; i < changes; ++i)
            this->fleet.change();
        EXPECT_EQ(this->brokenRuleIn(GetParam().applyBound + absl::Seconds(1)), "") << changes;
    }
}

// Guards against a lost version that the operator writes again and that some instances ignore, and
// against a process that starts while the copy serves and accepts what was revoked.
TEST_P(RestoredFleet, AProcessThatStartsTakesTheNewestVersionOfTheOthers)
{
    for (std::size_t holder = 0; holder < 6; ++holder) {
        const std::size_t copy = this->fleet.copy();
        this->fleet.change();
        this->fleet.run(GetParam().applyBound);
        restore(this->fleet, copy, absl::Seconds(1), StoreAnswer::Silent);
        for (std::size_t i = 0; i < this->fleet.size(); ++i) {
            if (i != holder)
                this->fleet.restart(i);
        }
        this->fleet.run(GetParam().applyBound);
        for (std::size_t i = 0; i < this->fleet.size(); ++i)
            EXPECT_EQ(this->fleet.version(i), this->fleet.newestVersion())
                << i << ", only " << holder << " holds it";
        this->fleet.rewrite();
        EXPECT_EQ(this->brokenRuleIn(GetParam().applyBound + absl::Seconds(1)), "");
    }
}

// Guards against an aggregator that holds the lost history and leads its followers astray, also
// when it is frozen or killed over the restore.
TEST_P(RestoredFleet, NoAggregatorHoldsTheLostHistory)
{
    const std::size_t domains = GetParam().options.domains;
    for (const bool isKilled : {false, true}) {
        for (std::size_t subject = 0; subject < domains; ++subject) {
            const std::size_t copy = this->fleet.copy();
            this->fleet.change();
            this->fleet.run(GetParam().applyBound);
            if (!isKilled)
                this->fleet.setPaused(subject, true);
            restore(this->fleet, copy, absl::Seconds(1), StoreAnswer::Refuse);
            if (isKilled)
                this->fleet.restart(subject);
            this->fleet.run(absl::Milliseconds(300));
            this->fleet.change();
            this->fleet.run(absl::Milliseconds(200));
            this->fleet.setPaused(subject, false);
            EXPECT_EQ(this->brokenRuleIn(GetParam().applyBound + absl::Seconds(1)), "")
                << subject << (isKilled ? " killed" : " frozen");
        }
    }
}

// Guards against a part of the fleet that stays in the lost history because the store does not
// answer it.
TEST_P(RestoredFleet, ReachesInstancesThatDoNotHearTheStore)
{
    // Only one instance reads the store; then every second one.
    for (const std::size_t step : {this->fleet.size(), std::size_t {2}}) {
        for (const StoreAnswer answer : {StoreAnswer::Refuse, StoreAnswer::Silent}) {
            for (std::size_t first = 0; first < 2; ++first) {
                const std::size_t copy = this->fleet.copy();
                this->fleet.change();
                this->fleet.run(GetParam().applyBound);
                restore(this->fleet, copy, absl::Seconds(1), StoreAnswer::Refuse);
                for (std::size_t i = 0; i < this->fleet.size(); ++i) {
                    if (i % step != first)
                        this->fleet.setStore(i, answer);
                }
                this->fleet.run(kStable);
                this->fleet.change();
                EXPECT_EQ(this->brokenRuleIn(GetParam().applyBound + absl::Seconds(1)), "")
                    << "every " << step << "th from " << first << " hears the store";
                this->fleet.setStoreForAll(StoreAnswer::Serve);
                this->fleet.run(kStable);
            }
        }
    }
}

// Guards against all instances that list the store at once after a restore.
TEST_P(RestoredFleet, ReadsTheStoreWithinItsRate)
{
    for (const StoreAnswer away : {StoreAnswer::Refuse, StoreAnswer::Silent}) {
        const std::size_t copy = this->fleet.copy();
        this->fleet.change();
        this->fleet.run(GetParam().applyBound);
        restore(this->fleet, copy, absl::Seconds(2), away);
        this->fleet.change();
        for (int second = 0; second < 5; ++second) {
            const std::size_t before = this->fleet.storeCalls();
            this->fleet.run(absl::Seconds(1));
            EXPECT_LE((this->fleet.storeCalls() - before) * kStoreKinds, GetParam().storeRate);
        }
        EXPECT_EQ(this->fleet.instancesInEra(), this->fleet.size());
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, RestoredFleet, testing::ValuesIn(kSizes), [](const auto &size) {
    return absl::StrCat(size.param.options.domains * size.param.options.perDomain, "Instances");
});

/** Random restores, with faults beside them. */
std::string brokenRuleUnderRestores()
{
    const FleetModel::Options options = {static_cast<std::size_t>(*rc::gen::inRange(1, 4)),
                                         static_cast<std::size_t>(*rc::gen::inRange(1, 5)), 2};
    const absl::Duration applyBound = kSizes.front().applyBound;
    FleetModel fleet(options);
    fleet.run(kStable);
    const int restores = *rc::gen::inRange(1, 4);
    for (int round = 0; round < restores; ++round) {
        const std::size_t copy = fleet.copy();
        const int lost = *rc::gen::inRange(0, 4);
        for (int i = 0; i < lost; ++i) {
            fleet.change();
            fleet.run(absl::Milliseconds(*rc::gen::inRange(10, 4000)));
        }
        const int fault = *rc::gen::inRange(0, 5);
        const auto subjects = *rc::gen::arbitrary<std::uint16_t>();
        const auto isSubject = [subjects](std::size_t node) {
            return ((subjects >> (node % 16)) & 1) != 0;
        };
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (isSubject(i) && fault == 1)
                fleet.setPaused(i, true);
            else if (isSubject(i) && fault == 2)
                fleet.kill(i);
        }
        if (fault == 3)
            fleet.setLinks(
                [isSubject](std::size_t a, std::size_t b) { return isSubject(a) == isSubject(b); });
        restore(fleet, copy, absl::Milliseconds(*rc::gen::inRange(0, 2500)),
                *rc::gen::element(StoreAnswer::Refuse, StoreAnswer::Silent),
                *rc::gen::arbitrary<bool>());
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (isSubject(i) && fault == 4)
                fleet.setStore(i, StoreAnswer::Silent);
        }
        // A restore within the recovery from the one before, or changes soon after it.
        const int changes = *rc::gen::inRange(0, 4);
        for (int i = 0; i < changes; ++i) {
            fleet.run(absl::Milliseconds(*rc::gen::inRange(0, 800)));
            if (*rc::gen::arbitrary<bool>())
                fleet.rewrite();
            else
                fleet.change();
            RC_ASSERT(fleet.wronglyConfirmed().empty());
        }
        if (*rc::gen::arbitrary<bool>())
            continue;
        fleet.run(absl::Milliseconds(*rc::gen::inRange(0, 2000)));
        fleet.setStoreForAll(StoreAnswer::Serve);
        fleet.setLinks([](std::size_t, std::size_t) { return true; });
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.isPaused(i))
                fleet.setPaused(i, false);
            else if (!fleet.isRunning(i))
                fleet.restart(i);
        }
        const std::string broken =
            brokenRule(fleet, absl::Milliseconds(300), absl::InfiniteDuration());
        if (!broken.empty())
            return broken;
    }
    fleet.setStoreForAll(StoreAnswer::Serve);
    fleet.setLinks([](std::size_t, std::size_t) { return true; });
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isPaused(i))
            fleet.setPaused(i, false);
        else if (!fleet.isRunning(i))
            fleet.restart(i);
    }
    const std::string broken = brokenRule(fleet, kStable, absl::InfiniteDuration());
    if (!broken.empty())
        return broken;
    fleet.change();
    return brokenRule(fleet, applyBound + absl::Seconds(1), applyBound);
}

// For any order of restores, changes and faults: no version goes back, none is wrongly confirmed,
// and the next change is in force in time.
TEST(RestoredFleetTest, KeepsItsBoundsUnderRandomRestores)
{
    EXPECT_TRUE(rc::check("restores and faults in any order", [] {
        const std::string broken = brokenRuleUnderRestores();
        if (!broken.empty())
            RC_FAIL(broken);
    }));
}

} // namespace
} // namespace foxtailtally
