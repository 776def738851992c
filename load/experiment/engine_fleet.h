#pragma once

#include "core/backend_server.h"
#include "load/experiment/virtual_loop.h"
#include "standins/lib/engine_model.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <vector>

namespace foxtailtally {

/** Engine models of one experiment, advanced by the event loop. */
class EngineFleet
{
public:
    /** Receives the actions of an engine as of VirtualLoop::now(). */
    using Listener = std::function<void(std::size_t server, const EngineAction &action)>;

    /** Servers start warm. A dead server restarts cold after kRestartDelay. */
    EngineFleet(std::vector<BackendServer> servers, const EngineOptions &options, VirtualLoop &loop,
                Listener listener);

    /** Time that the platform takes to replace a dead server. */
    static constexpr absl::Duration kRestartDelay = absl::Seconds(30);

    const std::vector<BackendServer> &servers() const { return this->backendServers; }
    std::size_t indexOf(const BackendServerId &server) const { return this->indexes.at(server); }
    EngineModel &engine(std::size_t server) { return *this->engines[server]; }

    EngineSubmitResult submit(std::size_t server, const EngineRequest &request);
    void cancel(std::size_t server, const RequestId &request);
    std::error_code reserve(std::size_t server, const EngineHold &hold);
    void freeReservation(std::size_t server, const std::string &id);
    /** Kills the engine; with @p untilRestart it is not restarted before restart() is called. */
    void kill(std::size_t server, bool untilRestart);
    void restart(std::size_t server);
    void turnCold(std::size_t server);
    /** Time of the last turnCold() of the server; restarts are not included. */
    absl::Time turnedColdAt(std::size_t server) const { return this->turnedColdTimes[server]; }

private:
    void advance(std::size_t server);
    void deliver(std::size_t server, const std::vector<EngineAction> &actions);
    void schedule(std::size_t server);

    std::vector<BackendServer> backendServers;
    VirtualLoop &loop;
    Listener listener;
    std::vector<std::unique_ptr<EngineModel>> engines;
    std::vector<absl::Time> scheduledAt;
    std::vector<bool> staysDead;
    std::vector<absl::Time> turnedColdTimes;
    absl::flat_hash_map<BackendServerId, std::size_t> indexes;
};

} // namespace foxtailtally
