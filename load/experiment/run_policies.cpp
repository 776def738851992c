#include "load/experiment/engine_timing.h"
#include "load/experiment/simulation.h"

#include <absl/strings/str_format.h>

namespace foxtailtally {

namespace {

std::string describe(const ExperimentFault &fault)
{
    static constexpr const char *kNames[] = {"domain lost", "domain out", "server lost",
                                             "server cold"};
    return absl::StrFormat("%s %d from %s to %s", kNames[static_cast<int>(fault.kind)],
                           fault.target, absl::FormatDuration(fault.begin),
                           absl::FormatDuration(fault.end));
}

} // namespace

std::vector<TracedRequest> experimentTrace(const ExperimentOptions &options,
                                           double capacityPerSecond)
{
    TraceOptions traceOptions;
    traceOptions.deployment = findDeployment(options.deploymentName);
    traceOptions.requestsPerSecond = options.load * capacityPerSecond;
    traceOptions.length = options.length;
    traceOptions.shape = options.shape;
    traceOptions.withActions = false;
    traceOptions.seed = options.seed;
    std::vector<TracedRequest> trace = generateTrace(traceOptions);
    std::erase_if(trace, [&](const TracedRequest &request) {
        return request.profile.promptTokens > options.largestPrompt;
    });
    return trace;
}

std::vector<RequestRecord> idleRecords(std::span<const TracedRequest> trace,
                                       const Deployment &deployment,
                                       const EngineOptions &engineOptions)
{
    std::vector<RequestRecord> idle(trace.size());
    const absl::Duration network = 2 * deployment.clientLatency;
    for (std::size_t i = 0; i < trace.size(); ++i) {
        const IdleTimes times = idleTimes(trace[i].profile, engineOptions);
        idle[i].idleTimeToFirstToken = times.timeToFirstToken + network;
        idle[i].idleTotal = times.total + network;
    }
    return idle;
}

ExperimentResult runPolicies(const ExperimentOptions &options)
{
    const Deployment &deployment = *findDeployment(options.deploymentName);
    EngineOptions engineOptions;
    engineOptions.reportsEveryToken = false;
    engineOptions.seed = options.seed;
    ExperimentResult result;
    result.title = options.title;
    result.deployment = options.deploymentName;
    result.load = options.load;
    result.length = options.length;
    result.seed = options.seed;
    result.capacityPerSecond = capacityPerSecond(deployment, engineOptions);
    for (const ExperimentFault &fault : options.faults) {
        result.faults.push_back(describe(fault));
        result.faultTimes.emplace_back(fault.begin, fault.end);
    }

    const std::vector<TracedRequest> trace = experimentTrace(options, result.capacityPerSecond);
    const std::vector<RequestRecord> idle = idleRecords(trace, deployment, engineOptions);
    const SimulationInput input {
        options, deployment, engineOptions, trace, absl::FromUnixSeconds(1'700'000'000), idle};
    for (const PolicyPair &policy : options.policies)
        result.policies.push_back(Simulation(input, policy).run());
    return result;
}

} // namespace foxtailtally
