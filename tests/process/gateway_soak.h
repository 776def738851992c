#pragma once

#include "core/random.h"
#include "tests/process/fault_proxy.h"
#include "tests/process/gateway_deployment.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailtally {

class KeptConnection;

/** What happens during a soak. */
enum class SoakFaults {
    /** Gateways are paused, killed and stopped; servers, the store and connections fail. */
    Any,
    /** Gateways are stopped and restarted, the configuration changes, and servers drain and request
     * pauses: nothing that excuses a lost call. */
    PlannedWork,
};

/**
 * Runs gateways as separate processes under load while several faults overlap and servers name rate
 * limits. Callers keep their connections until the gateway closes them. Checks the responses that
 * callers get and the calls that servers get and run.
 */
class GatewaySoak
{
public:
    GatewaySoak(std::uint64_t seed, SoakFaults faults);
    ~GatewaySoak();
    GatewaySoak(const GatewaySoak &) = delete;
    GatewaySoak &operator=(const GatewaySoak &) = delete;

    /** Runs load and faults for @p length, then checks recovery and what the servers received. */
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
        /** The gateway closed the connection before the end of the response. */
        bool wasCut = false;
    };
    /** A time during which a server names the same limit. */
    struct LimitPeriod
    {
        int server = 0;
        double requestsPerSecond = 0;
        absl::Time begin;
        absl::Time end = absl::InfiniteFuture();
    };

    void callLoop(std::uint64_t callerSeed, int caller);
    void callOnce(Random &random, const std::string &callId,
                  std::vector<std::unique_ptr<KeptConnection>> &connections);
    void checkStream(const std::string &callId, int status, bool isComplete,
                     const std::string &body);
    void faultLoop(std::uint64_t faultSeed);
    void injectAnyFault(Random &random);
    void injectPlannedWork(Random &random);
    /** Ends a gateway with @p signals, the last of which ends it, and starts it again. */
    void restartGateway(int index, const std::vector<int> &signals);
    void pauseGateway(int index, Random &random);
    void injectServerFault(Random &random);
    void injectStoreFault(Random &random);
    void injectLinkFault(Random &random);
    void changeConfiguration();
    /** A server announces that it drains and is replaced by a new incarnation. */
    void replaceServer(Random &random);
    /** Lets servers name, change and end rate limits. */
    void limitLoop(std::uint64_t limitSeed);
    void waitForRecovery();
    void checkExecutions();
    /** Every request that a gateway has begun has ended in one way or is in progress. */
    void checkAccounts();
    void checkLimits();
    /** Planned work cuts no call that has reached a server. */
    void checkNothingCut();
    /** No gateway sends calls to a server that has told it not to. */
    void checkBackpressure();
    /** Whether gateway @p name was started again between two times. */
    bool wasRestarted(const std::string &name, absl::Time from, absl::Time to) const;
    void report(const std::string &problem);

    std::uint64_t seed;
    SoakFaults faults;
    GatewayDeployment deployment;
    /** One between each gateway and the store, then one in front of each server. */
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    /** Held while a gateway or a server is disturbed, since several faults overlap. */
    std::vector<std::unique_ptr<std::mutex>> gatewayLocks;
    std::vector<std::unique_ptr<std::mutex>> serverLocks;
    std::atomic<bool> isStopping = false;
    std::atomic<int> servedCalls = 0;
    std::mutex mutex;
    std::vector<Outcome> outcomes;
    std::vector<LimitPeriod> limitPeriods;
    /** When each gateway was started again. */
    absl::btree_map<std::string, std::vector<absl::Time>> restarts;
    int configurationVersion = 1;
    std::vector<std::string> reportedProblems;
};

} // namespace foxtailtally
