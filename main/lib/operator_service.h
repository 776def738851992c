#pragma once

#include "core/event_loop.h"
#include "main/lib/document_publisher.h"
#include "peers/http/http_server.h"

#include <memory>

namespace foxtailtally {

/**
 * Operators' changes over HTTP: publishes release notes, and takes failure domains and instances
 * out of service or returns them. Each change writes an audit line to the log. Changes run one at a
 * time.
 */
class OperatorService
{
public:
    explicit OperatorService(DocumentPublisher &publisher);

    /** Handles the exchange if its path belongs to this service; false otherwise. */
    bool handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    HttpResponse change(const HttpRequest &request, const std::string &body);
    HttpResponse changeService(const HttpRequest &request, const std::string &body);

    DocumentPublisher &publisher;
    EventLoop loop;
};

} // namespace foxtailtally
