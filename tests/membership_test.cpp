#include "tests/membership_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

/** Names the first pair of instances of one domain of which one does not see the other alive. */
std::string firstWrongView(const MembershipModel &model)
{
    for (const auto &viewer : model.nodes) {
        for (const auto &viewed : model.nodes) {
            if (viewer.self.instance == viewed.self.instance
                || viewer.self.domain != viewed.self.domain)
                continue;
            const auto *member = viewer.membership->members().find(viewed.self.instance);
            if (member == nullptr || member->update.incarnation != viewed.self.incarnation
                || member->update.state != PeerState::Alive)
                return viewer.self.instance.str() + " does not see " + viewed.self.instance.str();
        }
    }
    return {};
}

std::string runDisturbed(std::uint64_t seed, bool healsAtEnd)
{
    Random random(seed);
    MembershipModel model(2, 2 + random.below(7), seed);
    model.slowDelay = absl::Seconds(3);
    model.loss = 0.3 * random.uniform();
    model.advance(absl::Seconds(5));
    for (int step = 0; step < 12; ++step) {
        const std::size_t node = random.below(model.nodes.size());
        switch (random.below(4)) {
        case 0:
            model.nodes[node].pausedUntil = model.time + absl::Seconds(random.below(20));
            break;
        case 1:
            model.boot(node);
            break;
        case 2:
            model.isolated.insert(node);
            break;
        default:
            model.isolated.clear();
        }
        model.advance(absl::Milliseconds(random.below(10000)));
    }
    if (healsAtEnd)
        model.isolated.clear();
    else
        model.isolated = {0};
    model.loss = 0;
    // Slow answers alone cause temporary suspicions.
    model.slowDelay = absl::Milliseconds(2);
    // Covers the longest pause, then one contact with each dead instance and the spread of its
    // refutation.
    model.advance(absl::Seconds(20) + absl::Seconds(40));
    return firstWrongView(model);
}

} // namespace

// Guards against a live instance that stays dead or suspect for others after pauses, restarts, loss
// and isolation have ended, and against one that is still seen with an earlier incarnation.
TEST(MembershipTest, ViewsConvergeAfterDisturbance)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        const std::string wrong = runDisturbed(seed, true);
        if (!wrong.empty())
            RC_FAIL(wrong);
    }));
}

// Guards against a convergence check that cannot fail.
TEST(MembershipTest, ConvergenceCheckDetectsIsolation)
{
    EXPECT_NE(runDisturbed(1, false), "");
}

// Guards against an instance that is declared dead by mistake while a tenth of messages is lost.
TEST(MembershipTest, MessageLossAloneCausesNoFalseDeaths)
{
    MembershipModel model(1, 24, 7);
    model.loss = 0.1;
    model.advance(absl::Seconds(10));
    for (int second = 0; second < 120; ++second) {
        model.advance(absl::Seconds(1));
        for (const auto &node : model.nodes)
            for (const auto &[id, member] : node.membership->members().members())
                ASSERT_NE(member.update.state, PeerState::Dead) << id << " at " << second;
    }
}

// Guards against a message of an earlier incarnation that is taken for one of the current
// incarnation.
TEST(MembershipTest, EarlierIncarnationIsRejected)
{
    MembershipModel model(1, 3, 1);
    model.advance(absl::Seconds(3));
    const Probe late {model.nodes[1].self, {}, 1, {}, {}};
    model.boot(1);
    model.advance(absl::Seconds(3));
    EXPECT_EQ(model.nodes[0].membership->onDatagram(late, model.time).error(),
              Error::MessageStaleIncarnation);
    const auto *member = model.nodes[0].membership->members().find(late.sender.instance);
    EXPECT_EQ(member->update.incarnation, late.sender.incarnation + 1);
}

// Guards against a crashed instance that keeps its rank, and a leaving one that is given the duties
// of a rank.
TEST(MembershipTest, DeadAndLeavingInstancesLoseTheirRank)
{
    MembershipModel model(2, 6, 3);
    model.advance(absl::Seconds(5));
    const FailureDomainId domain = model.nodes[0].self.domain;
    model.isolated.insert(0);
    model.perform(2, model.nodes[2].membership->leave(model.time));
    model.advance(absl::Seconds(20));
    const auto lowest = model.nodes[10].membership->ranked().lowest(domain, 2);
    const std::vector<InstanceId> expected {model.nodes[4].self.instance,
                                            model.nodes[6].self.instance};
    EXPECT_EQ(lowest, expected);
}

// Guards against a document number, summary or crash report that does not reach the other domains,
// and against messages that do not fit a datagram.
TEST(MembershipTest, GossipReachesAllDomainsInBoundedMessages)
{
    MembershipModel model(3, 20, 5);
    model.loss = 0.1;
    model.advance(absl::Seconds(10));
    const absl::Time start = model.time;
    GroupSummary summary;
    summary.group = GroupId("group-1");
    summary.owner = model.nodes[0].self.instance;
    model.nodes[0].membership->addCrashReport({Fingerprint {1}, std::string(64, 'v'), 60000},
                                              start);
    model.setDocument(59, GossipDocument::ReleaseNote, 42);
    for (std::uint64_t second = 0; second < 11; ++second) {
        summary.sequence = second;
        model.nodes[0].membership->setSummary(summary, model.time);
        model.advance(absl::Seconds(1));
    }
    for (const auto &node : model.nodes)
        EXPECT_EQ(node.documents[GossipDocument::ReleaseNote], 42) << node.self.instance;
    model.advance(absl::Seconds(9));
    for (const auto &node : model.nodes) {
        EXPECT_EQ(node.membership->summaries(model.time).size(), 1U) << node.self.instance;
        EXPECT_EQ(node.membership->crashReports(model.time).size(), 1U) << node.self.instance;
        EXPECT_LE(node.largest, kMaxGossipBytes);
    }
    model.advance(absl::Seconds(60));
    EXPECT_TRUE(model.nodes[7].membership->crashReports(model.time).empty());
}

} // namespace foxtailtally
