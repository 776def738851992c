#pragma once

#include "core/event_loop.h"
#include "main/lib/document_publisher.h"
#include "peers/http/http_server.h"

#include <memory>

namespace foxtailtally {

/**
 * Operators' changes over HTTP: release notes, and failure domains and instances out of and into
 * service. Each change writes an audit line to the log. Changes run one after the other.
 */
class OperatorService
{
public:
    explicit OperatorService(DocumentPublisher &publisher);

    /** Takes the exchange when its path is one of the service's; false otherwise. */
    bool handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    HttpResponse change(const HttpRequest &request, const std::string &body);
    HttpResponse changeService(const HttpRequest &request, const std::string &body);

    DocumentPublisher &publisher;
    EventLoop loop;
};

} // namespace foxtailtally
