#include "standins/lib/standin.h"

#include <absl/strings/str_cat.h>
#include <sodium.h>
#include <utility>

namespace foxtailtally {

Standin::Standin(const std::string &name, ListenOptions listen)
    : listen(std::move(listen))
    , tasks(name)
{ }

Standin::~Standin()
{
    this->shutdown();
}

std::string Standin::address() const
{
    return absl::StrCat(this->listen.address, ":", this->listen.port);
}

std::error_code Standin::openServer()
{
    HttpServerOptions options;
    options.address = this->listen.address;
    options.port = this->listen.port;
    options.maxBodyBytes = std::size_t {16} << 20;
    options.maxBufferedBytes = std::size_t {512} << 20;
    auto started =
        HttpServer::start(options, [this](const std::shared_ptr<HttpExchange> &exchange) {
            this->tasks.post([this, exchange] { this->dispatch(exchange); });
        });
    if (!started.ok()) {
        return started.error();
    }
    this->server = std::move(*started);
    if (this->listen.port == 0) {
        this->listen.port = this->server->port();
    }
    return {};
}

void Standin::closeServer()
{
    for (const auto &call : std::exchange(this->hangingCalls, {})) {
        call->abort();
    }
    this->server.reset();
}

void Standin::shutdown()
{
    this->tasks.stop();
    this->closeServer();
}

bool Standin::isAuthorized(const HttpRequest &request) const
{
    if (this->listen.token.empty()) {
        return true;
    }
    const std::string expected = absl::StrCat("Bearer ", this->listen.token);
    const std::string_view given = request.header("authorization");
    return given.size() == expected.size()
        && sodium_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void Standin::dispatch(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const bool isAdmin = request.path.starts_with("/admin/");
    const bool isHealth = request.path == "/health/ready";
    const FaultDecision decision =
        isAdmin ? FaultDecision() : this->faultSet.decide(request.method, request.path);
    const auto call = std::make_shared<StandinCall>(exchange, decision, this->tasks);
    if (decision.drop) {
        call->abort();
    } else if (decision.hang) {
        this->hangingCalls.push_back(call);
    } else if (isHealth) {
        call->respond(200, nlohmann::json::object());
    } else if (!this->isAuthorized(request)) {
        call->fail(401, "unauthorized");
    } else if (decision.outage) {
        call->fail(503, "unavailable");
    } else if (request.path == "/admin/fault" && request.method == "POST") {
        this->handleFault(*call);
    } else if (request.path == "/admin/stats" && request.method == "GET") {
        call->respond(200, this->stats());
    } else {
        this->handle(call);
    }
}

void Standin::handleFault(StandinCall &call)
{
    JsonReader &parameters = call.body();
    const std::string kind = parameters.text("kind");
    if (!parameters.ok()) {
        call.fail(400, "malformed");
        return;
    }
    if (this->faultSet.apply(kind, parameters)) {
        if (!this->faultSet.isActive("hang")) {
            for (const auto &waiting : std::exchange(this->hangingCalls, {})) {
                waiting->abort();
            }
        }
        this->onFaultsChanged();
        call.respond(200, nlohmann::json::object());
        return;
    }
    if (!parameters.ok() || !this->applyFault(kind, parameters)) {
        call.fail(400, "unknown_fault");
        return;
    }
    call.respond(200, nlohmann::json::object());
}

} // namespace foxtailtally
