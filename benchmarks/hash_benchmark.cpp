#include "core/hash.h"

#include <benchmark/benchmark.h>
#include <string>

namespace foxtailtally {

namespace {

void fingerprintPrompt(benchmark::State &state)
{
    const std::string prompt(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto step : state)
        benchmark::DoNotOptimize(fingerprintOf(prompt));
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations()) * state.range(0));
}

BENCHMARK(fingerprintPrompt)->Arg(4096)->Arg(5 << 20);

} // namespace

} // namespace foxtailtally
