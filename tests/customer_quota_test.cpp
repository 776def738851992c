#include "servers/quota/customer_quota.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <string>

namespace foxtailtally {

namespace {

struct QuotaFault
{
    /** Duplicates of a grant are accepted as new grants. */
    bool repeatsGrants = false;
    bool forgetsRosters = false;
};

/** Several CustomerQuota objects, a faulty network and one reference bucket. */
class QuotaModel
{
public:
    QuotaModel(std::uint64_t seed, QuotaFault fault)
        : random(seed)
        , fault(fault)
        , limit {1000.0 + static_cast<double>(this->random.below(9000)),
                 1000.0 + static_cast<double>(this->random.below(20000))}
        , reference(this->limit.burst)
        , filledAt(this->time)
    {
        this->roster.current.version = 1;
        for (std::size_t i = 0; i < kNodes; ++i) {
            this->nodes[i].member.instance = InstanceId(std::to_string(i));
            this->nodes[i].rate = 0.99 + 0.02 * this->random.uniform();
            this->boot(i);
            this->roster.current.members.push_back(this->nodes[i].member);
        }
        for (std::size_t i = 0; i < kNodes; ++i)
            this->adopt(i, this->roster);
    }

    /** Runs for @p seconds; returns a description of the first excess over the limit, or empty. */
    std::string run(int seconds, bool isDisturbed)
    {
        this->isDisturbed = isDisturbed;
        const absl::Time end = this->time + absl::Seconds(seconds);
        while (this->time < end && this->violation.empty()) {
            this->time += absl::Milliseconds(10);
            while (!this->steps.empty() && this->steps.begin()->first <= this->time) {
                auto next = this->steps.extract(this->steps.begin());
                next.mapped()();
            }
            this->step();
        }
        return this->violation;
    }

    /** Sends requests to node 0 only. */
    void setSingleUser() { this->users = 1; }
    /** Tokens taken so far. */
    std::int64_t taken() const { return this->total; }
    double rate() const { return this->limit.rate; }

private:
    static constexpr std::size_t kNodes = 4;

    struct Node
    {
        RosterMember member;
        std::unique_ptr<CustomerQuota> quota;
        double rate = 1;
        absl::Time pausedUntil;
        std::uint64_t adopted = 0;
    };

    absl::Time clockOf(const Node &node) const
    {
        return absl::UnixEpoch() + (this->time - absl::UnixEpoch()) * node.rate;
    }

    void boot(std::size_t index)
    {
        Node &node = this->nodes[index];
        this->endedAt[node.member] = this->time;
        ++node.member.incarnation;
        node.adopted = 0;
        node.quota = std::make_unique<CustomerQuota>(node.member, 1, this->random.next());
        node.quota->setLimit(this->customer, this->limit, this->clockOf(node));
    }

    void adopt(std::size_t index, const Roster &next)
    {
        Node &node = this->nodes[index];
        node.quota->setRoster(next, this->clockOf(node));
        node.adopted = std::max(node.adopted, next.current.version);
    }

    bool hasRelinquished(const RosterMember &member, std::uint64_t version) const
    {
        const Node &node = this->nodes[std::stoul(member.instance.str())];
        if (node.member == member)
            return node.adopted > version;
        return this->time >= this->endedAt.at(member) + absl::Seconds(8);
    }

    void writeRoster()
    {
        std::vector<RosterMember> members;
        for (const Node &node : this->nodes)
            if (this->random.below(4) != 0)
                members.push_back(node.member);
        const auto next = nextRoster(this->roster, members, [&](const auto &m, std::uint64_t v) {
            return this->hasRelinquished(m, v);
        });
        if (members.empty() || !next.ok())
            return;
        this->roster = *next;
        if (this->fault.forgetsRosters)
            this->roster.unsettled.clear();
        for (std::size_t i = 0; i < kNodes; ++i)
            this->steps.emplace(this->time + absl::Milliseconds(this->random.below(9000)),
                                [this, i, r = this->roster] { this->adopt(i, r); });
    }

    void take(Node &node, std::int64_t tokens)
    {
        if (node.quota->tryTake(this->customer, tokens, this->clockOf(node)).reason
            != RefusalReason::None)
            return;
        this->total += tokens;
        const double seconds = absl::ToDoubleSeconds(this->time - this->filledAt);
        this->reference = std::min(this->limit.burst, this->reference + seconds * this->limit.rate);
        this->filledAt = this->time;
        this->reference -= static_cast<double>(tokens);
        if (this->reference < -1)
            this->violation = std::to_string(-this->reference) + " tokens too many";
    }

    void send(const QuotaActions &actions)
    {
        for (const QuotaAction &action : actions) {
            const std::uint64_t draw = this->random.below(10);
            std::uint64_t copies = !this->isDisturbed ? 1 : draw == 0 ? 0 : draw < 4 ? 2 : 1;
            if (this->fault.repeatsGrants)
                copies = 3;
            for (std::uint64_t copy = 0; copy < copies; ++copy) {
                const bool isSlow = this->isDisturbed && this->random.below(5) == 0;
                const auto delay = absl::Milliseconds(this->random.below(isSlow ? 8000 : 20));
                this->steps.emplace(this->time + delay,
                                    [this, action, copy] { this->deliver(action, copy); });
            }
        }
    }

    void deliver(const QuotaAction &action, std::uint64_t copy)
    {
        const InstanceId &to =
            std::visit([](const auto &a) -> const InstanceId & { return a.to; }, action);
        Node &node = this->nodes[std::stoul(to.str())];
        if (this->time < node.pausedUntil) {
            this->steps.emplace(node.pausedUntil,
                                [this, action, copy] { this->deliver(action, copy); });
            return;
        }
        if (const auto *request = std::get_if<SendQuotaRequest>(&action)) {
            this->send(node.quota->onRequest(request->request, this->clockOf(node)));
            return;
        }
        QuotaGrant grant = std::get<SendQuotaGrant>(action).grant;
        if (this->fault.repeatsGrants)
            grant.sequence = grant.sequence * 4 + copy;
        (void)node.quota->onGrant(grant, this->clockOf(node));
    }

    void step()
    {
        if (this->isDisturbed && this->random.below(this->disturbanceInterval) == 0) {
            const std::size_t index = this->random.below(kNodes);
            const std::uint64_t kind = this->random.below(4);
            if (kind == 0)
                this->boot(index);
            else if (kind == 1)
                this->writeRoster();
            else
                this->nodes[index].pausedUntil =
                    this->time + absl::Milliseconds(this->random.below(9000));
        }
        for (std::size_t i = 0; i < kNodes; ++i) {
            Node &node = this->nodes[i];
            if (this->isDisturbed && this->time < node.pausedUntil)
                continue;
            node.quota->updateShare(
                [this](const auto &m, std::uint64_t v) { return this->hasRelinquished(m, v); },
                this->clockOf(node));
            this->send(node.quota->onTick(this->clockOf(node)));
            if (i < this->users)
                this->takeByPattern(node, i);
        }
    }

    /** Takes tokens in turn, at all nodes together, or after one node has borrowed much. */
    void takeByPattern(Node &node, std::size_t index)
    {
        const std::int64_t seconds = absl::ToUnixSeconds(this->time);
        const auto small = static_cast<std::int64_t>(
            1 + this->random.below(static_cast<std::uint64_t>(this->limit.burst / 16)));
        if (this->users == 1) {
            this->take(node, small);
        } else if (this->demandPattern == 0) {
            if ((seconds / 4 + static_cast<std::int64_t>(index)) % 3 == 0)
                this->take(node, small);
        } else if (this->demandPattern == 1) {
            if (seconds / 4 % 4 != 0)
                this->take(node, small);
        } else if (seconds % 40 >= 32) {
            this->take(node, small);
        } else if (seconds % 40 < 4 && index == 0) {
            this->take(node, static_cast<std::int64_t>(this->limit.burst));
        }
    }

    Random random;
    QuotaFault fault;
    CustomerId customer {"customer"};
    QuotaLimit limit;
    absl::Time time = absl::FromUnixSeconds(1000000);
    double reference;
    absl::Time filledAt;
    std::array<Node, kNodes> nodes;
    std::map<RosterMember, absl::Time> endedAt;
    Roster roster;
    std::multimap<absl::Time, std::function<void()>> steps;
    bool isDisturbed = false;
    std::uint64_t demandPattern = this->random.below(3);
    /** Mean number of 10 ms steps between two disturbances. */
    std::uint64_t disturbanceInterval = 100 + this->random.below(1000);
    std::size_t users = kNodes;
    std::int64_t total = 0;
    std::string violation;
};

std::string firstExcess(QuotaFault fault)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const std::string violation = QuotaModel(seed, fault).run(60, true);
        if (!violation.empty())
            return violation;
    }
    return {};
}

} // namespace

// Guards against customers that get more than rate x time + burst over all instances while messages
// are lost, duplicated and delayed, and instances pause, restart and join.
TEST(CustomerQuotaTest, NeverExceedsRateAndBurst)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        const std::string violation = QuotaModel(seed, {}).run(60, true);
        if (!violation.empty())
            RC_FAIL(violation);
    }));
}

// Checks that the property above fails when duplicated grants are accepted.
TEST(CustomerQuotaTest, RepeatedGrantsAreCaught)
{
    EXPECT_NE(firstExcess({true, false}), "");
}

TEST(CustomerQuotaTest, RosterWithoutHandOverIsCaught)
{
    EXPECT_NE(firstExcess({false, true}), "");
}

// Guards against limiting a customer that uses only one instance to the share of that instance.
TEST(CustomerQuotaTest, IdleSharesReachTheInstanceInUse)
{
    QuotaModel model(3, {});
    model.setSingleUser();
    model.run(20, false);
    const std::int64_t before = model.taken();
    model.run(60, false);
    // A quarter is the share of one of four instances.
    EXPECT_GT(static_cast<double>(model.taken() - before), 0.75 * 60 * model.rate());
}

TEST(CustomerQuotaTest, UnknownCustomerAndImpossibleAmountAreRefused)
{
    const absl::Time now = absl::FromUnixSeconds(1);
    CustomerQuota quota({InstanceId("a"), 1}, 1, 1);
    EXPECT_EQ(quota.tryTake(CustomerId("x"), 1, now).reason, RefusalReason::UnknownCustomer);
    quota.setLimit(CustomerId("x"), {10, 100}, now);
    const Refusal refusal = quota.tryTake(CustomerId("x"), 101, now);
    EXPECT_EQ(refusal.reason, RefusalReason::QuotaExceeded);
    EXPECT_EQ(refusal.retryAfter, absl::ZeroDuration());
}

} // namespace foxtailtally
