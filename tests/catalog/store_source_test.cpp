#include "servers/catalog/store_source.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

using Action = StoreSource::Action;

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
const FailureDomainId kEast("east");
const FailureDomainId kWest("west");

InstanceRecord record(const std::string &name, const FailureDomainId &domain, double capacity)
{
    return {InstanceId(name), domain, name, name + "-relay", capacity};
}

const InstanceRecord kSelf = record("self", kEast, 10);
const InstanceRecord kStronger = record("stronger", kWest, 20);

KindStates confirmedAt(std::int64_t revision, absl::Time moment)
{
    KindStates states;
    states[0] = {{0, revision}, {0, revision}, moment};
    return states;
}

/** An aggregator that ranks after kStronger and holds revision 5. */
StoreSource second()
{
    StoreSource source(kSelf);
    StoreSource::Topology place;
    place.others = {kStronger};
    place.domains = 2;
    source.setTopology(place);
    source.setHeldState(StoreKind::Config, {{0, 5}, {0, 5}, kNow});
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, confirmedAt(5, kNow), kNow);
    return source;
}

TEST(StoreSource, ReadsTheStoreWhenItIsAlone)
{
    StoreSource alone(kSelf);
    EXPECT_EQ(alone.next(StoreKind::Config, kNow).action, Action::ReadStore);
}

TEST(StoreSource, LeavesTheStoreToTheFirstByRank)
{
    StoreSource source = second();
    EXPECT_EQ(source.next(StoreKind::Config, kNow).action, Action::Wait);
    const absl::Time late = kNow + StoreSource::kWatchTime + StoreSource::kTakeoverDelay;
    EXPECT_EQ(source.next(StoreKind::Config, late).action, Action::Wait);
    EXPECT_EQ(source.next(StoreKind::Config, late + absl::Milliseconds(1)).action,
              Action::ReadStore);
}

TEST(StoreSource, FetchesALaterRevisionFromAnotherInstance)
{
    StoreSource source = second();
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, confirmedAt(7, kNow), kNow);
    const StoreSource::Step step = source.next(StoreKind::Config, kNow);
    EXPECT_EQ(step.action, Action::Fetch);
    EXPECT_EQ(step.address, kStronger.relayAddress);
    EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), absl::InfinitePast());
    source.onFetchFailed(StoreKind::Config, kStronger.relayAddress, kNow);
    EXPECT_NE(source.next(StoreKind::Config, kNow).action, Action::Fetch);
    source.setHeldState(StoreKind::Config, {{0, 7}, {0, 7}, kNow});
    EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), kNow);
}

// An instance that has stopped announcing may be down; other instances may hold the revision by
// now.
TEST(StoreSource, FetchesNothingFromASilentInstance)
{
    StoreSource source = second();
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, confirmedAt(7, kNow), kNow);
    EXPECT_NE(source.next(StoreKind::Config, kNow + StoreSource::kAnnouncementLifetime).action,
              Action::Fetch);
}

// Guards against fetching again and again from a relay that fails, which delays a change as much as
// a store that does not answer.
TEST(StoreSource, ReadsTheStoreWhenTheRelayFails)
{
    StoreSource source = second();
    for (absl::Time now = kNow; now < kNow + absl::Seconds(2); now += absl::Milliseconds(100)) {
        source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, confirmedAt(7, now), now);
        source.onFetchFailed(StoreKind::Config, kStronger.relayAddress, now);
        EXPECT_NE(source.next(StoreKind::Config, now).action, Action::Fetch);
    }
    EXPECT_EQ(source.next(StoreKind::Config, kNow + absl::Seconds(2)).action, Action::ReadStore);
}

// Guards against calls for all kinds of object at the same time to a store that fails: four were
// refused where one is enough.
TEST(StoreSource, ProbesTheStoreWithOneCall)
{
    StoreSource source(kSelf);
    source.onStoreFailed(kNow);
    source.onStoreFailed(kNow + absl::Milliseconds(10));
    const absl::Time again = kNow + StoreSource::kRetryDelay + absl::Milliseconds(10);
    EXPECT_EQ(source.next(StoreKind::Config, kNow + absl::Milliseconds(20)).action, Action::Wait);
    const StoreSource::Step probe = source.next(StoreKind::Config, again);
    EXPECT_EQ(probe.action, Action::ReadStore);
    EXPECT_EQ(probe.watch, absl::ZeroDuration());
    EXPECT_EQ(source.next(StoreKind::Servers, again).action, Action::Wait);
    EXPECT_EQ(source.next(StoreKind::Servers, again + StoreSource::kStoreProbeTime).action,
              Action::ReadStore);
    source.onStoreAnswered();
    EXPECT_EQ(source.next(StoreKind::Servers, again).action, Action::ReadStore);
}

TEST(StoreSource, CountsTheStoreAsLostOnlyForAPeriod)
{
    StoreSource source(kSelf);
    source.onStoreFailed(kNow);
    EXPECT_FALSE(source.isStoreLost(kNow));
    const absl::Time later = kNow + absl::Seconds(1);
    source.onStoreFailed(later);
    EXPECT_TRUE(source.isStoreLost(later));
    EXPECT_FALSE(source.isStoreLost(later + StoreSource::kStoreLostPeriod));
    source.onStoreAnswered();
    EXPECT_FALSE(source.isStoreLost(later));
}

// After a restart an instance may hold an older revision; what it confirmed before the restart does
// not count.
TEST(StoreSource, ARestartedInstanceConfirmsNothingFromBeforeTheRestart)
{
    StoreSource source = second();
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false,
                        confirmedAt(3, absl::InfinitePast()), kNow);
    EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), absl::InfinitePast());
}

KindState state(const StorePosition &position, std::int64_t version = 0)
{
    return {position, position, kNow, version};
}

KindStates configState(const KindState &config)
{
    KindStates states;
    states[static_cast<std::size_t>(StoreKind::Config)] = config;
    return states;
}

// The instance with the highest revision holds the lost history after a restore; it led the others
// back and confirmed what they held.
TEST(StoreSource, NeitherFollowsNorTrustsAnEarlierEra)
{
    StoreSource source = second();
    source.setHeldState(StoreKind::Config, state({2, 5}));
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, configState(state({1, 900})),
                        kNow);
    EXPECT_NE(source.next(StoreKind::Config, kNow).action, Action::Fetch);
    EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), absl::InfinitePast());
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, configState(state({1, 3})),
                        kNow);
    EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), absl::InfinitePast());
}

TEST(StoreSource, FollowsALaterEraUnderALowerRevision)
{
    StoreSource source = second();
    source.setHeldState(StoreKind::Config, state({1, 900}));
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, configState(state({2, 5})),
                        kNow);
    EXPECT_EQ(source.era(), 2);
    EXPECT_EQ(source.next(StoreKind::Config, kNow).action, Action::Fetch);
    EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), absl::InfinitePast());
}

// An instance of an earlier era must not be fetched from before it has listed the new one: its
// answer would be ignored, again and again.
TEST(StoreSource, DoesNotFetchFromAnInstanceThatLagsBehindTheKnownEra)
{
    StoreSource source = second();
    source.setHeldState(StoreKind::Config, state({1, 5}, 10));
    source.onEra(2);
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false,
                        configState(state({1, 900}, 11)), kNow);
    EXPECT_NE(source.next(StoreKind::Config, kNow).action, Action::Fetch);
}

// An instance that started while the store showed an older configuration kept it, although others
// held the newer one at the same position.
TEST(StoreSource, FetchesANewerVersionAtTheSamePosition)
{
    StoreSource source = second();
    source.setHeldState(StoreKind::Config, state({2, 5}, 10));
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, configState(state({2, 5}, 12)),
                        kNow);
    EXPECT_TRUE(source.isVersionOvertaken(StoreKind::Config, kNow));
    const StoreSource::Step step = source.next(StoreKind::Config, kNow);
    EXPECT_EQ(step.action, Action::Fetch);
    EXPECT_TRUE(step.mustList);
    // The version may not be readable here; it must not be fetched in a loop.
    EXPECT_NE(source.next(StoreKind::Config, kNow).action, Action::Fetch);
    const absl::Time later = kNow + StoreSource::kVersionFetchInterval;
    EXPECT_EQ(source.next(StoreKind::Config, later).action, Action::Fetch);
    source.setHeldState(StoreKind::Config, state({2, 5}, 12));
    EXPECT_FALSE(source.isVersionOvertaken(StoreKind::Config, later));
    EXPECT_NE(source.next(StoreKind::Config, later).action, Action::Fetch);
    // An ordinary change is fetched as a change.
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, configState(state({2, 6}, 14)),
                        later);
    EXPECT_EQ(source.next(StoreKind::Config, later).action, Action::Fetch);
    EXPECT_FALSE(source.next(StoreKind::Config, later).mustList);
}

// An instance with the older version, which the store shows, confirmed the newer one held here.
TEST(StoreSource, IsConfirmedOnlyByInstancesWithTheSameVersion)
{
    StoreSource source = second();
    source.setHeldState(StoreKind::Config, state({2, 5}, 12));
    for (const std::int64_t version : {10, 13}) {
        source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false,
                            configState(state({2, 5}, version)), kNow);
        EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), absl::InfinitePast());
    }
    source.onPeerUpdate(kStronger.id, kStronger.relayAddress, false, configState(state({2, 5}, 12)),
                        kNow);
    EXPECT_EQ(source.confirmedByOthers(StoreKind::Config), kNow);
}

} // namespace
} // namespace foxtailtally
