#pragma once

#include "core/random.h"
#include "tests/process/fault_proxy.h"
#include "tests/process/gateway_deployment.h"

#include <absl/time/time.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailtally {

/**
 * Runs gateways as separate processes under load while they are paused, killed, stopped and
 * restarted, and while faults are injected into servers, the store and connections and servers name
 * rate limits. Checks the responses that callers get and the calls that servers get and run.
 */
class GatewaySoak
{
public:
    explicit GatewaySoak(std::uint64_t seed);

    /** Runs load and faults for @p length, then checks recovery and executions. */
    void run(absl::Duration length);
    /** Descriptions of violated guarantees; empty when there are none. */
    std::vector<std::string> problems();
    /** Number of calls with a complete response of status 200. */
    int served() const { return this->servedCalls; }

private:
    struct Outcome
    {
        std::string callId;
        bool isAction = false;
        int status = 0;
    };

    void callLoop(std::uint64_t callerSeed, int caller);
    void callOnce(Random &random, const std::string &callId);
    void checkStream(const std::string &callId, int status, bool isComplete,
                     const std::string &body);
    void faultLoop(std::uint64_t faultSeed);
    /** Lets servers name, change and end rate limits. */
    void limitLoop(std::uint64_t limitSeed);
    void injectGatewayFault(Random &random);
    void injectServerFault(Random &random);
    void injectStoreFault(Random &random);
    void injectLinkFault(Random &random);
    void waitForRecovery();
    void checkExecutions();
    void checkLimits();
    void report(const std::string &problem);

    /** A time during which a server names the same limit. */
    struct LimitPeriod
    {
        int server = 0;
        double requestsPerSecond = 0;
        absl::Time begin;
        absl::Time end = absl::InfiniteFuture();
    };

    std::uint64_t seed;
    GatewayDeployment deployment;
    /** One between each gateway and the store, then one in front of each server. */
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    std::atomic<bool> isStopping = false;
    std::atomic<int> servedCalls = 0;
    std::mutex mutex;
    std::vector<Outcome> outcomes;
    std::vector<LimitPeriod> limitPeriods;
    /** When gateways were started again. */
    std::vector<absl::Time> restarts;
    std::vector<std::string> reportedProblems;
};

} // namespace foxtailtally
