#pragma once

#include "core/random.h"
#include "load/experiment/admission_registry.h"
#include "load/experiment/engine_fleet.h"
#include "load/experiment/experiment_options.h"
#include "load/experiment/experiment_result.h"
#include "load/experiment/virtual_loop.h"
#include "servers/routing/routing_policy.h"
#include "servers/routing/routing_view_builder.h"

#include <memory>
#include <span>
#include <vector>

namespace foxtailtally {

/** Input that is shared by all policies of an experiment. */
struct SimulationInput
{
    const ExperimentOptions &options;
    const Deployment &deployment;
    EngineOptions engineOptions;
    std::span<const TracedRequest> trace;
    /** Virtual time at which the trace starts; times in the results are relative to it. */
    absl::Time start;
    /** Per request of the trace: time to first token and total time on an idle engine. */
    std::span<const RequestRecord> idle;
    /** Creates the owners of groups. */
    AdmissionFactory makeOwner = makeAdmission;
};

/**
 * Runs one trace in virtual time through the production routing and admission code. Callers, entry
 * instances with delayed views, owners of groups and engines are simulated; messages between them
 * take the latencies of the deployment.
 */
class Simulation
{
public:
    Simulation(const SimulationInput &input, const PolicyPair &policy);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    PolicyResult run();

private:
    /** Losses of a failure domain, which may overlap. */
    struct DomainLosses
    {
        int active = 0;
        int total = 0;
    };

    struct Entry;
    struct Group;
    struct Flow;

    // Set-up and periodic work.
    std::vector<BackendServer> makeServers() const;
    void startPeriodicWork();
    void publishSummary(std::size_t group);
    void updatePrefixes();
    void pollLoadReport(std::size_t server);
    void sampleEngines();
    void scheduleTick(std::size_t group);

    // Life cycle of a request.
    void arrive(std::size_t request);
    void route(std::size_t request);
    void tryNextGroup(std::size_t request);
    void reserve(std::size_t request, std::size_t group);
    void onUnreachable(std::size_t request, std::size_t group);
    void apply(std::size_t group, const AdmissionActions &actions);
    void onRefused(std::size_t request, std::size_t group, const Refusal &refusal);
    void onGranted(std::size_t request, std::size_t group, const Grant &grant);
    /** Releases a permit of a reservation that the entry instance no longer waits for. */
    void returnPermit(std::size_t group, PermitId permit);
    void startOnEngine(std::size_t request);
    bool reserveContextParts(Flow &flow);
    void freeContextParts(Flow &flow);
    void onEngineAction(std::size_t server, const EngineAction &action);
    void onFirstToken(std::size_t request);
    void onFinished(std::size_t request);
    void onBroken(std::size_t request, PermitOutcome outcome);
    void onDeadline(std::size_t request);
    void release(Flow &flow, PermitOutcome outcome);
    void finish(std::size_t request, RequestOutcome outcome, RefusalReason reason);

    // Faults.
    void scheduleFaults();
    void loseDomain(int domain);
    void restoreDomain(int domain);
    void setDomainOutOfService(int domain, bool isOutOfService);
    void setGroupOutOfService(std::size_t group, bool isOutOfService);

    absl::Duration latency(int from, int to) const;
    int domainOf(std::size_t server) const;
    std::size_t pickEntry();

    const SimulationInput &input;
    std::unique_ptr<RoutingPolicy> policy;
    std::string admissionName;
    Random random;
    VirtualLoop loop;
    EngineFleet fleet;
    std::vector<Entry> entries;
    std::vector<Group> groups;
    absl::flat_hash_map<int, DomainLosses> domainLosses;
    std::vector<Flow> flows;
    /** Number of requests that have not ended. */
    std::size_t openRequests = 0;
    absl::flat_hash_map<GroupId, std::size_t> groupIndex;
    absl::flat_hash_map<RequestId, std::size_t> flowIndex;
    std::vector<std::uint64_t> eventSequence;
    PrefixIndex prefixes;
    /** Sums of the live and of the busy engines over all samples of each second of the trace. */
    std::vector<std::pair<int, int>> engineSamples;
    PolicyResult result;
};

/** Trace of @p options; @p capacityPerSecond is the deployment's, in model requests. */
std::vector<TracedRequest> experimentTrace(const ExperimentOptions &options,
                                           double capacityPerSecond);

/** Times of each request of @p trace on an idle engine; see SimulationInput::idle. */
std::vector<RequestRecord> idleRecords(std::span<const TracedRequest> trace,
                                       const Deployment &deployment,
                                       const EngineOptions &engineOptions);

/** Runs every policy of @p options on the same trace. */
ExperimentResult runPolicies(const ExperimentOptions &options);

} // namespace foxtailtally
