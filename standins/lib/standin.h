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

/** Where a stand-in listens, and the token that all its callers must send. */
struct ListenOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose. */
    std::uint16_t port = 0;
    /** Empty accepts every caller. */
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
    /** Members of the JSON body. */
    JsonReader &body();

    /** Rest of the path after @p prefix when the call is for it, otherwise empty. */
    std::string_view pathAfter(std::string_view prefix) const;

    void respond(int status, const nlohmann::json &body, int retryAfterSeconds = 0);
    /** Answers {"error": @p name} with the members of @p more. */
    void fail(int status, std::string_view name, nlohmann::json more = nlohmann::json::object());
    /** Answers 204. */
    void respondNoContent();
    /** Cuts the connection. */
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
 * Base of the HTTP stand-ins: authentication, faults, POST /admin/fault, GET /admin/stats and GET
 * /health/ready. All virtual functions are called on one thread. A derived class calls shutdown()
 * in its destructor, before its own state goes.
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
    /** Applies a fault kind that FaultSet does not know; false when it is unknown. */
    virtual bool applyFault(const std::string &kind, JsonReader &parameters) = 0;
    virtual nlohmann::json stats() = 0;
    /** Called after a fault of FaultSet has changed. */
    virtual void onFaultsChanged() { }

    /** Starts to listen, on the first call on the port of the options, later on the same port. */
    std::error_code openServer();
    /** Closes the port and cuts all connections; call on the scheduler's thread or after stop(). */
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
