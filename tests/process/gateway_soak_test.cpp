#include "tests/process/gateway_soak.h"

#include <absl/strings/numbers.h>
#include <array>
#include <cstdlib>
#include <gtest/gtest.h>
#include <vector>

namespace foxtailtally {
namespace {

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    std::uint64_t number = 0;
    return text && absl::SimpleAtoi(text, &number) ? number : fallback;
}

/** Seeds of the short runs. Seed 200 sent SIGTERM to a gateway before its handler was installed. */
constexpr std::array<std::uint64_t, 4> kShortSeeds = {1, 2, 3, 200};

/** The seeds to run: kShortSeeds, or those set by FOXTAILTALLY_SOAK_FROM and _COUNT. */
std::vector<std::uint64_t> seeds()
{
    const std::uint64_t first = numberFrom("FOXTAILTALLY_SOAK_FROM", 1);
    const std::uint64_t count = numberFrom("FOXTAILTALLY_SOAK_COUNT", 0);
    if (count == 0)
        return {kShortSeeds.begin(), kShortSeeds.end()};
    std::vector<std::uint64_t> result;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        result.push_back(seed);
    return result;
}

void runSoak(std::uint64_t seed, SoakFaults faults)
{
    GatewaySoak soak(seed, faults);
    soak.run(absl::Seconds(static_cast<int>(numberFrom("FOXTAILTALLY_SOAK_SECONDS", 12))));
    for (const std::string &problem : soak.problems())
        ADD_FAILURE() << "seed " << seed << ": " << problem;
    EXPECT_GT(soak.served(), 0);
}

class GatewaySoakTest : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(GatewaySoakTest, KeepsItsPromisesUnderFaults)
{
    runSoak(this->GetParam(), SoakFaults::Any);
}

TEST_P(GatewaySoakTest, CutsNothingDuringPlannedWork)
{
    runSoak(this->GetParam(), SoakFaults::PlannedWork);
}

INSTANTIATE_TEST_SUITE_P(Seeds, GatewaySoakTest, testing::ValuesIn(seeds()));

} // namespace
} // namespace foxtailtally
