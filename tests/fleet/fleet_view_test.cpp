#include "servers/fleet/fleet_view.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
const FailureDomainId kEast("east");
const FailureDomainId kWest("west");

InstanceRecord record(const std::string &name, const FailureDomainId &domain, double capacity)
{
    return {InstanceId(name), domain, name, name + "-relay", capacity};
}

FleetView viewOf(const InstanceRecord &self)
{
    FleetView view(self);
    view.setRecord(record("strong", kEast, 9));
    view.setRecord(record("middle", kEast, 5));
    view.setRecord(record("remote", kWest, 7));
    view.onTick(kNow);
    return view;
}

// Guards against an aggregator with low capacity: with a slow link it took 0.4 s to forward a
// configuration of 249 routes.
TEST(FleetView, FollowsTheHighestCapacityOfItsDomain)
{
    const FleetView view = viewOf(record("self", kEast, 1));
    ASSERT_TRUE(view.aggregator());
    EXPECT_EQ(view.aggregator()->id, InstanceId("strong"));
    EXPECT_TRUE(view.remoteAggregators().empty());
}

TEST(FleetView, TheHighestCapacityConnectsToOtherDomains)
{
    const FleetView view = viewOf(record("strong", kEast, 9));
    EXPECT_FALSE(view.aggregator());
    ASSERT_EQ(view.remoteAggregators().size(), 1U);
    EXPECT_EQ(view.remoteAggregators().front()->id, InstanceId("remote"));
}

TEST(FleetView, FollowsTheNextWhenOneIsSilent)
{
    FleetView view = viewOf(record("self", kEast, 1));
    view.onPeerUpdate(InstanceId("strong"), 3, kNow);
    view.onTick(kNow + FleetView::kAggregatorTimeout);
    EXPECT_EQ(view.aggregator()->id, InstanceId("strong"));
    const absl::Time silent = kNow + FleetView::kAggregatorTimeout + absl::Milliseconds(1);
    EXPECT_EQ(view.onTick(silent), std::vector {kEast});
    EXPECT_EQ(view.aggregator()->id, InstanceId("middle"));
    const absl::Time allSilent = silent + FleetView::kAggregatorTimeout + absl::Milliseconds(1);
    view.onTick(allSilent);
    EXPECT_FALSE(view.aggregator());
}

// The copy of a restored store may have the address of an earlier process of the instance.
TEST(FleetView, KeepsTheRecordOfAnInstanceThatIsHeardAgainstARestoredOne)
{
    FleetView view = viewOf(record("self", kEast, 1));
    view.onPeerUpdate(InstanceId("strong"), 3, kNow);
    InstanceRecord earlier = record("strong", kEast, 9);
    earlier.exchangeAddress = "earlier";
    view.setRestoredRecord(earlier, kNow);
    EXPECT_EQ(view.aggregator()->exchangeAddress, "strong");
    view.setRestoredRecord(earlier, kNow + absl::Minutes(1));
    EXPECT_EQ(view.aggregator()->exchangeAddress, "earlier");
}

// Guards against following a failed instance again before it answers, which costs another
// kAggregatorTimeout without updates.
TEST(FleetView, ReturnsToAFailedInstanceOnceItAnswersAProbe)
{
    FleetView view = viewOf(record("self", kEast, 1));
    absl::Time now = kNow + FleetView::kAggregatorTimeout + absl::Milliseconds(1);
    view.onTick(now);
    bool wasProbed = false;
    for (const absl::Time end = now + absl::Seconds(3); now < end; now += absl::Milliseconds(50)) {
        view.onPeerUpdate(InstanceId("middle"), 3, now);
        view.onTick(now);
        EXPECT_EQ(view.aggregator()->id, InstanceId("middle"));
        for (const FleetView::ReportTarget &link : view.takeReportTargets(now))
            wasProbed = wasProbed || (link.isProbe && link.target.id == InstanceId("strong"));
    }
    EXPECT_TRUE(wasProbed);
    view.onPeerUpdate(InstanceId("strong"), 3, now);
    view.onTick(now);
    EXPECT_EQ(view.aggregator()->id, InstanceId("strong"));
}

TEST(FleetView, UpdatesInstancesThatReportedRecently)
{
    FleetView view = viewOf(record("strong", kEast, 9));
    view.onReport({InstanceId("weak"), kEast, "weak", "weak-relay", kNow});
    view.onReport({InstanceId("remote"), kWest, "remote", "remote-relay", kNow});
    EXPECT_EQ(view.subscribers(true).size(), 1U);
    EXPECT_EQ(view.subscribers(false).size(), 1U);
    EXPECT_TRUE(view.subscribers(true).front()->isNew);
    view.subscribers(true).front()->isNew = false;
    view.onReport({InstanceId("weak"), kEast, "weak", "weak-relay", kNow + absl::Seconds(1)});
    EXPECT_FALSE(view.subscribers(true).front()->isNew);
    view.onPeerUpdate(InstanceId("remote"), 40, kNow);
    EXPECT_EQ(view.ownDomainInstances(), 2U);
    EXPECT_EQ(view.instances(), 42U);
    view.onTick(kNow + FleetView::kSubscriptionTimeout + absl::Milliseconds(1));
    EXPECT_EQ(view.subscribers(true).size(), 1U);
    EXPECT_TRUE(view.subscribers(false).empty());
}

TEST(FleetView, ANewAddressIsAnotherProcess)
{
    FleetView view = viewOf(record("self", kEast, 1));
    view.onTick(kNow + absl::Seconds(1));
    EXPECT_EQ(view.aggregator()->id, InstanceId("middle"));
    InstanceRecord moved = record("strong", kEast, 9);
    moved.exchangeAddress = "elsewhere";
    view.setRecord(moved);
    view.onTick(kNow + absl::Seconds(1));
    EXPECT_EQ(view.aggregator()->id, InstanceId("strong"));
}

} // namespace
} // namespace foxtailtally
