#include "load/experiment/engine_timing.h"
#include "load/experiment/simulation.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

constexpr absl::Duration kLength = absl::Seconds(15);
constexpr double kCapacity = 26;

/** Random load, faults and policy on Himrekha's servers. */
ExperimentOptions randomExperiment(Random &random)
{
    ExperimentOptions options;
    options.deploymentName = "himrekha";
    options.load = 0.2 + 1.3 * random.uniform();
    options.length = kLength;
    options.seed = random.next();
    options.largestPrompt = 300'000;
    for (std::uint64_t i = 0, count = random.below(4); i < count; ++i) {
        ExperimentFault fault;
        fault.kind = static_cast<FaultKind>(random.below(4));
        const bool isDomain =
            fault.kind == FaultKind::DomainLost || fault.kind == FaultKind::DomainOut;
        fault.target = static_cast<int>(random.below(isDomain ? 3 : 15));
        fault.begin = kLength * random.uniform();
        fault.end = fault.begin + absl::Seconds(10) * random.uniform();
        options.faults.push_back(fault);
    }
    return options;
}

/** Owner that admits requests as if cold servers were warm. */
std::unique_ptr<AdmissionPolicy> makeColdBlindOwner(std::string_view name,
                                                    std::span<const BackendServer> servers,
                                                    Incarnation life, absl::Time readyAt,
                                                    absl::Time now)
{
    std::vector<BackendServer> wrong(servers.begin(), servers.end());
    for (BackendServer &server : wrong)
        server.coldLimit = server.warmLimit;
    return makeAdmission(name, wrong, life, readyAt, now);
}

PolicyResult runRandom(std::uint64_t seed, const AdmissionFactory &makeOwner)
{
    Random random(seed);
    const ExperimentOptions options = randomExperiment(random);
    const Deployment &deployment = *findDeployment(options.deploymentName);
    EngineOptions engineOptions;
    engineOptions.reportsEveryToken = false;
    const auto trace = experimentTrace(options, kCapacity);
    // Slowdowns are not part of the check, so the idle times are left at zero.
    const std::vector<RequestRecord> idle(trace.size());
    const SimulationInput input {
        options, deployment, engineOptions, trace, absl::FromUnixSeconds(1'700'000'000),
        idle,    makeOwner};
    return Simulation(input, {"deadline_aware", "predictive"}).run();
}

/** Every request has ended with a consistent result, and no engine was overloaded while cold or
 * exceeded its memory. */
bool resultHolds(const PolicyResult &result)
{
    const bool areAllEnded =
        std::all_of(result.records.begin(), result.records.end(), [](const RequestRecord &record) {
            return record.endedAt >= record.sentAt && record.newTokens > 0
                && (record.outcome == RequestOutcome::Ok) == (record.reason == RefusalReason::None);
        });
    return areAllEnded && result.coldOverloads == 0
        && !result.engineDeaths.contains("memory_exceeded");
}

} // namespace

// Guards against work beyond the limits of cold servers or of memory, and against requests that
// never end, under random load and random faults of domains and servers.
TEST(ExperimentTest, OwnersProtectEnginesUnderRandomFaults)
{
    EXPECT_TRUE(rc::check("experiment", [](std::uint64_t seed) {
        RC_ASSERT(resultHolds(runRandom(seed, makeAdmission)));
    }));
}

// A seed that failed the check above in a run with fresh seeds.
TEST(ExperimentTest, OwnersProtectEnginesOfSeed1281295)
{
    const PolicyResult result = runRandom(1281295, makeAdmission);
    EXPECT_EQ(result.coldOverloads, 0);
    EXPECT_FALSE(result.engineDeaths.contains("memory_exceeded"));
    EXPECT_TRUE(resultHolds(result));
}

// Shows that the check above can fail.
TEST(ExperimentTest, CheckFindsOwnerThatIgnoresColdServers)
{
    bool isFound = false;
    for (std::uint64_t seed = 1; seed <= 40 && !isFound; ++seed)
        isFound = !resultHolds(runRandom(seed, makeColdBlindOwner));
    EXPECT_TRUE(isFound);
}

// Guards against reports that change from run to run, and against experiment files that are
// accepted with faults in them.
TEST(ExperimentTest, SameFileGivesSameReportAndBadFilesAreNamed)
{
    std::vector<SettingsProblem> problems;
    const auto options = parseExperiment("[experiment]\ndeployment = fotocheck\nlength = 20 s\n"
                                         "policies = deadline_aware/predictive,"
                                         "power_of_two/first_in_first_out\n"
                                         "faults = domain_lost:1:5:10\n",
                                         "t.ini", problems);
    ASSERT_TRUE(options.ok());
    const ExperimentResult first = runPolicies(*options);
    const ExperimentResult second = runPolicies(*options);
    EXPECT_EQ(toJson(first), toJson(second));
    EXPECT_GT(first.policies.front().count(RequestOutcome::Ok), 0);
    EXPECT_FALSE(parseExperiment("[experiment]\ndeployment = fotocheck\nshape = round\n"
                                 "policies = best/predictive\nfaults = domain_lost:9:5:10\n",
                                 "t.ini", problems)
                     .ok());
    EXPECT_EQ(problems.size(), 3U);
}

} // namespace foxtailtally
