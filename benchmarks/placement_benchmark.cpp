#include "load/placement/placement_trial.h"
#include "servers/placement/stream_ledger.h"
#include "servers/placement/stream_placement.h"

#include <benchmark/benchmark.h>

namespace foxtailtally {
namespace {

/** Places a long stream on one of range(0) engines while range(1) streams are in flight. */
void streamPlacement(benchmark::State &state)
{
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    const auto engines = static_cast<std::size_t>(state.range(0));
    const auto streams = static_cast<std::uint32_t>(state.range(1));
    StreamLedger ledger;
    std::vector<StreamPart> parts;
    for (std::uint32_t stream = 1; stream <= streams; ++stream) {
        StreamPart part;
        part.server = stream % engines + 1;
        part.stream = stream;
        part.placedAt = now;
        part.prefillMs = 30;
        part.memoryTokens = 6000;
        part.isDecoding = true;
        part.eventGapObjectiveMs = 250;
        part.value = 1.3F;
        parts.push_back(part);
    }
    ledger.replacePeer(InstanceId("other"), parts, now);
    std::vector<EngineCandidate> candidates;
    for (std::size_t i = 0; i < engines; ++i) {
        EngineCandidate candidate;
        candidate.server = i + 1;
        candidate.slots = 16;
        candidates.push_back(candidate);
    }
    StreamDemand demand;
    demand.promptTokens = 182000;
    demand.answerTokens = 650;
    demand.objective = demand.firstEventDue = absl::Seconds(4);
    demand.eventGapObjective = absl::Seconds(1);
    demand.callerTimeLeft = absl::Seconds(15);
    const EngineTiming engine = trialSetup("himrekha").engine;
    for (auto _ : state) {
        const auto loads = ledger.loads(now);
        benchmark::DoNotOptimize(StreamPlacement(engine, demand, now).choose(candidates, loads));
    }
}
BENCHMARK(streamPlacement)->Args({14, 70})->Args({78, 400})->Args({600, 12000});

} // namespace
} // namespace foxtailtally
