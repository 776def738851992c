#pragma once

#include "core/result.h"
#include "peers/http/http_server.h"
#include "peers/http/json_reader.h"
#include "standins/lib/fault_set.h"
#include "standins/lib/scheduler.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Listening address of a stand-in and the bearer token required from its callers. */
struct ListenOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose a port. */
    std::uint16_t port = 0;
    /** If empty, calls need no token. */
    std::string token;
};

/** One call to a stand-in. Used on the scheduler's thread. */
class StandinCall
{
public:
    StandinCall(std::shared_ptr<HttpExchange> exchange, FaultDecision faults, Scheduler &scheduler);

    const std::string &method() const { return this->exchange->request().method; }
    const std::string &path() const { return this->exchange->request().path; }
    const HttpRequest &request() const { return this->exchange->request(); }
    /** Reader of the JSON body. */
    JsonReader &body();

    /** Rest of the path after @p prefix; empty if the path does not start with it. */
    std::string_view pathAfter(std::string_view prefix) const;

    void respond(int status, const nlohmann::json &body, int retryAfterSeconds = 0);
    /** Responds with {"error": @p name} and the members of @p more. */
    void fail(int status, std::string_view name, nlohmann::json more = nlohmann::json::object());
    /** Responds 204. */
    void respondNoContent();
    /** Aborts the connection without a response. */
    void abort();
    std::shared_ptr<HttpBodyWriter> startStream();
    void setDisconnectHandler(std::function<void()> handler);

private:
    void send(HttpResponse response);

    std::shared_ptr<HttpExchange> exchange;
    FaultDecision faults;
    Scheduler *scheduler;
    std::unique_ptr<JsonReader> reader;
};

/**
 * Base of the HTTP stand-ins: authentication, fault injection, POST /admin/fault, GET /admin/stats
 * and GET /health/ready. All virtual functions are called on the scheduler's thread. A derived
 * class must call shutdown() in its destructor, before its own members are destroyed.
 */
class Standin
{
public:
    virtual ~Standin();
    Standin(const Standin &) = delete;
    Standin &operator=(const Standin &) = delete;

    std::uint16_t port() const { return this->listen.port; }
    /** "ip:port". */
    std::string address() const;

protected:
    Standin(const std::string &name, ListenOptions listen);

    virtual void handle(const std::shared_ptr<StandinCall> &call) = 0;
    /** Applies a fault that FaultSet does not support; false for an unknown kind. */
    virtual bool applyFault(const std::string &kind, JsonReader &parameters) = 0;
    virtual nlohmann::json stats() = 0;
    /** Called after a fault of FaultSet has changed. */
    virtual void onFaultsChanged() { }

    /** Starts to listen; if the system chose the port, later calls use the same port again. */
    std::error_code openServer();
    /** Stops listening and aborts all connections; on the scheduler's thread or after stop(). */
    void closeServer();
    void shutdown();

    Scheduler &scheduler() { return this->tasks; }
    const FaultSet &faults() const { return this->faultSet; }
    const std::string &token() const { return this->listen.token; }

private:
    void dispatch(const std::shared_ptr<HttpExchange> &exchange);
    bool isAuthorized(const HttpRequest &request) const;
    void handleFault(StandinCall &call);

    ListenOptions listen;
    FaultSet faultSet;
    std::vector<std::shared_ptr<StandinCall>> hangingCalls;
    std::unique_ptr<HttpServer> server;
    Scheduler tasks;
};

} // namespace foxtailtally
