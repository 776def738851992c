#pragma once

#include "main/gateway/inbound_server.h"

#include <functional>
#include <string>
#include <system_error>
#include <vector>

struct event_base;

namespace foxtailtally {

/** A response of an AdminEndpoint. */
struct AdminAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;
};

/** Serves readiness and metrics on a separate address. */
class AdminEndpoint final : private InboundEvents
{
public:
    using Handler = std::function<AdminAnswer(const RequestHead &head)>;

    AdminEndpoint(event_base *base, Handler handler);

    /** Listens on @p address, "ip:port". */
    std::error_code start(const std::string &address) { return this->server.start(address); }
    /** Destroys closed connections; must not be called from a callback of a connection. */
    void onTick() { this->server.onTick(); }

private:
    void onRequestHead(InboundConnection &connection) override;
    void onRequestComplete(InboundConnection &connection) override;
    void onCallerGone(InboundConnection &connection) override;
    void onWritable(InboundConnection &connection) override;
    void onRequestRejected(InboundConnection &connection, int status) override;
    void onClosed(InboundConnection &connection) override;

    Handler handler;
    InboundServer server;
};

} // namespace foxtailtally
