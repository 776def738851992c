#include "tests/fleet/fleet_model.h"

#include <benchmark/benchmark.h>

namespace foxtailtally {

namespace {

/** What the restore of the store costs a fleet in virtual time: calls to the store, for all kinds
 * of object, and the time until all instances serve the version that the operator writes at its
 * return. Arguments: failure domains, instances of each, and revisions that the store has lost. */
void restoreStore(benchmark::State &state)
{
    constexpr absl::Duration kSettled = absl::Seconds(5);
    double calls = 0;
    double newestMs = 0;
    double eraMs = 0;
    for (auto _ : state) {
        FleetModel fleet({static_cast<std::size_t>(state.range(0)),
                          static_cast<std::size_t>(state.range(1)), 3});
        fleet.run(kSettled);
        const std::size_t copy = fleet.copy();
        for (std::int64_t i = 0; i < state.range(2); ++i)
            fleet.change();
        fleet.run(kSettled);
        fleet.setStoreForAll(StoreAnswer::Refuse);
        fleet.run(absl::Seconds(2));
        fleet.restore(copy, true);
        fleet.setStoreForAll(StoreAnswer::Serve);
        fleet.change();
        const std::size_t callsBefore = fleet.storeCalls();
        const absl::Time restoredAt = fleet.now();
        absl::Time newestAt = absl::InfiniteFuture();
        absl::Time eraAt = absl::InfiniteFuture();
        while (fleet.now() < restoredAt + kSettled) {
            fleet.run(FleetModel::kStep);
            std::size_t behind = 0;
            for (std::size_t i = 0; i < fleet.size(); ++i)
                behind += fleet.version(i) < fleet.newestVersion() ? 1 : 0;
            if (behind == 0)
                newestAt = std::min(newestAt, fleet.now());
            if (fleet.instancesInEra() == fleet.size())
                eraAt = std::min(eraAt, fleet.now());
        }
        calls = static_cast<double>((fleet.storeCalls() - callsBefore) * kStoreKinds);
        newestMs = absl::ToDoubleMilliseconds(newestAt - restoredAt);
        eraMs = absl::ToDoubleMilliseconds(eraAt - restoredAt);
    }
    state.counters["calls_in_5s"] = calls;
    state.counters["newest_ms"] = newestMs;
    state.counters["era_ms"] = eraMs;
}

BENCHMARK(restoreStore)
    ->Args({3, 2, 3})
    ->Args({3, 10, 3})
    ->Args({4, 25, 3})
    ->Args({5, 59, 3})
    ->Args({5, 59, 0})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace foxtailtally
