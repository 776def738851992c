#include "core/hash.h"
#include "servers/quarantine/quarantine.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

namespace foxtailtally {

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000000);
constexpr int kParts = 10;

CallFingerprints anyCall()
{
    CallFingerprints call;
    call.call = fingerprintOf("call");
    for (int i = 0; i < kParts; ++i)
        call.parts.push_back(fingerprintOf(absl::StrCat("part ", i)));
    return call;
}

/** A table with @p suspects fingerprints that have died once, and one that is quarantined. */
Quarantine tableWith(std::int64_t suspects)
{
    QuarantineOptions options;
    options.maxFingerprints = 20000;
    Quarantine table(options);
    for (std::int64_t i = 0; i < suspects; ++i) {
        const BackendServerId server(absl::StrCat("server-", i % 300));
        table.onCrashReport({fingerprintOf(absl::StrCat("suspect ", i)), server, 1, kStart},
                            kStart);
    }
    if (suspects > 0) {
        for (int i = 0; i < 3; ++i)
            table.onCrashReport(
                {fingerprintOf("deadly"), BackendServerId(absl::StrCat(i)), 1, kStart}, kStart);
    }
    return table;
}

/** What a call costs before it is sent: whether it is quarantined or suspect. */
void checkCall(benchmark::State &state)
{
    const Quarantine table = tableWith(state.range(0));
    const CallFingerprints call = anyCall();
    for (auto _ : state) {
        if (table.isEmpty())
            continue;
        bool isRestricted = table.refuses(call, kStart);
        for (const Fingerprint &part : call.parts)
            isRestricted |= table.nextRun(part, kStart) == SuspectRun::Last;
        benchmark::DoNotOptimize(isRestricted);
    }
}

/** What a call costs when it is served: fingerprints of its parts, and their acquittal. */
void recordServedCall(benchmark::State &state)
{
    Quarantine table = tableWith(state.range(0));
    std::int64_t number = 0;
    for (auto _ : state) {
        const CallFingerprints call = anyCall();
        const absl::Time now = kStart + absl::Milliseconds(++number);
        benchmark::DoNotOptimize(table.recordPartsServed(call.parts, now, now));
    }
}

/** A report, and the verdicts that the next call needs. */
void judgeAfterReport(benchmark::State &state)
{
    Quarantine table = tableWith(state.range(0));
    Incarnation incarnation = 1;
    for (auto _ : state) {
        table.onCrashReport(
            {fingerprintOf("suspect 1"), BackendServerId("server-1"), ++incarnation, kStart},
            kStart);
        benchmark::DoNotOptimize(table.check(fingerprintOf("suspect 1"), kStart));
    }
}

/** What a call costs that is refused for a part with many deaths. */
void refuseCall(benchmark::State &state)
{
    Quarantine table;
    CallFingerprints call = anyCall();
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const BackendServerId server(absl::StrCat("server-", i));
        table.onCrashReport({call.parts[1], server, 1, kStart + absl::Milliseconds(i)}, kStart);
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(table.refuses(call, kStart));
}

BENCHMARK(checkCall)->Arg(0)->Arg(10)->Arg(10000);
BENCHMARK(recordServedCall)->Arg(0)->Arg(10)->Arg(10000);
BENCHMARK(refuseCall)->Arg(3)->Arg(16)->Arg(Quarantine::kMaxDeaths);
BENCHMARK(judgeAfterReport)->Arg(10)->Arg(10000);

} // namespace

} // namespace foxtailtally
