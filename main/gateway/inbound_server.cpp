#include "main/gateway/inbound_server.h"

#include "core/guard.h"
#include "main/gateway/listener.h"

#include <algorithm>

namespace foxtailtally {

InboundServer::~InboundServer()
{
    if (this->listener)
        evconnlistener_free(this->listener);
}

std::error_code InboundServer::start(const std::string &address)
{
    const Result<evconnlistener *> opened = listenOn(
        this->base, address,
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            runGuarded("accept", [&] { static_cast<InboundServer *>(object)->onAccept(socket); });
        },
        this);
    if (!opened.ok())
        return opened.error();
    this->listener = *opened;
    return {};
}

void InboundServer::onTick()
{
    std::erase_if(this->connections, [this](const auto &connection) {
        return std::find(this->closed.begin(), this->closed.end(), connection.get())
            != this->closed.end();
    });
    this->closed.clear();
}

void InboundServer::onAccept(int socket)
{
    this->connections.push_back(
        std::make_unique<InboundConnection>(this->base, socket, this->events, InboundLimits()));
}

} // namespace foxtailtally
