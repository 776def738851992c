#include "core/random.h"
#include "servers/configuration/change_set.h"
#include "servers/configuration/spread_plan.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

/** Faults injected by the harness to show that the property can fail. */
enum class SpreadFault {
    None,
    /** The startup gate takes the first peer's answer as the answer of all. */
    FirstAnswerOpensGate,
    /** Answers of starting peers count at the startup gate. */
    StartingPeersCount,
    /** A document is put in force without another holder. */
    NoConfirmation,
};

constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr absl::Duration kGossipTime = absl::Seconds(1);
/** Stated target: a change is in force everywhere within 11 s. */
constexpr absl::Duration kConvergenceTarget = absl::Seconds(11);
/** Time after which the platform's list drops an instance that is gone. */
constexpr absl::Duration kListLag = absl::Seconds(15);

std::string noteBody(std::uint64_t number)
{
    ReleaseNote note;
    note.number = number;
    note.author = "operator";
    return note.serialize();
}

/** Instances of one failure domain that run the production code over a faulty network. */
class Fleet
{
public:
    Fleet(int size, std::uint64_t seed, SpreadFault fault)
        : fault(fault)
        , random(seed)
        , nodes(static_cast<std::size_t>(size))
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
            this->ids.emplace_back("entry-" + std::to_string(index));
        this->versions[indexOf(DocumentKind::ReleaseNote)] = 1;
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
            this->start(index);
    }

    /** Applies one event of a script, then lets some time pass. */
    void apply(std::uint16_t event)
    {
        const std::size_t node = (event >> 4) % this->nodes.size();
        switch (event % 12) {
        case 0:
        case 1:
            this->stop(node);
            break;
        case 2:
        case 3:
        case 4:
            this->stop(node);
            this->start(node);
            break;
        case 5:
            this->platformUp = !this->platformUp;
            break;
        case 6:
            this->nodes[node].isPlatformUnreachable = !this->nodes[node].isPlatformUnreachable;
            break;
        case 7:
            this->nodes[node].side = 1 - this->nodes[node].side;
            break;
        case 8:
            this->lossPercent = (event >> 4) % 50;
            break;
        default:
            if (this->platformUp)
                ++this->versions[(event >> 8) % 2];
        }
        for (std::uint64_t steps = this->random.below(25); steps > 0; --steps)
            this->step();
    }

    /** Ends all faults; false when an instance lacks the newest document at the target time. */
    bool converges()
    {
        this->platformUp = true;
        this->lossPercent = 0;
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            this->nodes[index].isPlatformUnreachable = false;
            this->nodes[index].side = 0;
            if (!this->nodes[index].plan)
                this->start(index);
        }
        for (const absl::Time end = this->now + kConvergenceTarget; this->now < end;)
            this->step();
        for (const Node &node : this->nodes)
            if (!node.plan->isReady() || node.store->inForceNumbers() != this->versions)
                return false;
        return true;
    }

    /** Restarts an instance while no instance reaches the platform; true when it gets ready. */
    bool getsReadyWithoutPlatform(std::size_t index, bool isOtherStopped)
    {
        this->converges();
        this->platformUp = false;
        if (isOtherStopped)
            this->stop((index + 1) % this->nodes.size());
        this->stop(index);
        this->start(index);
        for (const absl::Time end = this->now + kConvergenceTarget; this->now < end;)
            this->step();
        return this->nodes[index].plan->isReady();
    }

    /** True when a number in force at an instance has ever fallen. */
    bool hasFallen() const { return this->fallen; }

    void step()
    {
        this->now += kStep;
        this->deliver();
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
            if (this->nodes[index].plan)
                this->tick(index);
        this->observe();
    }

private:
    struct Node
    {
        std::unique_ptr<DocumentStore> store;
        std::unique_ptr<SpreadPlan> plan;
        std::uint64_t incarnation = 0;
        int side = 0;
        bool isPlatformUnreachable = false;
        absl::Time gossipAt;
        absl::Time goneSince = absl::InfinitePast();
        std::vector<std::pair<WatchDocument, absl::Time>> watches;
        std::vector<std::uint64_t> pullTokens;
        DocumentNumbers highestInForce {};
    };

    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        /** Incarnation of the receiver that the message is for; 0 means any. */
        std::uint64_t incarnation = 0;
        std::function<void(Node &)> deliver;
    };

    void start(std::size_t index)
    {
        Node &node = this->nodes[index];
        auto settings = SpreadSettingsBuilder()
                            .setSelf(this->ids[index])
                            .setDomain(FailureDomainId("north"))
                            .setSeedPeers(this->ids)
                            .build();
        node.store = std::make_unique<DocumentStore>();
        node.plan = std::make_unique<SpreadPlan>(std::move(settings).value(), *node.store);
        ++node.incarnation;
        node.gossipAt = this->now;
    }

    void stop(std::size_t index)
    {
        Node &node = this->nodes[index];
        if (node.plan)
            node.goneSince = this->now;
        node.plan.reset();
        node.store.reset();
        node.watches.clear();
    }

    void send(std::size_t from, std::size_t to, std::uint64_t incarnation,
              std::function<void(Node &)> deliver)
    {
        if (this->random.below(100) < this->lossPercent)
            return;
        const auto delay = kStep * static_cast<std::int64_t>(1 + this->random.below(3));
        const std::uint64_t copies = this->random.below(20) == 0 ? 2 : 1;
        for (std::uint64_t copy = 0; copy < copies; ++copy)
            this->network.emplace(this->now + delay * (1 + copy),
                                  Message {from, to, incarnation, deliver});
    }

    void deliver()
    {
        while (!this->network.empty() && this->network.begin()->first <= this->now) {
            const Message message = this->network.begin()->second;
            this->network.erase(this->network.begin());
            Node &node = this->nodes[message.to];
            if (node.plan && (message.incarnation == 0 || message.incarnation == node.incarnation)
                && this->nodes[message.from].side == node.side)
                message.deliver(node);
        }
    }

    void tick(std::size_t index)
    {
        Node &node = this->nodes[index];
        std::vector<InstanceId> live;
        std::vector<InstanceId> listed;
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            const Node &peer = this->nodes[other];
            if (peer.plan && peer.side == node.side)
                live.push_back(this->ids[other]);
            if (peer.plan || this->now - peer.goneSince < kListLag)
                listed.push_back(this->ids[other]);
        }
        node.plan->setLive(live);
        if (this->reachesPlatform(node))
            node.plan->onInstanceList(listed, this->now);
        this->runWatches(node);
        for (const SpreadAction &action : node.plan->onTick(this->now, this->random))
            this->perform(index, action);
        if (this->now >= node.gossipAt) {
            node.gossipAt = this->now + kGossipTime;
            const DocumentGossip gossip = node.plan->gossip();
            for (int copy = 0; copy < 2; ++copy)
                this->send(index, this->random.below(this->nodes.size()), 0,
                           [from = this->ids[index], gossip](Node &peer) {
                               peer.plan->onGossip(from, gossip);
                           });
        }
        if (this->fault == SpreadFault::NoConfirmation && node.plan->isSettled())
            for (const DocumentKind kind : kDocumentKinds)
                node.store->confirm(kind, node.store->heldNumbers()[indexOf(kind)]);
    }

    bool reachesPlatform(const Node &node) const
    {
        return this->platformUp && !node.isPlatformUnreachable;
    }

    void runWatches(Node &node)
    {
        std::vector<std::pair<WatchDocument, absl::Time>> pending;
        pending.swap(node.watches);
        for (const auto &[watch, endsAt] : pending) {
            WatchReply reply;
            reply.token = watch.token;
            const std::uint64_t version = this->versions[indexOf(watch.kind)];
            if (!this->reachesPlatform(node) || this->random.below(100) < this->lossPercent / 4) {
                reply.outcome = WatchReply::Outcome::Failed;
            } else if (version == 0 && watch.kind == DocumentKind::OutOfServiceList) {
                reply.outcome = WatchReply::Outcome::NotFound;
            } else if (version > watch.version) {
                reply.outcome = WatchReply::Outcome::Changed;
                reply.version = version;
                reply.body = this->body(watch.kind, version);
            } else if (this->now >= endsAt) {
                reply.outcome = WatchReply::Outcome::Unchanged;
            } else {
                node.watches.emplace_back(watch, endsAt);
                continue;
            }
            node.plan->onWatchReply(reply, this->now);
        }
    }

    static std::string body(DocumentKind kind, std::uint64_t number)
    {
        if (kind == DocumentKind::ReleaseNote)
            return noteBody(number);
        return R"({"number":)" + std::to_string(number)
            + R"(,"author":"o","time_ms":1,"failure_domains":[],"instances":[],"history":[]})";
    }

    void perform(std::size_t index, const SpreadAction &action)
    {
        Node &node = this->nodes[index];
        if (const auto *watch = std::get_if<WatchDocument>(&action)) {
            node.watches.emplace_back(*watch, this->now + watch->timeout);
            return;
        }
        const auto pull = std::get<PullDocument>(action);
        std::size_t to = 0;
        while (this->ids[to] != pull.to)
            ++to;
        node.pullTokens.push_back(pull.token);
        this->send(
            index, to, 0, [this, index, to, pull, incarnation = node.incarnation](Node &peer) {
                DocumentAnswer answer =
                    peer.plan->answerPull(this->ids[index], pull.kind, pull.held, pull.wantsBody);
                if (this->fault == SpreadFault::StartingPeersCount)
                    answer.isSettled = true;
                this->send(to, index, incarnation, [this, pull, answer](Node &asker) {
                    this->answered(asker, pull.token, answer);
                });
            });
    }

    void answered(Node &asker, std::uint64_t token, const DocumentAnswer &answer)
    {
        const bool opensGate = this->fault == SpreadFault::FirstAnswerOpensGate
            && !asker.plan->isSettled() && answer.isSettled && !answer.document;
        asker.plan->onPullAnswer(token, answer, this->now);
        if (!opensGate)
            return;
        for (const std::uint64_t other : asker.pullTokens)
            asker.plan->onPullAnswer(other, answer, this->now);
    }

    void observe()
    {
        for (Node &node : this->nodes) {
            if (!node.plan || !node.plan->isReady())
                continue;
            const DocumentNumbers numbers = node.store->inForceNumbers();
            for (std::size_t kind = 0; kind < kDocumentKindCount; ++kind) {
                this->fallen = this->fallen || numbers[kind] < node.highestInForce[kind];
                node.highestInForce[kind] = std::max(node.highestInForce[kind], numbers[kind]);
            }
        }
    }

    SpreadFault fault;
    Random random;
    std::vector<Node> nodes;
    std::vector<InstanceId> ids;
    std::multimap<absl::Time, Message> network;
    absl::Time now = absl::FromUnixSeconds(1000);
    bool platformUp = true;
    std::uint64_t lossPercent = 0;
    /** Number of each object; version and number are the same in this model. */
    DocumentNumbers versions {};
    bool fallen = false;
};

/** True when a random script makes a number in force fall within @p runs runs. */
bool violates(SpreadFault fault, int runs)
{
    Random random(20240601);
    for (int run = 0; run < runs; ++run) {
        Fleet fleet(3, random.next(), fault);
        for (int event = 0; event < 80 && !fleet.hasFallen(); ++event)
            fleet.apply(static_cast<std::uint16_t>(random.next()));
        if (fleet.hasFallen())
            return true;
    }
    return false;
}

} // namespace

// Guards against a release note or out-of-service list that reverts at an instance, also across
// restarts while the platform is down, and against instances that do not catch up once they are
// connected again.
TEST(SpreadTest, NumberInForceNeverFallsAndInstancesConverge)
{
    EXPECT_TRUE(rc::check("number in force", [](std::uint64_t seed) {
        // Generated at nominal size, so that events use all bits also in the short scripts that
        // come first.
        const auto script = *rc::gen::container<std::vector<std::uint16_t>>(
            rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint16_t>()));
        const int size = *rc::gen::inRange(1, 6);
        Fleet fleet(size, seed, SpreadFault::None);
        for (const std::uint16_t event : script) {
            fleet.apply(event);
            RC_ASSERT(!fleet.hasFallen());
        }
        RC_ASSERT(fleet.converges());
        RC_ASSERT(!fleet.hasFallen());
    }));
}

// Guards against instances that never become ready during an outage of the platform, and against a
// start with incomplete answers.
TEST(SpreadTest, StartsWithoutThePlatformOnlyWhenEverySeedPeerAnswers)
{
    EXPECT_TRUE(Fleet(3, 1, SpreadFault::None).getsReadyWithoutPlatform(0, false));
    EXPECT_FALSE(Fleet(3, 1, SpreadFault::None).getsReadyWithoutPlatform(0, true));
}

// Guards against a damaged document, or a second one with the same number, that is not reported.
TEST(SpreadTest, ReportsRefusedDocuments)
{
    const auto now = absl::FromUnixSeconds(1000);
    Random random(1);
    DocumentStore store;
    SpreadPlan plan(SpreadSettingsBuilder()
                        .setSelf(InstanceId("a"))
                        .setDomain(FailureDomainId("north"))
                        .build()
                        .value(),
                    store);
    ReleaseNote other;
    other.number = 3;
    other.author = "another";
    ASSERT_TRUE(store.offer(Document::make(DocumentKind::ReleaseNote, 3, other.serialize())).ok());
    for (const SpreadAction &action : plan.onTick(now, random)) {
        const auto &watch = std::get<WatchDocument>(action);
        const bool isNote = watch.kind == DocumentKind::ReleaseNote;
        plan.onWatchReply({watch.token, WatchReply::Outcome::Changed, 9, isNote ? noteBody(3) : ""},
                          now);
    }
    const auto faults = plan.takeRejectedDocuments();
    ASSERT_EQ(faults.size(), 3U);
    EXPECT_EQ(faults[0].error, Error::DocumentConflict);
    EXPECT_EQ(faults[0].number, 3U);
    EXPECT_EQ(faults[1].error, Error::DocumentInvalid);
    EXPECT_TRUE(plan.takeRejectedDocuments().empty());
}

// Shows that the checker above sees the faults it guards against.
TEST(SpreadTest, CheckerSeesGateThatTakesTheFirstAnswer)
{
    EXPECT_TRUE(violates(SpreadFault::FirstAnswerOpensGate, 3000));
}

TEST(SpreadTest, CheckerSeesGateThatCountsStartingPeers)
{
    EXPECT_TRUE(violates(SpreadFault::StartingPeersCount, 3000));
}

TEST(SpreadTest, CheckerSeesDocumentInForceWithoutAnotherHolder)
{
    EXPECT_TRUE(violates(SpreadFault::NoConfirmation, 3000));
}

TEST(SpreadTest, CheckerFindsNoFaultInTheCodeItself)
{
    EXPECT_FALSE(violates(SpreadFault::None, 1000));
}

} // namespace foxtailtally
