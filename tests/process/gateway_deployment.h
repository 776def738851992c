#pragma once

#include "tests/process/child_process.h"
#include "tests/process/serving_standin.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtailtally {

/** Gateways that run as separate processes and use a ServingStandin as their platform. */
class GatewayDeployment
{
public:
    /** Instance @p index is in failure domain "d0", "d1" or "d2". */
    explicit GatewayDeployment(int gateways);
    ~GatewayDeployment();

    ServingStandin &platform() { return *this->standin; }
    /** Address at which gateway @p index accepts callers. */
    std::string callerAddress(int index) const;
    /** An otherwise unused IP address of this deployment. */
    std::string spareHost(int number) const;
    /** Sets the store address in the settings of gateway @p index; the store's own by default. */
    void setStoreAddress(int index, const std::string &address);

    /** Appends @p text to the settings of all gateways that are started from now on. */
    void setExtraSettings(const std::string &text) { this->extraSettings = text; }
    /** Memory of the gateways that are started from now on, in MiB; their default without it. */
    void setMemory(int mebibytes) { this->memoryMebibytes = mebibytes; }
    /** ColdPerS of the service "desk" in the configurations that are stored from now on. */
    void setColdRate(double requestsPerSecond) { this->coldRate = requestsPerSecond; }
    /** Limits on the servers of the service "engine" in each domain, in the configurations that are
     * stored from now on; none without it. */
    void setScaling(int minimum, int maximum) { this->scaling = {minimum, maximum}; }
    void start(int index);
    ChildProcess &process(int index)
    {
        return *this->processes.at(static_cast<std::size_t>(index));
    }
    bool isReady(int index) const;
    bool waitUntilReady(int index) const;
    /** Metrics of gateway @p index as text. */
    std::string metrics(int index) const;
    std::string logFile(int index) const;
    /** True when the log since the last start contains the event "started". */
    bool hasStarted(int index) const;
    int size() const { return static_cast<int>(this->processes.size()); }

    /** Stores configuration @p version: services, routes of each kind, and API keys.
     * @p readTokensPerSecond: prefill rate of the engines. @p maxBodyBytes: of callers' requests.
     */
    void configure(int version, const std::vector<std::string> &keys,
                   double readTokensPerSecond = 154000.0, int maxBodyBytes = 65536);
    /** Adds a route for @p prefix to the configurations that are stored from now on.
     * @p isResumable: whether its streams may be resumed. */
    void addRoute(const std::string &prefix, const std::string &kind = "idempotent",
                  bool isResumable = true)
    {
        this->addedRoutes.push_back({prefix, kind, isResumable});
    }

private:
    struct AddedRoute
    {
        std::string prefix;
        std::string kind;
        bool isResumable;
    };

    std::string host(int number) const;

    std::string folder;
    std::unique_ptr<ServingStandin> standin;
    std::vector<std::unique_ptr<ChildProcess>> processes;
    std::vector<std::string> storeAddresses;
    std::string extraSettings;
    double coldRate = 0;
    std::optional<std::pair<int, int>> scaling;
    std::optional<int> memoryMebibytes;
    std::vector<AddedRoute> addedRoutes;
    /** Size of each gateway's log file at its last start, in bytes. */
    std::vector<std::uintmax_t> logStarts;
};

} // namespace foxtailtally
