#include "peers/engine/engine_client.h"

#include "core/lock.h"

#include <utility>

namespace foxtailtally {

EngineClient::EngineClient(Factory factory)
    : factory(std::move(factory))
{ }

EngineClient::~EngineClient()
{
    pthread_mutex_destroy(&this->mutex);
}

std::shared_ptr<EngineServer> EngineClient::at(const std::string &address)
{
    const Lock lock(this->mutex);
    std::shared_ptr<EngineServer> &server = this->servers[address];
    if (server == nullptr) {
        server = this->factory(address);
    }
    return server;
}

void EngineClient::remove(const std::string &address)
{
    const Lock lock(this->mutex);
    this->servers.erase(address);
}

} // namespace foxtailtally
