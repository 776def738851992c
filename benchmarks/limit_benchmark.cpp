#include "peers/instance/limit_message.h"
#include "servers/limits/rate_limiter.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000000);
const std::string kSelf = "10.0.0.1:7340";

/** An aggregator that issues the tokens of all servers, or a follower of one that does. */
class FixedTopology final : public LimitTopology
{
public:
    FixedTopology(bool isIssuer, std::size_t followers)
        : isIssuer(isIssuer)
    {
        for (std::size_t i = 0; i < followers; ++i)
            this->followers.push_back("10.0.1." + std::to_string(i) + ":7340");
    }

    IssuerRoute issuerOf(ServerKey) const override
    {
        if (this->isIssuer)
            return {IssuerRoute::Kind::Self, {}};
        return {IssuerRoute::Kind::Remote, "10.0.0.2:7340"};
    }
    bool isAggregator() const override { return this->isIssuer; }
    std::string aggregatorAddress() const override { return this->isIssuer ? "" : "10.0.0.2:7340"; }
    std::vector<std::string> followerAddresses() const override { return this->followers; }
    std::vector<std::string> otherAggregatorAddresses() const override { return {}; }
    std::size_t lenders(absl::Time) const override { return this->followers.size() + 1; }
    std::size_t domainInstances() const override { return this->followers.size() + 1; }
    std::size_t listedDomainInstances() const override { return this->domainInstances(); }

private:
    bool isIssuer;
    std::vector<std::string> followers;
};

TokenClaim claimOf(ClaimId id, std::size_t servers)
{
    TokenClaim claim;
    claim.id = id;
    claim.replyAddress = "10.0.1.1:7340";
    for (std::size_t i = 0; i < kMaxServersInClaim; ++i)
        claim.servers.push_back(static_cast<ServerKey>((id + i) % servers));
    claim.worth = static_cast<float>(id % 7);
    claim.patience = absl::Seconds(30);
    return claim;
}

/** One claim at an issuer with @p range(0) limited servers and @p range(1) claims in its queue. */
void limitIssuerClaim(benchmark::State &state)
{
    const auto servers = static_cast<std::size_t>(state.range(0));
    TokenIssuer issuer;
    std::vector<ServerLimit> limits;
    limits.reserve(servers);
    for (std::size_t i = 0; i < servers; ++i)
        limits.push_back({static_cast<ServerKey>(i), 0.01});
    issuer.setShare(1.0, kStart);
    issuer.setLimits(limits, kStart);
    ClaimId id = 0;
    for (; id < static_cast<ClaimId>(state.range(1)); ++id)
        issuer.onClaim(claimOf(id, servers), kStart);
    for (auto step : state) {
        TokenClaim claim = claimOf(++id, servers);
        benchmark::DoNotOptimize(issuer.onClaim(claim, kStart));
        claim.kind = ClaimKind::Return;
        issuer.onClaim(claim, kStart);
    }
}

/** Periodic work of an aggregator with @p range(0) limited servers and @p range(1) followers. */
void limitAggregatorTick(benchmark::State &state)
{
    FixedTopology topology(true, static_cast<std::size_t>(state.range(1)));
    RateLimiter limiter(topology, kSelf, 1, kStart);
    for (std::int64_t i = 0; i < state.range(0); ++i)
        limiter.onNamed(static_cast<ServerKey>(i), 2.0, kStart);
    absl::Time now = kStart;
    for (auto step : state) {
        now += absl::Milliseconds(50);
        limiter.onTick(now);
        benchmark::DoNotOptimize(limiter.takeMessages(now));
    }
}

/** A claim of a follower: made, encoded, its grant received, spent. */
void limitFollowerClaim(benchmark::State &state)
{
    FixedTopology topology(false, 0);
    RateLimiter limiter(topology, kSelf, 1, kStart);
    for (ServerKey server = 0; server < 30; ++server)
        limiter.onNamed(server, 2.0, kStart);
    absl::Time now = kStart;
    limiter.onTick(now);
    limiter.takeMessages(now);
    for (auto step : state) {
        now += absl::Milliseconds(1);
        const ClaimId id = limiter.claim({{1, 2, 3, 4}, 1.0F, absl::Milliseconds(150)}, now);
        for (const LimitEnvelope &envelope : limiter.takeMessages(now)) {
            benchmark::DoNotOptimize(encodeLimitEnvelope(envelope, now));
            for (const TokenClaim &claim : envelope.claims) {
                const TokenReply granted = {claim.id, ClaimAnswer::Granted, 1, {}, claim.stamp};
                limiter.onReplies(std::span(&granted, 1), "10.0.0.2:7340", now);
            }
        }
        benchmark::DoNotOptimize(limiter.takeOutcomes(now));
        benchmark::DoNotOptimize(limiter.spend(id, now));
        if (now - kStart > absl::Seconds(1))
            limiter.onTick(now);
    }
}

/** Memory of an aggregator that knows @p range(0) limits and issues their tokens. */
void limitMemory(benchmark::State &state)
{
    double used = 0;
    for (auto step : state) {
        const std::size_t before = mallinfo2().uordblks;
        FixedTopology topology(true, 59);
        RateLimiter limiter(topology, kSelf, 1, kStart);
        for (std::int64_t i = 0; i < state.range(0); ++i)
            limiter.onNamed(static_cast<ServerKey>(i), 2.0, kStart);
        limiter.onTick(kStart);
        benchmark::DoNotOptimize(limiter.takeMessages(kStart));
        used = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes"] = used;
}

BENCHMARK(limitIssuerClaim)->Args({1, 0})->Args({30, 0})->Args({30, 30})->Args({150, 127});
BENCHMARK(limitAggregatorTick)->Args({1, 59})->Args({30, 59})->Args({150, 94});
BENCHMARK(limitFollowerClaim);
BENCHMARK(limitMemory)->Arg(30)->Arg(600)->Iterations(20);

} // namespace

} // namespace foxtailtally
