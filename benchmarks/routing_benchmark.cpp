#include "core/hash.h"
#include "core/rcu_pointer.h"
#include "servers/routing/policy_registry.h"
#include "servers/routing/routing_view_builder.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>

namespace foxtailtally {

namespace {

constexpr int kGroups = 150;
constexpr int kServersPerGroup = 4;
constexpr std::size_t kRequests = 512;
const absl::Time kNow = absl::FromUnixSeconds(1'000'000);

/** 600 servers in 150 groups, all with one model, so that every group is a candidate. */
std::unique_ptr<const RoutingView> makeView()
{
    Random random(1);
    RoutingViewBuilder builder;
    auto prefixes = std::make_shared<PrefixIndex>();
    for (int i = 0; i < kGroups; ++i) {
        GroupSummary summary;
        summary.group = GroupId("group-" + std::to_string(i));
        summary.domain = FailureDomainId("domain-" + std::to_string(i % 4));
        summary.model = ModelId("model");
        summary.servers = kServersPerGroup;
        summary.accepting = true;
        summary.capacityTokens = 4 << 20;
        summary.prefillRate = 9000 + static_cast<double>(random.below(2000));
        summary.running = static_cast<std::int32_t>(random.below(64));
        summary.outstandingTokens = static_cast<std::int64_t>(random.below(400000));
        for (absl::Duration &delay : summary.startDelay)
            delay = absl::Milliseconds(static_cast<std::int64_t>(random.below(400)));
        builder.setSummary(summary, kNow);
        for (int block = 0; block < 256; ++block)
            prefixes->onStored(summary.group, random.below(1 << 15), kNow);
    }
    return builder.setLocalDomain(FailureDomainId("domain-0")).setPrefixes(prefixes).build();
}

std::vector<RequestProfile> makeRequests()
{
    Random random(2);
    std::vector<RequestProfile> requests(kRequests);
    for (std::size_t i = 0; i < kRequests; ++i) {
        RequestProfile &request = requests[i];
        request.model = ModelId("model");
        request.requestClass = static_cast<RequestClass>(random.below(kRequestClassCount));
        // One prompt in fifty has a million tokens, the longest lookup in the prefix index.
        request.promptTokens =
            i % 50 == 0 ? 1'000'000 : 1000 + static_cast<std::int64_t>(random.below(30'000));
        for (std::int64_t block = 0; block < request.promptTokens / kPrefixBlockTokens; ++block)
            request.prefixBlocks.push_back(random.below(1 << 15));
    }
    return requests;
}

void routingDecision(benchmark::State &state, const char *policyName)
{
    static const RcuPointer<RoutingView> pointer(makeView());
    static const std::vector<RequestProfile> requests = makeRequests();
    static const auto policy = makeRoutingPolicy(policyName);
    Random random(static_cast<std::uint64_t>(state.thread_index()) + 3);
    std::vector<std::uint32_t> nanoseconds;
    nanoseconds.reserve(1 << 22);
    std::size_t next = 0;
    for (auto step : state) {
        const auto begin = std::chrono::steady_clock::now();
        const RequestProfile &request = requests[next++ % kRequests];
        benchmark::DoNotOptimize(pointer.read(
            [&](const RoutingView &view) { return policy->rank(view, request, kNow, random); }));
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        if (nanoseconds.size() < nanoseconds.capacity())
            nanoseconds.push_back(static_cast<std::uint32_t>(elapsed.count()));
    }
    state.counters["decisions"] =
        benchmark::Counter(static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
    if (nanoseconds.empty())
        return;
    const auto p99Position =
        nanoseconds.begin() + static_cast<std::ptrdiff_t>(nanoseconds.size() * 99 / 100);
    std::nth_element(nanoseconds.begin(), p99Position, nanoseconds.end());
    state.counters["p99_us"] =
        benchmark::Counter(*p99Position / 1000.0, benchmark::Counter::kAvgThreads);
}

void routingDefault(benchmark::State &state)
{
    routingDecision(state, "deadline_aware");
}

void routingLeastTokens(benchmark::State &state)
{
    routingDecision(state, "least_tokens");
}

BENCHMARK(routingDefault)->ThreadRange(1, 8)->UseRealTime();
BENCHMARK(routingLeastTokens)->Threads(1)->UseRealTime();

void buildRoutingView(benchmark::State &state)
{
    for (auto step : state)
        benchmark::DoNotOptimize(makeView());
}

BENCHMARK(buildRoutingView)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace foxtailtally
