#include "servers/routing/policy_registry.h"
#include "servers/routing/prefix_index.h"
#include "servers/routing/routing_view_builder.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace foxtailtally {

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

GroupId groupName(std::uint64_t number)
{
    return GroupId("g" + std::to_string(number));
}

/** Random groups of two models in three domains, some out of service, draining or not accepting. */
struct Fleet
{
    std::map<GroupId, GroupSummary> summaries;
    std::set<GroupId> eligible;
    RoutingViewBuilder builder;
};

Fleet randomFleet(Random &random, const RequestProfile &request)
{
    Fleet fleet;
    const std::uint64_t out = random.below(4);
    fleet.builder.setDomainOutOfService(FailureDomainId("d" + std::to_string(out)), true);
    for (std::uint64_t i = 0, count = random.below(24); i < count; ++i) {
        const std::uint64_t domain = random.below(3);
        GroupSummary summary;
        summary.group = groupName(i);
        summary.domain = FailureDomainId("d" + std::to_string(domain));
        summary.model = ModelId(random.below(2) == 0 ? "a" : "b");
        summary.servers = static_cast<std::int32_t>(random.below(4));
        summary.accepting = random.below(4) != 0;
        summary.capacityTokens = static_cast<std::int64_t>(random.below(4000));
        summary.running = static_cast<std::int32_t>(random.below(9));
        summary.outstandingTokens = static_cast<std::int64_t>(random.below(50000));
        summary.prefillRate = 1000;
        const bool isDraining = random.below(5) == 0;
        fleet.builder.setSummary(summary, kStart).setGroupDraining(summary.group, isDraining);
        if (domain != out && !isDraining && summary.accepting && summary.servers > 0
            && summary.model == request.model && summary.capacityTokens >= request.memoryTokens())
            fleet.eligible.insert(summary.group);
        fleet.summaries[summary.group] = summary;
    }
    return fleet;
}

/** Whether @p ranked has only eligible groups, no duplicate, and a group whenever there is one. */
bool isAllowedRanking(const Fleet &fleet, const RankedGroups &ranked)
{
    const std::set<GroupId> unique(ranked.begin(), ranked.end());
    return unique.size() == ranked.size() && ranked.empty() == fleet.eligible.empty()
        && std::includes(fleet.eligible.begin(), fleet.eligible.end(), unique.begin(),
                         unique.end());
}

/** Deliberately faulty: ignores the flags, as a router with a stale out-of-service list would. */
class FlagBlindPolicy : public RoutingPolicy
{
public:
    std::string_view name() const override { return "flag_blind"; }
    RankedGroups rank(const RoutingView &view, const RequestProfile &, absl::Time,
                      Random &random) const override
    {
        if (view.groups().empty())
            return {};
        return {view.groups()[random.below(view.groups().size())].summary.group};
    }
};

bool isRankingValid(const RoutingPolicy &policy, std::uint64_t seed)
{
    Random random(seed);
    RequestProfile request;
    request.model = ModelId("a");
    request.promptTokens = static_cast<std::int64_t>(random.below(3000));
    request.prefixBlocks = {1, 2, 3};
    Fleet fleet = randomFleet(random, request);
    auto prefixes = std::make_shared<PrefixIndex>(16);
    for (int i = 0; i < 6; ++i)
        prefixes->onStored(groupName(random.below(24)), 1 + random.below(3), kStart);
    fleet.builder.setPrefixes(prefixes);
    const auto view = fleet.builder.build();
    for (int i = 0; i < 4; ++i) {
        if (!isAllowedRanking(fleet, policy.rank(*view, request, kStart, random)))
            return false;
    }
    return true;
}

/** Reference model of the index: every hint with its expiry. */
using HintModel = std::map<std::pair<std::uint64_t, GroupId>, absl::Time>;

struct IndexFault
{
    bool ignoresExpiry = false;
};

/** Runs random hints and compares every reported hit with the model. */
bool isIndexValid(std::uint64_t seed, IndexFault fault)
{
    Random random(seed);
    PrefixIndex index(8, absl::Seconds(10));
    HintModel model;
    absl::Time now = kStart;
    for (int step = 0; step < 60; ++step) {
        const GroupId group = groupName(random.below(6));
        const std::uint64_t block = 1 + random.below(12);
        switch (random.below(6)) {
        case 0:
            index.onEvicted(group, block);
            model.erase({block, group});
            break;
        case 1:
            now += absl::Seconds(static_cast<std::int64_t>(random.below(6)));
            break;
        case 2:
            if (random.below(8) == 0) {
                index.onGroupLost(group);
                std::erase_if(model, [&](const auto &hint) { return hint.first.second == group; });
            }
            break;
        default:
            index.onStored(group, block, now);
            model[{block, group}] = now + absl::Seconds(10);
        }
        std::vector<std::uint64_t> chain;
        for (std::uint64_t i = 0, length = random.below(6); i < length; ++i)
            chain.push_back(1 + random.below(12));
        const absl::Time lookupTime = fault.ignoresExpiry ? kStart : now;
        for (const PrefixHit &hit : index.lookup(chain, lookupTime)) {
            const auto hint = model.find({chain[hit.blocks - 1], index.groups()[hit.slot]});
            if (hint == model.end() || hint->second <= now)
                return false;
        }
        if (index.size() > 8)
            return false;
    }
    return true;
}

bool anySeedViolates(const std::function<bool(std::uint64_t)> &holds)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        if (!holds(seed))
            return true;
    }
    return false;
}

} // namespace

// Guards against requests sent to groups that are out of service, draining, not accepting, of
// another model or too small, and against requests refused although a group could take them.
TEST(RoutingTest, EveryPolicyRanksOnlyGroupsThatMayTakeTheRequest)
{
    for (const std::string_view name : routingPolicyNames()) {
        const auto policy = makeRoutingPolicy(name);
        ASSERT_EQ(policy->name(), name);
        EXPECT_TRUE(rc::check("policy " + std::string(name), [&](std::uint64_t seed) {
            RC_ASSERT(isRankingValid(*policy, seed));
        }));
    }
    EXPECT_EQ(makeRoutingPolicy("unknown"), nullptr);
}

// Shows that the check above can fail.
TEST(RoutingTest, CheckFindsPolicyThatIgnoresFlags)
{
    const FlagBlindPolicy faulty;
    EXPECT_TRUE(anySeedViolates([&](std::uint64_t seed) { return isRankingValid(faulty, seed); }));
}

// Guards against preference for blocks that were evicted, have expired or belong to a lost group,
// and against growth without bound.
TEST(RoutingTest, PrefixIndexReportsOnlyLiveHintsAndStaysBounded)
{
    EXPECT_TRUE(rc::check(
        "prefix index", [](std::uint64_t seed) { RC_ASSERT(isIndexValid(seed, IndexFault {})); }));
}

// Shows that the check above can fail.
TEST(RoutingTest, CheckFindsIndexThatIgnoresExpiry)
{
    EXPECT_TRUE(
        anySeedViolates([](std::uint64_t seed) { return isIndexValid(seed, IndexFault {true}); }));
}

// Guards against a late summary that replaces a newer one, and against stampedes: with equal
// summaries no group may get more than twice its even share of the requests.
TEST(RoutingTest, DefaultPolicySpreadsAndPrefersCacheOnlyBelowTheLoadLimit)
{
    RoutingViewBuilder builder;
    GroupSummary summary;
    summary.model = ModelId("a");
    summary.servers = 4;
    summary.accepting = true;
    summary.capacityTokens = 1 << 20;
    summary.prefillRate = 5000;
    summary.outstandingTokens = 1000;
    for (std::uint64_t i = 0; i < 20; ++i) {
        summary.group = groupName(i);
        summary.sequence = 2;
        builder.setSummary(summary, kStart);
    }
    auto prefixes = std::make_shared<PrefixIndex>();
    prefixes->onStored(groupName(7), 99, kStart);
    const auto policy = makeRoutingPolicy(kDefaultRoutingPolicy);
    RequestProfile request;
    request.model = ModelId("a");
    request.promptTokens = 2000;
    const auto firstChoices = [&](std::vector<std::uint64_t> blocks) {
        request.prefixBlocks = std::move(blocks);
        const auto view = builder.setPrefixes(prefixes).build();
        Random random(7);
        std::map<GroupId, int> counts;
        for (int i = 0; i < 2000; ++i)
            ++counts[policy->rank(*view, request, kStart, random).front()];
        return counts;
    };
    for (const auto &[group, count] : firstChoices({}))
        EXPECT_LE(count, 200) << group;
    std::vector<std::uint64_t> chain(7, 1);
    chain.front() = 99;
    prefixes->onStored(groupName(7), 1, kStart);
    EXPECT_GE(firstChoices(chain)[groupName(7)], 1900);
    summary.group = groupName(7);
    summary.sequence = 1;
    summary.accepting = false;
    builder.setSummary(summary, kStart);
    EXPECT_GE(firstChoices(chain)[groupName(7)], 1900);
    summary.sequence = 3;
    summary.accepting = true;
    summary.outstandingTokens = 9000;
    builder.setSummary(summary, kStart);
    EXPECT_LE(firstChoices(chain)[groupName(7)], 200);
}

} // namespace foxtailtally
