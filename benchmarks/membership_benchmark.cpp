#include "tests/membership_model.h"

#include <algorithm>
#include <benchmark/benchmark.h>

namespace foxtailtally {

namespace {

/** Virtual time of one iteration. */
constexpr std::int64_t kSecondsPerIteration = 10;
constexpr double kMessageLossRatio = 0.1;

/** A fleet of range(0) domains with range(1) nodes each, after 30 s of virtual time. */
MembershipModel makeFleet(const benchmark::State &state)
{
    MembershipModel model(static_cast<std::size_t>(state.range(0)),
                          static_cast<std::size_t>(state.range(1)), 11);
    model.loss = kMessageLossRatio;
    model.advance(absl::Seconds(30));
    return model;
}

void advanceWithSummaries(MembershipModel &model, std::uint64_t sequence)
{
    for (std::size_t i = 0; i < model.nodes.size(); ++i) {
        GroupSummary summary;
        summary.group = GroupId("group-" + std::to_string(1000 + i));
        summary.domain = model.nodes[i].self.domain;
        summary.model = ModelId("model-1");
        summary.owner = model.nodes[i].self.instance;
        summary.ownerIncarnation = model.nodes[i].self.incarnation;
        summary.sequence = sequence;
        model.nodes[i].membership->setSummary(summary, model.time);
    }
    model.advance(absl::Seconds(1));
}

/**
 * One group summary per node and second; a tenth of the messages are lost. The CPU time includes
 * the simulated network, so it is an upper bound of the cost of the membership.
 */
void membershipSteadyState(benchmark::State &state)
{
    MembershipModel model = makeFleet(state);
    std::uint64_t sequence = 0;
    for (; sequence < 20; ++sequence)
        advanceWithSummaries(model, sequence);
    for (auto &node : model.nodes)
        node.bytesSent = node.bytesReceived = 0;
    double seconds = 0;
    for (auto step : state) {
        for (std::int64_t i = 0; i < kSecondsPerIteration; ++i)
            advanceWithSummaries(model, ++sequence);
        seconds += static_cast<double>(kSecondsPerIteration);
    }
    double total = 0;
    double largest = 0;
    double summaries = 0;
    double lag = 0;
    for (const auto &node : model.nodes) {
        const auto bytes = static_cast<double>(node.bytesSent + node.bytesReceived);
        total += bytes;
        largest = std::max(largest, bytes);
        for (const GroupSummary &summary : node.membership->summaries(model.time)) {
            if (summary.domain != node.self.domain)
                continue;
            ++summaries;
            lag += static_cast<double>(sequence - summary.sequence);
        }
    }
    const auto nodes = static_cast<double>(model.nodes.size());
    state.counters["nodes"] = nodes;
    state.counters["bytes_per_s_mean"] = total / seconds / nodes;
    state.counters["bytes_per_s_max"] = largest / seconds;
    state.counters["own_domain_summaries"] = summaries / nodes;
    state.counters["summary_age_s"] = lag / summaries;
    state.counters["cpu_per_node_s"] = benchmark::Counter(
        nodes * seconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/** Time until a document number set at the node ranked last is in force at every node. */
void documentSpread(benchmark::State &state)
{
    MembershipModel model = makeFleet(state);
    std::uint64_t number = 0;
    double longest = 0;
    double total = 0;
    for (auto step : state) {
        const absl::Time start = model.time;
        model.setDocument(model.nodes.size() - 1, GossipDocument::ReleaseNote, ++number);
        const auto isMissing = [&](const MembershipModel::Node &node) {
            return node.documents[GossipDocument::ReleaseNote] < number;
        };
        while (std::any_of(model.nodes.begin(), model.nodes.end(), isMissing))
            model.advance(absl::Milliseconds(10));
        const double elapsed = absl::ToDoubleSeconds(model.time - start);
        longest = std::max(longest, elapsed);
        total += elapsed;
        // Starts the next change at another phase of the gossip intervals.
        model.advance(absl::Milliseconds(3370));
    }
    state.counters["nodes"] = static_cast<double>(model.nodes.size());
    state.counters["spread_s_mean"] = total / static_cast<double>(state.iterations());
    state.counters["spread_s_max"] = longest;
}

void fleets(benchmark::internal::Benchmark *benchmark)
{
    for (const auto &[domains, perDomain] : std::vector<std::pair<int, int>> {
             {3, 2}, {3, 4}, {4, 6}, {4, 12}, {4, 24}, {2, 95}, {4, 95}})
        benchmark->Args({domains, perDomain});
}

BENCHMARK(membershipSteadyState)->Apply(fleets)->Iterations(2)->Unit(benchmark::kMillisecond);
BENCHMARK(documentSpread)->Apply(fleets)->Iterations(30)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace foxtailtally
