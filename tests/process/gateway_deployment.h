#pragma once

#include "tests/process/child_process.h"
#include "tests/process/serving_standin.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Gateways as processes of their own, before a ServingStandin. */
class GatewayDeployment
{
public:
    /** Instance @p index is in failure domain "d0", "d1" or "d2". */
    explicit GatewayDeployment(int gateways);
    ~GatewayDeployment();

    ServingStandin &platform() { return *this->standin; }
    /** Address of gateway @p index for callers. */
    std::string callerAddress(int index) const;
    /** An address of this deployment that nothing else uses. */
    std::string spareHost(int number) const;
    /** Store address that gateway @p index is given; the store's own by default. */
    void setStoreAddress(int index, const std::string &address);

    void start(int index);
    ChildProcess &process(int index)
    {
        return *this->processes.at(static_cast<std::size_t>(index));
    }
    bool isReady(int index) const;
    bool waitUntilReady(int index) const;
    /** Text of the gateway's metrics. */
    std::string metrics(int index) const;
    std::string logFile(int index) const;
    /** The gateway has said since its last start that it takes calls. */
    bool hasStarted(int index) const;
    int size() const { return static_cast<int>(this->processes.size()); }

    /** Writes configuration @p version: services, routes of each kind, and customers' keys.
     * @p readTokensPerSecond: pace at which engines read prompts. */
    void configure(int version, const std::vector<std::string> &keys,
                   double readTokensPerSecond = 154000.0);

private:
    std::string host(int number) const;

    std::string folder;
    std::unique_ptr<ServingStandin> standin;
    std::vector<std::unique_ptr<ChildProcess>> processes;
    std::vector<std::string> storeAddresses;
    /** Length of each gateway's log at its last start. */
    std::vector<std::uintmax_t> logStarts;
};

} // namespace foxtailtally
