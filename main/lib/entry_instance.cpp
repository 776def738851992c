#include "main/lib/entry_instance.h"

#include "core/clock.h"
#include "core/log.h"
#include "peers/caller/caller_replies.h"
#include "peers/engine/http_engine_server.h"
#include "servers/routing/policy_registry.h"

#include <nlohmann/json.hpp>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr int kHttpClientThreads = 2;
constexpr int kRequestLoops = 2;
constexpr int kCallerThreads = 4;
constexpr int kAdminThreads = 2;
constexpr useconds_t kStopPollMicroseconds = 50000;
/** A caller with an idle connection may send another request until it sees the close. */
constexpr absl::Duration kMinIdleBeforeExit = absl::Seconds(2);

HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

HttpResponse notFound()
{
    return callerErrorResponse({404, "not_found", "no such path"});
}

} // namespace

EntryInstance::EntryInstance(Settings instanceSettings)
    : settings(std::move(instanceSettings))
    , operatorAccess(this->settings.text("operator", "token"))
{ }

EntryInstance::~EntryInstance()
{
    // The servers stop first, so that no request arrives while the other components stop.
    this->callerServer.reset();
    this->adminServer.reset();
    this->operators.reset();
    this->completions.reset();
    this->actions.reset();
    if (this->claims != nullptr)
        this->claims->stop();
    if (this->control != nullptr)
        this->control->stop();
    this->transport.reset();
    this->http.reset();
}

std::error_code EntryInstance::start()
{
    // A restart needs a higher incarnation; wall time in microseconds increases across restarts.
    this->incarnation = static_cast<Incarnation>(absl::ToUnixMicros(Clock::wallNow()));
    const Result<PeerDirectory> directory =
        PeerDirectory::parse(this->settings.list("peers", "seeds"));
    if (!directory.ok())
        return directory.error();
    this->peers = *directory;
    this->routingPolicy = makeRoutingPolicy(this->settings.text("routing", "policy"));
    const bool isKnownAdmission =
        makeAdmissionPolicy(this->settings.text("admission", "policy"), {}) != nullptr;
    if (this->routingPolicy == nullptr || !isKnownAdmission)
        return Error::SettingsInvalid;
    this->http = std::make_shared<HttpClient>(kHttpClientThreads);
    this->platform = std::make_unique<PlatformClient>(
        this->http,
        PlatformAccess {this->settings.text("platform", "url"),
                        this->settings.text("platform", "token"), absl::Seconds(2)});
    this->engines = std::make_unique<EngineClient>([this](const std::string &address) {
        return std::make_shared<HttpEngineServer>(this->http, address,
                                                  this->settings.text("engine", "token"));
    });
    ControlOptions control;
    control.self = InstanceId(this->settings.text("instance", "id"));
    control.domain = FailureDomainId(this->settings.text("instance", "failure_domain"));
    control.incarnation = this->incarnation;
    control.address = this->settings.text("instance", "address") + ":"
        + std::to_string(this->settings.count("instance", "peer_port"));
    control.peers = this->peers;
    control.admissionPolicy = this->settings.text("admission", "policy");
    control.platformPoll = this->settings.duration("platform", "poll");
    control.enginePoll = this->settings.duration("engine", "poll");
    control.reportLag = this->settings.duration("engine", "report_lag");
    this->control = std::make_unique<ControlPlane>(std::move(control), *this->platform,
                                                   *this->engines, this->metrics);
    if (const std::error_code error = this->startTransport())
        return error;
    this->control->start(*this->transport);
    this->createCompletionService();
    this->createActionService();
    return this->startServers();
}

std::error_code EntryInstance::startTransport()
{
    InstanceTransportOptions options;
    options.self = InstanceId(this->settings.text("instance", "id"));
    options.incarnation = this->incarnation;
    options.address = this->settings.text("instance", "address");
    options.port = static_cast<std::uint16_t>(this->settings.count("instance", "peer_port"));
    options.secret = this->settings.text("peers", "key");
    auto started = InstanceTransport::start(
        options,
        [this](const Envelope &message, const InstanceTransport::Reply &reply) {
            this->control->onMessage(message, reply);
        },
        this->metrics);
    if (!started.ok())
        return started.error();
    this->transport = std::move(*started);
    return {};
}

void EntryInstance::createCompletionService()
{
    CompletionContext context;
    context.self = InstanceId(this->settings.text("instance", "id"));
    context.domain = FailureDomainId(this->settings.text("instance", "failure_domain"));
    context.incarnation = this->incarnation;
    context.defaults = this->defaults();
    context.session.bufferBytes =
        static_cast<std::size_t>(this->settings.bytes("limits", "stream_buffer"));
    context.session.maxPause = this->settings.duration("limits", "pause");
    context.streamBufferSum =
        static_cast<std::size_t>(this->settings.bytes("limits", "stream_buffers"));
    context.view = &this->control->view();
    context.state = &this->control->state();
    context.policy = this->routingPolicy.get();
    context.reservations = this->control.get();
    context.limits = &this->control->customerLimits();
    context.engines = this->engines.get();
    context.metrics = &this->metrics;
    this->completions = std::make_unique<CompletionService>(std::move(context), kRequestLoops);
}

CompletionDefaults EntryInstance::defaults() const
{
    CompletionDefaults values;
    values.timeLimits = {this->settings.duration("deadlines", "urgent"),
                         this->settings.duration("deadlines", "normal"),
                         this->settings.duration("deadlines", "batch")};
    return values;
}

void EntryInstance::createActionService()
{
    const InstanceId self(this->settings.text("instance", "id"));
    this->claims = std::make_unique<ClaimCoordinator>(
        self, this->incarnation,
        static_cast<std::uint32_t>(this->settings.count("claims", "shards")), *this->platform);
    this->services =
        std::make_unique<ServiceClient>(this->http, this->settings.text("service", "token"));
    ActionContext context;
    context.self = self;
    context.domain = FailureDomainId(this->settings.text("instance", "failure_domain"));
    context.incarnation = this->incarnation;
    context.defaults = this->defaults();
    context.state = &this->control->state();
    context.claims = this->claims.get();
    context.services = this->services.get();
    context.metrics = &this->metrics;
    this->actions = std::make_unique<ActionService>(std::move(context));
    this->publisher = std::make_unique<DocumentPublisher>(
        self.str() + "-" + std::to_string(this->incarnation), *this->platform);
    this->operators = std::make_unique<OperatorService>(*this->publisher);
}

std::error_code EntryInstance::startServers()
{
    HttpServerOptions options;
    options.address = this->settings.text("instance", "address");
    options.port = static_cast<std::uint16_t>(this->settings.count("instance", "caller_port"));
    options.threads = kCallerThreads;
    options.maxConnections = static_cast<int>(this->settings.count("limits", "connections"));
    options.maxBodyBytes = static_cast<std::size_t>(this->settings.bytes("limits", "body"));
    options.maxBufferedBytes =
        static_cast<std::size_t>(this->settings.bytes("limits", "bodies_in_flight"));
    options.bodyTimeout = this->settings.duration("limits", "body_time");
    auto caller = HttpServer::start(options, [this](const std::shared_ptr<HttpExchange> &exchange) {
        this->handleCaller(exchange);
    });
    if (!caller.ok())
        return caller.error();
    this->callerServer = std::move(*caller);
    options.port = static_cast<std::uint16_t>(this->settings.count("instance", "admin_port"));
    options.threads = kAdminThreads;
    auto admin = HttpServer::start(options, [this](const std::shared_ptr<HttpExchange> &exchange) {
        this->handleOperator(exchange);
    });
    if (!admin.ok())
        return admin.error();
    this->adminServer = std::move(*admin);
    logEvent(LogLevel::Info, "instance_started",
             {{"instance", this->settings.text("instance", "id")},
              {"failure_domain", this->settings.text("instance", "failure_domain")},
              {"caller_port", this->callerPort()},
              {"admin_port", this->adminPort()},
              {"incarnation", this->incarnation}});
    return {};
}

void EntryInstance::stopGracefully()
{
    if (this->stopping.exchange(true))
        return;
    const absl::Time started = Clock::now();
    const absl::Time listenUntil = started + this->settings.duration("stop", "balancer_lag");
    const absl::Time stopDeadline = started + this->settings.duration("stop", "limit");
    logEvent(LogLevel::Info, "shutdown_started");
    this->control->leave();
    this->callerServer->startDraining();
    while (Clock::now() < listenUntil)
        ::usleep(kStopPollMicroseconds);
    this->callerServer->stopListening();
    while (!this->isIdle(Clock::now()) && Clock::now() < stopDeadline)
        ::usleep(kStopPollMicroseconds);
    logEvent(LogLevel::Info, "shutdown_finished",
             {{"cut_requests", this->callerServer->openExchanges()}});
}

bool EntryInstance::isIdle(absl::Time now) const
{
    return this->callerServer->openExchanges() == 0
        && now - this->callerServer->lastRequestAt() > kMinIdleBeforeExit;
}

void EntryInstance::handleCaller(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.method == "GET" && request.path == "/health/ready")
        return exchange->respond(this->readiness());
    if (request.method == "POST" && request.path == "/v1/chat/completions")
        return this->completions->handle(exchange);
    if (request.method == "POST" && request.path.starts_with("/v1/services/"))
        return this->actions->handle(exchange);
    exchange->respond(notFound());
}

void EntryInstance::handleOperator(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.path == "/health/live")
        return exchange->respond(jsonResponse(200, {{"live", true}}));
    if (request.path == "/health/ready")
        return exchange->respond(this->readiness());
    if (!this->operatorAccess.allows(request))
        return exchange->respond(
            callerErrorResponse({401, "unauthorized", "operator token missing or wrong"}));
    if (request.path == "/metrics") {
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = this->metrics.exposition();
        return exchange->respond(std::move(response));
    }
    if (request.path == "/admin/v1/status")
        return exchange->respond(this->status());
    if (request.path == "/admin/v1/notes/current")
        return exchange->respond(this->currentNote());
    if (request.path == "/admin/v1/notes/history")
        return exchange->respond(this->noteHistory());
    if (this->operators->handle(exchange))
        return;
    exchange->respond(notFound());
}

HttpResponse EntryInstance::readiness() const
{
    const bool ready = this->control->isReady() && !this->stopping.load();
    return jsonResponse(ready ? 200 : 503, {{"ready", ready}});
}

HttpResponse EntryInstance::currentNote() const
{
    HttpResponse response;
    response.body = this->control->state().read(
        [](const ServingState &state) { return state.note.serialize(); });
    return response;
}

HttpResponse EntryInstance::noteHistory() const
{
    return this->control->state().read(
        [](const ServingState &state) { return jsonResponse(200, state.note.history.toJson()); });
}

HttpResponse EntryInstance::status() const
{
    nlohmann::json groups = nlohmann::json::array();
    this->control->view().read([&](const RoutingView &view) {
        for (const RoutingGroup &group : view.groups())
            groups.push_back({{"group", group.summary.group.str()},
                              {"failure_domain", group.summary.domain.str()},
                              {"owner", group.summary.owner.str()},
                              {"accepting", group.summary.accepting},
                              {"running", group.summary.running},
                              {"queued", group.summary.queued},
                              {"free_tokens", group.summary.freeTokens}});
        return 0;
    });
    const std::uint64_t note =
        this->control->state().read([](const ServingState &state) { return state.note.number; });
    return jsonResponse(200,
                        {{"instance", this->settings.text("instance", "id")},
                         {"failure_domain", this->settings.text("instance", "failure_domain")},
                         {"incarnation", this->incarnation},
                         {"ready", this->control->isReady()},
                         {"release_note", note},
                         {"open_requests", this->completions->openRequests()},
                         {"buffered_bytes", this->completions->bufferedBytes()},
                         {"groups", groups}});
}

} // namespace foxtailtally
