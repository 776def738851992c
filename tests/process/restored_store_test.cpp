#include "tests/process/gateway_deployment.h"
#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <thread>

namespace foxtailtally {
namespace {

/** Two of them share a failure domain. */
constexpr int kGateways = 4;
/** Shortest ApplyMs of the users' deployments. */
constexpr absl::Duration kApplyBound = absl::Seconds(2);
/** Time after which a change of the store is in force while nothing is disturbed. */
constexpr absl::Duration kCalmApplyTime = absl::Seconds(1);
constexpr absl::Duration kPollInterval = absl::Milliseconds(30);
/** Revisions that are lost in addition to those of the change under test. */
constexpr int kRevisionsLost = 10;

const std::string kKey = "key-1";
/** RevokeMs of the users' deployments. The version of the copy confirms no keys, so that calls are
 * refused when it is served for longer. */
const std::string kRevocationBound = "[keys]\nrevocation_bound = 5 s\n";
const std::string kEvacuations(platform::kEvacuationKind);
const std::string kDeaths(platform::kCrashReportKind);
const std::string kInstances(platform::kInstanceKind);
const std::string kServers(platform::kServerKind);

/** Four gateways, and a store that is restored from a copy. */
class RestoredStore : public testing::Test
{
protected:
    RestoredStore()
        : deployment(kGateways)
    {
        this->deployment.setExtraSettings(kRevocationBound);
        this->deployment.configure(1, {kKey});
        this->addServer(0, "d0");
        this->addServer(1, "d1");
    }

    ServingStandin &platform() { return this->deployment.platform(); }
    void addServer(int index, const std::string &domain)
    {
        this->platform().addServer(index, "desk", domain, this->platform().serverAddress(index));
    }
    void startAll()
    {
        for (int gateway = 0; gateway < kGateways; ++gateway)
            this->deployment.start(gateway);
        for (int gateway = 0; gateway < kGateways; ++gateway)
            ASSERT_TRUE(this->deployment.waitUntilReady(gateway)) << gateway;
        absl::SleepFor(kCalmApplyTime);
    }
    void takeCopy()
    {
        this->platform().withStore([](RestorableStore &store) { store.takeCopy(); });
    }
    void restore(const RestorableStore::Restore &how)
    {
        this->platform().withStore(
            [&how](RestorableStore &store) { store.restore(how, absl::Now()); });
    }
    void waitForReturn()
    {
        bool isAway = true;
        while (isAway) {
            this->platform().withStore(
                [&isAway](const RestorableStore &store) { isAway = store.isAway(); });
            absl::SleepFor(absl::Milliseconds(5));
        }
    }
    std::int64_t revision()
    {
        std::int64_t result = 0;
        this->platform().withStore(
            [&result](const RestorableStore &store) { result = store.revision(); });
        return result;
    }
    void advanceTo(std::int64_t revision)
    {
        this->platform().withStore(
            [revision](RestorableStore &store) { store.advanceTo(revision); });
    }

    CallerAnswer call(int gateway, const std::string &path, const std::string &key = kKey,
                      const std::string &body = "b")
    {
        CallerRequest request;
        request.address = this->deployment.callerAddress(gateway);
        request.path = path;
        request.body = body;
        request.headers = {absl::StrCat("Attempt-Id: call-", ++this->calls), "Key: " + key,
                           "Deadline-Ms: 1500"};
        return callGateway(request);
    }
    /** Statuses of calls that are sent to all gateways for @p time, with their numbers. */
    std::map<int, int> statusesFor(absl::Duration time, const std::string &path,
                                   const std::string &key = kKey, const std::string &body = "b")
    {
        std::map<int, int> statuses;
        const absl::Time end = absl::Now() + time;
        while (absl::Now() < end) {
            for (int gateway = 0; gateway < kGateways; ++gateway)
                ++statuses[this->call(gateway, path, key, body).status];
            absl::SleepFor(kPollInterval);
        }
        return statuses;
    }
    /** True when @p condition holds within @p limit. */
    template <typename Condition>
    static bool holdsWithin(absl::Duration limit, Condition condition)
    {
        const absl::Time end = absl::Now() + limit;
        while (!condition()) {
            if (absl::Now() > end)
                return false;
            absl::SleepFor(kPollInterval);
        }
        return true;
    }
    bool allAnswer(int status, const std::string &path, const std::string &key = kKey,
                   const std::string &body = "b")
    {
        for (int gateway = 0; gateway < kGateways; ++gateway) {
            if (this->call(gateway, path, key, body).status != status)
                return false;
        }
        return true;
    }
    /** Calls that reached server @p index after @p begin. */
    long arrivalsAfter(absl::Time begin, int index)
    {
        const std::vector<ServerArrival> arrivals = this->platform().arrivals();
        return std::count_if(arrivals.begin(), arrivals.end(), [&](const ServerArrival &arrival) {
            return arrival.at > begin && arrival.server == ServingStandin::serverName(index);
        });
    }
    /** The server that gets the calls when nothing keeps them from it. */
    int preferredServer()
    {
        this->statusesFor(absl::Milliseconds(500), "/look/a");
        const int preferred = this->arrivalsAfter(absl::InfinitePast(), 0)
                > this->arrivalsAfter(absl::InfinitePast(), 1)
            ? 0
            : 1;
        EXPECT_GT(this->arrivalsAfter(absl::InfinitePast(), preferred), 0);
        return preferred;
    }
    /** Makes a call with @p body crash servers until all gateways refuse it. */
    void quarantine(const std::string &body)
    {
        this->platform().setCrashingBody(body, absl::Milliseconds(500));
        ASSERT_TRUE(holdsWithin(absl::Seconds(10), [&] {
            return this->allAnswer(503, "/look/a", kKey, body)
                && this->platform().objectNames(kDeaths).size() >= 2;
        }));
        this->platform().setCrashingBody("", absl::Milliseconds(500));
        absl::SleepFor(kCalmApplyTime);
    }

    GatewayDeployment deployment;
    std::atomic<int> calls = 0;
};

const std::map<int, int> kNone;

/** The statuses but for @p status. */
std::map<int, int> without(std::map<int, int> statuses, int status)
{
    statuses.erase(status);
    return statuses;
}

// Guards against instances that go back to the version of the copy.
TEST_F(RestoredStore, ServesARouteThatWasAddedAfterTheCopy)
{
    this->startAll();
    this->takeCopy();
    this->deployment.addRoute("/new/");
    this->deployment.configure(2, {kKey});
    ASSERT_TRUE(holdsWithin(kApplyBound, [&] { return this->allAnswer(200, "/new/a"); }));
    this->restore({absl::Milliseconds(500), absl::Seconds(2)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(4), "/new/a"), 200), kNone);
}

// The version of the copy still holds the key.
TEST_F(RestoredStore, RefusesAKeyThatWasRevokedAfterTheCopy)
{
    this->deployment.configure(1, {kKey, "key-2"});
    this->startAll();
    this->takeCopy();
    this->deployment.configure(2, {kKey});
    ASSERT_TRUE(holdsWithin(kApplyBound, [&] { return this->allAnswer(401, "/look/a", "key-2"); }));
    this->restore({absl::Milliseconds(500), absl::Seconds(2)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(4), "/look/a", "key-2"), 401), kNone);
}

/** Change after the return of the store, at a revision that depends on the lost one. */
class ChangeAfterRestore : public RestoredStore, public testing::WithParamInterface<int>
{ };

// A change was ignored until the counter of the restored store had passed the revision of the lost
// version; a watch from a revision that was given out again skipped it.
TEST_P(ChangeAfterRestore, IsInForceInTime)
{
    this->startAll();
    this->takeCopy();
    this->advanceTo(this->revision() + kRevisionsLost);
    this->deployment.configure(2, {kKey});
    absl::SleepFor(kCalmApplyTime);
    const std::int64_t lost = this->revision();
    this->restore({absl::Milliseconds(500), absl::InfiniteDuration()});
    this->waitForReturn();
    this->advanceTo(lost + GetParam() - 1);
    this->deployment.addRoute("/new/");
    this->deployment.configure(3, {kKey});
    EXPECT_TRUE(holdsWithin(kApplyBound, [&] { return this->allAnswer(200, "/new/a"); }));
}

INSTANTIATE_TEST_SUITE_P(BelowAtAndPastTheLostRevision, ChangeAfterRestore,
                         testing::Values(-3, 0, 1));

// The copy lists the server as ready.
TEST_F(RestoredStore, GivesNoCallToAServerThatDrainsSinceTheCopy)
{
    this->startAll();
    const int server = this->preferredServer();
    this->takeCopy();
    this->platform().startDraining(server);
    absl::SleepFor(kCalmApplyTime);
    const absl::Time drained = absl::Now();
    this->restore({absl::Milliseconds(500), absl::Seconds(3)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(6), "/look/a"), 200), kNone);
    EXPECT_EQ(this->arrivalsAfter(drained, server), 0);
}

// Some servers never report that they drain: their entry is removed, and the copy has it.
TEST_F(RestoredStore, GivesNoCallToAServerThatLeftSinceTheCopy)
{
    this->startAll();
    const int server = this->preferredServer();
    this->takeCopy();
    this->platform().removeObject(kServers, ServingStandin::serverName(server));
    absl::SleepFor(kCalmApplyTime);
    const absl::Time left = absl::Now();
    this->restore({absl::Milliseconds(500), absl::Seconds(3)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(6), "/look/a"), 200), kNone);
    EXPECT_EQ(this->arrivalsAfter(left, server), 0);
}

// Without the servers that the copy lacks, none would be left.
TEST_F(RestoredStore, KeepsServersThatTheCopyLacks)
{
    this->startAll();
    this->takeCopy();
    this->addServer(2, "d0");
    this->addServer(3, "d1");
    absl::SleepFor(kCalmApplyTime);
    for (const int index : {0, 1})
        this->platform().removeObject(kServers, ServingStandin::serverName(index));
    absl::SleepFor(kCalmApplyTime);
    this->restore({absl::Milliseconds(500), absl::Seconds(1)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(4), "/look/a"), 200), kNone);
    EXPECT_GT(this->arrivalsAfter(absl::InfinitePast(), 2), 0);
}

// The copy lacks the evacuation until the operator has written it again.
TEST_F(RestoredStore, KeepsADomainEvacuated)
{
    this->startAll();
    const int server = this->preferredServer();
    const std::string domain = absl::StrCat("d", server);
    this->takeCopy();
    this->platform().putObject(kEvacuations, domain, "{}");
    absl::SleepFor(kCalmApplyTime);
    const absl::Time evacuated = absl::Now();
    this->restore({absl::Milliseconds(500), absl::Seconds(3)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(6), "/look/a"), 200), kNone);
    EXPECT_EQ(this->arrivalsAfter(evacuated, server), 0);
    this->platform().removeObject(kEvacuations, domain);
    absl::SleepFor(kCalmApplyTime);
    this->statusesFor(absl::Milliseconds(500), "/look/a");
    EXPECT_GT(this->arrivalsAfter(evacuated, server), 0);
}

// The copy has an evacuation that was taken back; no server of the only other domain is left.
TEST_F(RestoredStore, DoesNotStartAnEvacuationAgainThatWasTakenBack)
{
    this->platform().putObject(kEvacuations, "d0", "{}");
    this->startAll();
    this->takeCopy();
    this->platform().removeObject(kEvacuations, "d0");
    absl::SleepFor(kCalmApplyTime);
    this->platform().removeObject(kServers, ServingStandin::serverName(1));
    absl::SleepFor(kCalmApplyTime);
    this->restore({absl::Milliseconds(500), absl::Seconds(1)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(4), "/look/a"), 200), kNone);
}

// The absence of the objects was taken for an operator's lifting.
TEST_F(RestoredStore, KeepsACallQuarantined)
{
    for (int index = 2; index < 6; ++index)
        this->addServer(index, absl::StrCat("d", index % 3));
    this->startAll();
    this->takeCopy();
    this->quarantine("crashes");
    this->restore({absl::Milliseconds(500), absl::InfiniteDuration()});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(4), "/look/a", kKey, "crashes"), 503), kNone);
    EXPECT_TRUE(holdsWithin(absl::Seconds(3),
                            [&] { return this->platform().objectNames(kDeaths).size() >= 2; }));
    for (int gateway = 0; gateway < kGateways; ++gateway)
        this->deployment.process(gateway).signal(SIGKILL);
    for (int gateway = 0; gateway < kGateways; ++gateway)
        ASSERT_TRUE(this->deployment.process(gateway).waitForEnd(absl::Seconds(3)));
    this->startAll();
    EXPECT_TRUE(this->allAnswer(503, "/look/a", kKey, "crashes"));
}

// The copy has the objects that the operator had removed.
TEST_F(RestoredStore, DoesNotQuarantineACallAgainThatWasLifted)
{
    for (int index = 2; index < 6; ++index)
        this->addServer(index, absl::StrCat("d", index % 3));
    this->startAll();
    this->quarantine("crashes");
    this->takeCopy();
    for (const std::string &name : this->platform().objectNames(kDeaths))
        this->platform().removeObject(kDeaths, name);
    ASSERT_TRUE(holdsWithin(absl::Seconds(3),
                            [&] { return this->allAnswer(200, "/look/a", kKey, "crashes"); }));
    this->restore({absl::Milliseconds(500), absl::InfiniteDuration()});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(4), "/look/a", kKey, "crashes"), 200), kNone);
    EXPECT_TRUE(holdsWithin(absl::Seconds(5),
                            [&] { return this->platform().objectNames(kDeaths).empty(); }));
}

// A write of a crash report without an answer, executed after the operator had lifted the
// quarantine and the store was restored, would quarantine the call at instances that start later.
TEST_F(RestoredStore, RemovesACrashReportThatIsWrittenLateAfterTheQuarantineWasLifted)
{
    for (int index = 2; index < 6; ++index)
        this->addServer(index, absl::StrCat("d", index % 3));
    this->startAll();
    this->takeCopy();
    this->quarantine("crashes");
    const std::vector<std::string> names = this->platform().objectNames(kDeaths);
    this->platform().withStore(
        [](RestorableStore &store) { store.setWriteBehavior(StoreWriteBehavior::Delay); });
    this->restore({absl::Milliseconds(500), absl::InfiniteDuration()});
    std::size_t delayed = 0;
    ASSERT_TRUE(holdsWithin(absl::Seconds(8), [&] {
        this->platform().withStore(
            [&delayed](const RestorableStore &store) { delayed = store.delayedWrites(); });
        return delayed > 0;
    }));
    // The operator lifts the quarantine as soon as the objects are back.
    this->platform().withStore(
        [](RestorableStore &store) { store.setWriteBehavior(StoreWriteBehavior::Serve); });
    ASSERT_TRUE(holdsWithin(absl::Seconds(10), [&] {
        return this->platform().objectNames(kDeaths).size() >= names.size();
    }));
    absl::SleepFor(kCalmApplyTime);
    for (const std::string &name : names)
        this->platform().removeObject(kDeaths, name);
    absl::SleepFor(kCalmApplyTime);
    this->platform().withStore([](RestorableStore &store) { store.executeDelayedWrites(); });
    EXPECT_TRUE(holdsWithin(absl::Seconds(5),
                            [&] { return this->platform().objectNames(kDeaths).empty(); }));
    EXPECT_TRUE(this->allAnswer(200, "/look/a", kKey, "crashes"));
}

// The copy lacks all instances; without their entries a new instance finds nobody to follow.
TEST_F(RestoredStore, RegistersInstancesAgainThatTheCopyLacks)
{
    this->takeCopy();
    this->startAll();
    const std::vector<std::string> before = this->platform().objectNames(kInstances);
    ASSERT_FALSE(before.empty());
    this->restore({absl::Milliseconds(500), absl::Milliseconds(500)});
    this->waitForReturn();
    EXPECT_TRUE(holdsWithin(absl::Seconds(6), [&] {
        return this->platform().objectNames(kInstances).size() >= before.size();
    }));
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(1), "/look/a"), 200), kNone);
}

// An entry that somebody removes is not followed by a list.
TEST_F(RestoredStore, RegistersAnInstanceAgainWhoseEntryIsRemoved)
{
    this->startAll();
    const std::vector<std::string> before = this->platform().objectNames(kInstances);
    ASSERT_FALSE(before.empty());
    for (const std::string &name : before)
        this->platform().removeObject(kInstances, name);
    EXPECT_TRUE(holdsWithin(absl::Seconds(6), [&] {
        return this->platform().objectNames(kInstances).size() >= before.size();
    }));
}

// A second restore before the operator and the servers have written again what the first one lost.
TEST_F(RestoredStore, KeepsTheStateThroughASecondRestoreWithinTheRecoveryOfTheFirst)
{
    this->startAll();
    const int server = this->preferredServer();
    this->addServer(2, "d2");
    this->takeCopy();
    this->deployment.addRoute("/new/");
    this->deployment.configure(2, {kKey});
    this->platform().startDraining(server);
    this->platform().putObject(kEvacuations, "d2", "{}");
    ASSERT_TRUE(holdsWithin(kApplyBound, [&] { return this->allAnswer(200, "/new/a"); }));
    absl::SleepFor(kCalmApplyTime);
    const absl::Time drained = absl::Now();
    std::map<int, int> statuses;
    std::thread callers([&] { statuses = this->statusesFor(absl::Seconds(7), "/new/a"); });
    // Both together are shorter than the time for which keys are accepted without a confirmation.
    this->restore({absl::Milliseconds(500), absl::Seconds(1)});
    absl::SleepFor(absl::Seconds(1));
    this->restore({absl::Milliseconds(500), absl::Seconds(1), absl::Milliseconds(20), 2});
    callers.join();
    EXPECT_EQ(without(statuses, 200), kNone);
    EXPECT_EQ(this->arrivalsAfter(drained, server), 0);
    EXPECT_EQ(this->arrivalsAfter(drained, 2), 0);
}

// A store without the header may be restored too; the rules for calm times then hold.
TEST_F(RestoredStore, OfAnOlderStoreWithoutErasDoesNotStopInstances)
{
    this->platform().withStore([](RestorableStore &store) { store.setSendsEra(false); });
    this->startAll();
    this->takeCopy();
    this->advanceTo(this->revision() + kRevisionsLost);
    this->restore({absl::Milliseconds(500), absl::Milliseconds(200)});
    EXPECT_EQ(without(this->statusesFor(absl::Seconds(3), "/look/a"), 200), kNone);
}

} // namespace
} // namespace foxtailtally
