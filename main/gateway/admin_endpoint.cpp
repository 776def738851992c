#include "main/gateway/admin_endpoint.h"

#include "main/gateway/listener.h"

#include <algorithm>
#include <event2/listener.h>
#include <utility>

namespace foxtailtally {

AdminEndpoint::AdminEndpoint(event_base *base, Handler handler)
    : base(base)
    , handler(std::move(handler))
{ }

AdminEndpoint::~AdminEndpoint()
{
    if (this->listener)
        evconnlistener_free(this->listener);
}

std::error_code AdminEndpoint::start(const std::string &address)
{
    const Result<evconnlistener *> opened = listenOn(
        this->base, address,
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *object) {
            static_cast<AdminEndpoint *>(object)->onAccept(socket);
        },
        this);
    if (!opened.ok())
        return opened.error();
    this->listener = *opened;
    return {};
}

void AdminEndpoint::onTick()
{
    std::erase_if(this->connections, [this](const auto &connection) {
        return std::find(this->closed.begin(), this->closed.end(), connection.get())
            != this->closed.end();
    });
    this->closed.clear();
}

void AdminEndpoint::onAccept(int socket)
{
    InboundEvents &events = *this;
    this->connections.push_back(
        std::make_unique<InboundConnection>(this->base, socket, events, InboundLimits()));
}

void AdminEndpoint::onRequestHead(InboundConnection &connection)
{
    connection.discardBody();
}

void AdminEndpoint::onRequestComplete(InboundConnection &connection)
{
    const AdminAnswer answer = this->handler(connection.head());
    HttpHeaders headers;
    headers.add("Content-Type", answer.contentType);
    connection.answer(answer.status, headers, answer.body);
}

void AdminEndpoint::onCallerGone(InboundConnection &)
{ }

void AdminEndpoint::onWritable(InboundConnection &)
{ }

void AdminEndpoint::onRequestRejected(InboundConnection &connection, int status)
{
    connection.answer(status, {}, {});
}

void AdminEndpoint::onClosed(InboundConnection &connection)
{
    this->closed.push_back(&connection);
}

} // namespace foxtailtally
