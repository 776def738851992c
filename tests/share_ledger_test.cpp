#include "tests/share_model.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

std::vector<ShareModelEvent> drawEvents(Random &random)
{
    // Runs with few kinds of events reach deeper states than runs with all kinds.
    std::vector<std::uint8_t> kinds(1 + random.below(3));
    for (std::uint8_t &kind : kinds)
        kind = static_cast<std::uint8_t>(random.below(7));
    std::vector<ShareModelEvent> events(random.below(40));
    for (ShareModelEvent &event : events)
        event = {kinds[random.below(kinds.size())], static_cast<std::uint8_t>(random.next()),
                 static_cast<std::uint8_t>(random.next()),
                 static_cast<std::uint16_t>(random.next()),
                 static_cast<std::uint16_t>(random.next())};
    return events;
}

/** First excess of a faulty variant in up to 500 seeded runs; empty when there is none. */
std::string firstExcess(const ShareModelFault &fault, bool onlyPartitions = false)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        Random random(seed);
        auto events = drawEvents(random);
        for (ShareModelEvent &event : events)
            if (onlyPartitions) {
                event.kind = 3;
                event.lengthMs = static_cast<std::uint16_t>(12000 + event.lengthMs % 8000);
            }
        if (onlyPartitions)
            events.resize(std::min<std::size_t>(events.size(), 4));
        const std::string violation = ShareModel(seed, fault).run(events);
        if (violation.find("more than its limit") != std::string::npos)
            return violation;
    }
    return {};
}

} // namespace

// Guards against a server that runs more than its limit while processes pause, restart, lose
// contact, disagree on membership or change rosters, and against a group that stays unused.
TEST(ShareLedgerTest, NeverExceedsLimitAndRecovers)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed, std::uint64_t eventSeed) {
        Random random(eventSeed);
        const std::string violation = ShareModel(seed, {}).run(drawEvents(random));
        if (!violation.empty())
            RC_FAIL(violation);
    }));
}

// Guards against a graceful stop that leaves a group without an owner until loans expire.
TEST(ShareLedgerTest, PlannedStopMovesOwnershipWithinHalfASecond)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        EXPECT_LT(ShareModel(seed, {}).plannedStop(), absl::Milliseconds(500)) << seed;
}

// Guards against a busy server whose limit is never used in full after a takeover.
TEST(TakeoverGateTest, LaterKnowledgeOfOwnPermitsClearsAnEarlierReport)
{
    const absl::Time start = absl::FromUnixSeconds(100);
    const std::vector<HeldShare> held {{2, start, 0, 1, nullptr}};
    const BackendServerId server("s");
    const absl::Duration bound = absl::Seconds(2);
    TakeoverGate gate;
    gate.onReport({3, 3}, start + absl::Seconds(1), held, bound);
    EXPECT_EQ(gate.usable({8, 8}, held, server, bound).requests, 0);
    gate.onReport({3, 3}, start + absl::Seconds(3), held, bound);
    EXPECT_EQ(gate.usable({8, 8}, held, server, bound).requests, 5);
    gate.onReport({7, 7}, start + absl::Seconds(9), held, bound);
    EXPECT_EQ(gate.usable({8, 8}, held, server, bound).requests, 5);
    gate.onReport({0, 0}, start + absl::Seconds(3), held, bound);
    EXPECT_EQ(gate.usable({8, 8}, held, server, bound).requests, 8);
}

// Guards against a bound that is applied to a share which it does not cover.
TEST(TakeoverGateTest, BoundIsNotExtendedToAShareThatWasNotHeld)
{
    const absl::Time start = absl::FromUnixSeconds(100);
    const HeldShare first {2, start, 0, 2, nullptr};
    const HeldShare later {4, start + absl::Seconds(10), 1, 2, nullptr};
    const absl::Duration bound = absl::Seconds(2);
    TakeoverGate gate;
    gate.onReport({1, 1}, start + absl::Seconds(5), std::vector {first}, bound);
    gate.onReport({4, 4}, start + absl::Seconds(13), std::vector {first}, bound);
    const std::vector<HeldShare> both {first, later};
    EXPECT_EQ(gate.usable({8, 8}, both, BackendServerId("s"), bound).requests, 3);
    gate.onReport({4, 4}, start + absl::Seconds(14), both, bound);
    EXPECT_EQ(gate.usable({8, 8}, both, BackendServerId("s"), bound).requests, 4);
}

// Guards against passing on a declaration of use after the process that made it has borrowed again.
TEST(ShareLenderTest, DeclarationEndsWhenTheShareIsLentAgain)
{
    const RosterMember self {InstanceId("a"), 1};
    Roster roster;
    roster.current = {1, {self, {InstanceId("b"), 1}, {InstanceId("c"), 1}}};
    // A group of which this instance is the last holder.
    GroupId group("g");
    while (shareHolders(roster.current.members, group).back() != self)
        group = GroupId(group.str() + "g");
    const auto holders = shareHolders(roster.current.members, group);
    ShareTopology topology(self, {});
    topology.setGroups({{group, {}}});
    ASSERT_FALSE(topology.adopt(roster));
    for (const RosterMember &holder : holders)
        topology.setPeerState(holder, PeerState::Alive);
    ShareLender lender(topology);
    lender.onTopologyChange();
    const absl::Time now = absl::FromUnixSeconds(100);
    std::int64_t sentAt = 0;
    const auto requestLoan = [&](const RosterMember &from, std::uint64_t acknowledged,
                                 bool isWanted, absl::Time at) {
        LoanRequest request {from, 1, 1, ++sentAt, false, self.incarnation, acknowledged, {}, {}};
        if (isWanted)
            request.groups.push_back(group);
        else
            request.returns.push_back({group, {from, 1, {{BackendServerId("s"), {}}}}});
        LoanOffer offer;
        EXPECT_TRUE(lender.onRequest(request, at, offer));
        return offer;
    };
    const LoanOffer first = requestLoan(holders[0], 0, true, now);
    requestLoan(holders[0], first.sequence, false, now);
    ASSERT_EQ(requestLoan(holders[0], first.sequence, true, now).loans.size(), 1U);
    topology.setPeerState(holders[0], PeerState::Dead);
    EXPECT_TRUE(requestLoan(holders[1], 0, true, now + absl::Seconds(7)).loans.empty());
    const LoanOffer next = requestLoan(holders[1], 0, true, now + absl::Seconds(8));
    ASSERT_EQ(next.loans.size(), 1U);
    EXPECT_FALSE(next.loans[0].statement.isKnown());
}

// Checks that the property above can fail: each variant omits one safeguard.
TEST(ShareLedgerTest, LenderThatReusesWithoutMarginIsCaught)
{
    ShareModelFault fault;
    // Without the margin, a difference in clock rates is enough to make the two uses overlap.
    fault.timing.reuseMargin = absl::ZeroDuration();
    EXPECT_NE(firstExcess(fault), "");
}

TEST(ShareLedgerTest, TermCountedFromReceiptIsCaught)
{
    ShareModelFault fault;
    fault.countsFromReceipt = true;
    EXPECT_NE(firstExcess(fault, true), "");
}

TEST(ShareLedgerTest, RosterWithoutHandOverIsCaught)
{
    ShareModelFault fault;
    fault.omitsUnsettledRosters = true;
    EXPECT_NE(firstExcess(fault), "");
}

TEST(ShareLedgerTest, ReportTakenBeforeTakeoverIsCaught)
{
    ShareModelFault fault;
    fault.timing.startBound = absl::ZeroDuration();
    fault.ignoresReportAge = true;
    EXPECT_NE(firstExcess(fault), "");
}

} // namespace foxtailtally
