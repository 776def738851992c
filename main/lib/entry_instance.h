#pragma once

#include "core/metrics.h"
#include "core/settings.h"
#include "main/lib/action_service.h"
#include "main/lib/claim_coordinator.h"
#include "main/lib/completion_service.h"
#include "main/lib/control_plane.h"
#include "main/lib/document_publisher.h"
#include "main/lib/operator_service.h"
#include "peers/http/http_client.h"
#include "peers/http/http_server.h"
#include "peers/instance/instance_transport.h"
#include "peers/operator/operator_access.h"
#include "peers/platform/platform_client.h"

#include <atomic>
#include <memory>

namespace foxtailtally {

/** One process of `foxtailtally serve`: owns all components and starts and stops them in order. */
class EntryInstance
{
public:
    explicit EntryInstance(Settings settings);
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

    /** Errors: SettingsInvalid, ConnectionFailed (an address cannot be bound). */
    std::error_code start();
    /** Graceful shutdown: returns when no request is running or stop.limit has passed. */
    void stopGracefully();

    std::uint16_t callerPort() const { return this->callerServer->port(); }
    std::uint16_t adminPort() const { return this->adminServer->port(); }

private:
    std::error_code startTransport();
    std::error_code startServers();
    void createCompletionService();
    void createActionService();
    CompletionDefaults defaults() const;
    void handleCaller(const std::shared_ptr<HttpExchange> &exchange);
    void handleOperator(const std::shared_ptr<HttpExchange> &exchange);
    /** No request is running and none has arrived for kMinIdleBeforeExit. */
    bool isIdle(absl::Time now) const;
    HttpResponse readiness() const;
    HttpResponse status() const;
    HttpResponse currentNote() const;
    HttpResponse noteHistory() const;

    Settings settings;
    Metrics metrics;
    std::atomic<bool> stopping {false};
    Incarnation incarnation = 0;
    PeerDirectory peers;
    OperatorAccess operatorAccess;
    std::unique_ptr<RoutingPolicy> routingPolicy;
    std::shared_ptr<HttpClient> http;
    std::unique_ptr<PlatformClient> platform;
    std::unique_ptr<EngineClient> engines;
    std::unique_ptr<ControlPlane> control;
    std::unique_ptr<InstanceTransport> transport;
    std::unique_ptr<ClaimCoordinator> claims;
    std::unique_ptr<ServiceClient> services;
    std::unique_ptr<ActionService> actions;
    std::unique_ptr<CompletionService> completions;
    std::unique_ptr<DocumentPublisher> publisher;
    std::unique_ptr<OperatorService> operators;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> adminServer;
};

} // namespace foxtailtally
