#include "servers/account/request_account.h"

#include <array>
#include <benchmark/benchmark.h>
#include <string_view>
#include <utility>

namespace foxtailtally {
namespace {

/** What the account adds to a request: its begin, the move to its run, and its end. */
void countRequest(benchmark::State &state)
{
    constexpr std::array<std::string_view, 4> kCauses = {"served", "server_failure", "timed_out",
                                                         "server_lost"};
    RequestAccount account;
    std::size_t number = 0;
    for (auto _ : state) {
        OpenRequest session = account.begin();
        OpenRequest run = std::move(session);
        benchmark::DoNotOptimize(run.end(RequestEnd::Answered, kCauses[number++ % kCauses.size()]));
    }
}
BENCHMARK(countRequest);

} // namespace
} // namespace foxtailtally
