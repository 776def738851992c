#pragma once

#include "tests/process/endless_server.h"
#include "tests/process/fault_proxy.h"
#include "tests/process/gateway_deployment.h"
#include "tests/process/trouble_matrix_cell.h"
#include "tests/process/trouble_matrix_judgement.h"

#include <absl/time/time.h>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace foxtailtally {

struct MatrixCellResult
{
    MatrixCell cell;
    /** Descriptions of broken rules. */
    std::vector<std::string> problems;
    /** When the change began, and the times at which servers got the request of the cell. */
    absl::Time changeAt;
    std::vector<absl::Time> arrivals;
};

/** A gateway with servers and a store at which cells of the matrix are played. */
class MatrixGateway
{
public:
    /** @p hasProxies: the gateway reaches the servers through proxies that can hold back answers.
     */
    explicit MatrixGateway(bool hasProxies);
    MatrixGateway(const MatrixGateway &) = delete;
    MatrixGateway &operator=(const MatrixGateway &) = delete;

    /** Starts the gateway; false when it does not serve. */
    bool start();
    /** Plays cells of one trouble and one change at once, each on a connection of its own, and
     * restores the state before. A problem of the set-up itself is reported with each cell. */
    std::vector<MatrixCellResult> play(const std::vector<MatrixCell> &cells);

private:
    using ConfigChange = std::function<void(nlohmann::json &config)>;

    void configure(const ConfigChange &change);
    /** Waits until the latest configuration is in force. */
    bool isApplied();
    /** Sends a few calls, so that the gateway has idle connections to the servers, unless it has
     * them since the cells before. */
    void warmUp();
    void callerLoop(const MatrixCell &cell, absl::Time changeAt);
    std::string request(const MatrixCell &cell, MatrixKind kind, const std::string &id,
                        bool isChunked) const;
    std::string nextId();
    void addOutcome(MatrixOutcome outcome);
    /** Troubles that hold before and during the cells. */
    void beginStandingTrouble(MatrixTrouble trouble);
    void setServerLinks(LinkFault fault);
    /** Address at which the store lists server @p index. */
    std::string listedAddress(int index);
    /** Calls beside the cells that cause their trouble; they are not judged. */
    void sendHarmfulCalls(MatrixTrouble trouble);
    /** Troubles that begin with the change. */
    void beginTrouble(MatrixTrouble trouble);
    /** Makes the change, and lets the callers go on while it is in force. */
    void makeChange(MatrixChange change);
    void endTrouble(MatrixTrouble trouble);
    /** Takes the change back; false when the gateway does not get there. */
    bool revert(MatrixChange change);
    void letCallersGoOn() { this->mayGoOn = true; }
    void completeFromServers(MatrixOutcome &outcome, const std::vector<ServerArrival> &arrivals);

    bool hasProxies = false;
    GatewayDeployment deployment;
    FaultProxy storeLink;
    EndlessServer endlessServer;
    std::vector<std::unique_ptr<FaultProxy>> serverLinks;
    int version = 0;
    bool isWarm = false;
    std::size_t logRead = 0;
    int appliedVersion = 0;
    std::atomic<int> calls = 0;
    std::atomic<bool> mayGoOn = false;
    std::mutex mutex;
    std::vector<MatrixOutcome> outcomes;
};

} // namespace foxtailtally
