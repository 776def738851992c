#pragma once

#include "peers/http/inbound_connection.h"

#include <memory>
#include <string>
#include <system_error>
#include <vector>

struct evconnlistener;
struct event_base;

namespace foxtailtally {

/** Accepts connections at an address and owns them until they are closed. */
class InboundServer
{
public:
    /** @p events receives the events of all connections and must outlive this object. */
    InboundServer(event_base *base, InboundEvents &events)
        : base(base)
        , events(events)
    { }
    ~InboundServer();
    InboundServer(const InboundServer &) = delete;
    InboundServer &operator=(const InboundServer &) = delete;

    /** Listens on @p address, "ip:port". */
    std::error_code start(const std::string &address);
    /** For InboundEvents::onClosed(): onTick() destroys @p connection. */
    void onClosed(InboundConnection &connection) { this->closed.push_back(&connection); }
    /** Destroys closed connections; must not be called from an event callback. */
    void onTick();

private:
    void onAccept(int socket);

    event_base *base;
    InboundEvents &events;
    evconnlistener *listener = nullptr;
    std::vector<std::unique_ptr<InboundConnection>> connections;
    std::vector<InboundConnection *> closed;
};

} // namespace foxtailtally
