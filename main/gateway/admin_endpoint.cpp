#include "main/gateway/admin_endpoint.h"

#include <utility>

namespace foxtailtally {

AdminEndpoint::AdminEndpoint(event_base *base, Handler handler)
    : handler(std::move(handler))
    , server(base, *this)
{ }

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
    this->server.onClosed(connection);
}

} // namespace foxtailtally
