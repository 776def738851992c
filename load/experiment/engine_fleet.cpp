#include "load/experiment/engine_fleet.h"

#include "load/experiment/engine_timing.h"

#include <utility>

namespace foxtailtally {

namespace {

/** The engines are warmed up this long before the start of the experiment (virtual time). */
constexpr absl::Duration kWarmUpTime = absl::Minutes(1);

} // namespace

EngineFleet::EngineFleet(std::vector<BackendServer> servers, const EngineOptions &options,
                         VirtualLoop &loop, Listener listener)
    : backendServers(std::move(servers))
    , loop(loop)
    , listener(std::move(listener))
    , scheduledAt(this->backendServers.size(), absl::InfiniteFuture())
    , staysDead(this->backendServers.size(), false)
    , turnedColdTimes(this->backendServers.size(), absl::InfinitePast())
{
    for (std::size_t i = 0; i < this->backendServers.size(); ++i) {
        EngineOptions serverOptions = options;
        serverOptions.seed = options.seed + i;
        const absl::Time begin = loop.now() - kWarmUpTime;
        this->engines.push_back(
            std::make_unique<EngineModel>(this->backendServers[i].id, 1, serverOptions, begin));
        warmUp(*this->engines.back(), serverOptions, begin);
        this->indexes[this->backendServers[i].id] = i;
    }
}

EngineSubmitResult EngineFleet::submit(std::size_t server, const EngineRequest &request)
{
    this->advance(server);
    std::vector<EngineAction> actions;
    const EngineSubmitResult result =
        this->engines[server]->submit(request, this->loop.now(), actions);
    this->deliver(server, actions);
    this->schedule(server);
    return result;
}

void EngineFleet::cancel(std::size_t server, const RequestId &request)
{
    this->advance(server);
    this->engines[server]->cancel(request, this->loop.now());
}

std::error_code EngineFleet::reserve(std::size_t server, const EngineHold &hold)
{
    this->advance(server);
    return this->engines[server]->reserve(hold, this->loop.now());
}

void EngineFleet::freeReservation(std::size_t server, const std::string &id)
{
    this->advance(server);
    this->engines[server]->freeReservation(id, this->loop.now());
}

void EngineFleet::kill(std::size_t server, bool untilRestart)
{
    this->staysDead[server] = untilRestart;
    std::vector<EngineAction> actions;
    this->engines[server]->kill(this->loop.now(), actions);
    this->deliver(server, actions);
}

void EngineFleet::restart(std::size_t server)
{
    this->staysDead[server] = false;
    this->engines[server]->restart(this->loop.now());
}

void EngineFleet::turnCold(std::size_t server)
{
    this->advance(server);
    this->engines[server]->turnCold(this->loop.now());
    this->turnedColdTimes[server] = this->loop.now();
}

void EngineFleet::advance(std::size_t server)
{
    std::vector<EngineAction> actions;
    this->engines[server]->advance(this->loop.now(), actions);
    this->deliver(server, actions);
}

void EngineFleet::deliver(std::size_t server, const std::vector<EngineAction> &actions)
{
    for (const EngineAction &action : actions) {
        if (std::holds_alternative<EngineDied>(action)) {
            this->loop.after(kRestartDelay, [this, server]() {
                if (!this->staysDead[server])
                    this->engines[server]->restart(this->loop.now());
            });
        }
        this->listener(server, action);
    }
}

void EngineFleet::schedule(std::size_t server)
{
    const absl::Time next = this->engines[server]->nextEventAt();
    if (next == absl::InfiniteFuture() || this->scheduledAt[server] == next)
        return;
    this->scheduledAt[server] = next;
    this->loop.at(next, [this, server, next]() {
        if (this->scheduledAt[server] != next)
            return;
        this->scheduledAt[server] = absl::InfiniteFuture();
        this->advance(server);
        this->schedule(server);
    });
}

} // namespace foxtailtally
