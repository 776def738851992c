#include "main/lib/customer_limits.h"

#include "core/random.h"
#include "core/thread.h"

#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

namespace foxtailtally {

namespace {

constexpr std::uint64_t kRate = 40000;
const CustomerId kCustomer {"customer"};

CustomerEntry customerEntry()
{
    CustomerEntry entry;
    entry.id = kCustomer;
    entry.tokensPerSecond = kRate;
    return entry;
}

bool everyoneIsPast(const RosterMember &, std::uint64_t)
{
    return true;
}

/** Instances of one domain that exchange packed messages, of which some are lost. */
class LimitsModel
{
public:
    LimitsModel(std::uint64_t seed, std::uint64_t lossPercent, bool refundsTwice)
        : random(seed)
        , lossPercent(lossPercent)
        , refundsTwice(refundsTwice)
    {
        Roster roster;
        roster.current.version = 1;
        for (std::size_t i = 0; i < kNodes; ++i)
            roster.current.members.push_back({InstanceId(std::to_string(i)), 1});
        for (std::size_t i = 0; i < kNodes; ++i) {
            const RosterMember self = roster.current.members[i];
            this->nodes[i] = std::make_unique<CustomerLimits>(
                self, 1,
                [this, self](const InstanceId &to, MessageKind kind, const std::string &payload) {
                    if (this->random.below(100) >= this->lossPercent)
                        this->nodes[std::stoul(to.str())]->onMessage(
                            {kind, self.instance, self.incarnation, 0, payload}, this->now);
                });
            this->nodes[i]->setCustomers(std::array {customerEntry()}, this->now);
            this->nodes[i]->setRoster(roster, this->now);
        }
    }

    /** Runs for @p seconds. Returns the largest excess of used tokens over rate x time + burst. */
    double run(int seconds)
    {
        const absl::Time start = this->now;
        double worst = -quotaBurst(kRate, 1);
        for (int step = 0; step < seconds * 10; ++step) {
            this->now += absl::Milliseconds(100);
            for (const std::unique_ptr<CustomerLimits> &node : this->nodes) {
                node->onTick(everyoneIsPast, this->now);
                this->use(*node);
            }
            const double allowed = absl::ToDoubleSeconds(this->now - start) * kRate;
            worst = std::max(worst, this->used - allowed - quotaBurst(kRate, 1));
        }
        return worst;
    }

    /** Tokens taken minus tokens returned over the whole run. */
    double usedTokens() const { return this->used; }

private:
    static constexpr std::size_t kNodes = 3;

    void use(CustomerLimits &node)
    {
        const auto tokens = static_cast<std::int64_t>(1 + this->random.below(200000));
        if (node.tryTake(kCustomer, tokens, this->now).reason != RefusalReason::None)
            return;
        // A third of the requests are refused later without having run.
        if (this->random.below(3) != 0) {
            this->used += static_cast<double>(tokens);
            return;
        }
        for (int i = 0; i < (this->refundsTwice ? 2 : 1); ++i)
            node.refund(kCustomer, tokens, this->now);
    }

    Random random;
    std::uint64_t lossPercent;
    bool refundsTwice;
    absl::Time now = absl::FromUnixSeconds(1000000);
    std::array<std::unique_ptr<CustomerLimits>, kNodes> nodes;
    double used = 0;
};

} // namespace

// Guards against a customer exceeding its limit when quota requests and grants are sent as packed
// messages and refused requests return their tokens.
TEST(CustomerLimitsTest, NeverExceedsRateAndBurst)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        const std::uint64_t lossPercent = std::array {0U, 20U, 100U}[seed % 3];
        LimitsModel model(seed, lossPercent, false);
        const double excess = model.run(120);
        if (excess > 1)
            RC_FAIL(std::to_string(excess) + " tokens too many");
        // Without messages no tokens are lost in lending, so all are used except the remaining
        // balances, each at most about the largest request. If refused requests did not return
        // their tokens, the loss would exceed these balances.
        if (lossPercent == 100)
            RC_ASSERT(model.usedTokens() > kQuotaClockFactor * 120 * kRate - 3 * 250000);
    }));
}

// Guards against the property above never failing: tokens returned twice must exceed the limit.
TEST(CustomerLimitsTest, TokensReturnedTwiceAreCaught)
{
    EXPECT_GT(LimitsModel(1, 100, true).run(300), 1);
}

// Guards against lost updates between request threads, and against grants to a forged sender.
TEST(CustomerLimitsTest, ThreadsShareOneLevelAndForeignRequestsGetNothing)
{
    int sent = 0;
    CustomerLimits limits({InstanceId("a"), 1}, 1,
                          [&](const InstanceId &, MessageKind, const std::string &) { ++sent; });
    const absl::Time start = absl::FromUnixSeconds(1000000);
    limits.setCustomers(std::array {customerEntry()}, start);
    EXPECT_FALSE(limits.isReady(start));
    EXPECT_TRUE(limits.isReady(start + absl::Seconds(15)));
    Roster roster;
    roster.current = {1, {{InstanceId("a"), 1}, {InstanceId("b"), 1}}};
    limits.setRoster(roster, start);
    limits.onTick(everyoneIsPast, start);
    EXPECT_TRUE(limits.isReady(start));
    const absl::Time now = start + absl::Seconds(10);

    QuotaRequest request;
    request.sender = {InstanceId("b"), 1};
    request.sentAt = 1;
    request.wanted = {{kCustomer, 1000000}};
    limits.onMessage({MessageKind::QuotaRequest, InstanceId("c"), 1, 0, packMessage(request)}, now);
    limits.onMessage({MessageKind::QuotaRequest, InstanceId("b"), 1, 0, "x"}, now);
    EXPECT_EQ(sent, 0);

    std::atomic<std::int64_t> taken {0};
    {
        std::vector<Thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i)
            threads.emplace_back("taker", [&] {
                while (limits.tryTake(kCustomer, 10, now).reason == RefusalReason::None)
                    taken.fetch_add(10);
            });
    }
    // Half of the rate over ten seconds, less the margin for fast clocks.
    EXPECT_NEAR(static_cast<double>(taken.load()), kQuotaClockFactor * 10 * kRate / 2, 10);
    const Refusal refusal = limits.tryTake(kCustomer, 10, now);
    EXPECT_EQ(refusal.reason, RefusalReason::QuotaExceeded);
    EXPECT_TRUE(refusal.notRun);
    EXPECT_GT(refusal.retryAfter, absl::ZeroDuration());

    limits.setCustomers({}, now);
    EXPECT_EQ(limits.tryTake(kCustomer, 1, now).reason, RefusalReason::UnknownCustomer);
}

} // namespace foxtailtally
