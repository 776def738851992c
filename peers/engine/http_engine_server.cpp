#include "peers/engine/http_engine_server.h"

#include "core/clock.h"
#include "peers/engine/completion_stream.h"
#include "peers/engine/engine_errors.h"
#include "peers/http/json_reader.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

/** Time-out of all calls except completions; engines answer them without waiting for a step. */
constexpr absl::Duration kControlTimeout = absl::Seconds(2);

const char *commandName(EngineCommand::Kind kind)
{
    switch (kind) {
    case EngineCommand::Kind::LoadModel:
        return "load_model";
    case EngineCommand::Kind::LoadAdapter:
        return "load_adapter";
    case EngineCommand::Kind::UnloadAdapter:
        return "unload_adapter";
    case EngineCommand::Kind::SetRole:
        return "set_role";
    }
    return "";
}

} // namespace

HttpEngineServer::HttpEngineServer(std::shared_ptr<HttpClient> http, std::string address,
                                   std::string token)
    : http(std::move(http))
    , address(std::move(address))
    , token(std::move(token))
{ }

HttpCall HttpEngineServer::makeCall(std::string method, const std::string &path) const
{
    HttpCall call;
    call.method = std::move(method);
    call.url = absl::StrCat("http://", this->address, path);
    call.headers = {absl::StrCat("Authorization: Bearer ", this->token)};
    call.timeout = kControlTimeout;
    return call;
}

Result<HttpReply> HttpEngineServer::perform(const HttpCall &call) const
{
    Result<HttpReply> reply = this->http->perform(call);
    if (!reply.ok()) {
        return reply;
    }
    if (const std::error_code error = engineError(reply->status, reply->body)) {
        return error;
    }
    return reply;
}

std::error_code HttpEngineServer::post(const std::string &path, const nlohmann::json &body) const
{
    HttpCall call = this->makeCall("POST", path);
    call.body = body.dump();
    return this->perform(call).error();
}

std::error_code HttpEngineServer::remove(const std::string &path) const
{
    const std::error_code error = this->perform(this->makeCall("DELETE", path)).error();
    // An unknown reservation or export holds no memory, so there is nothing to free.
    return error == Error::StoreNotFound ? std::error_code() : error;
}

CompletionId HttpEngineServer::startCompletion(const CompletionRequest &request,
                                               std::shared_ptr<CompletionListener> listener)
{
    HttpCall call = this->makeCall("POST", "/v1/completions");
    call.timeout = request.timeout;
    call.body =
        nlohmann::json {
            {"request_id", request.id.str()},
            {"model", request.model.str()},
            {"adapter", request.adapter.str()},
            {"prompt", request.prompt},
            {"max_tokens", request.maxTokens},
            {"priority", static_cast<int>(request.priority)},
            {"resume_offset", request.resumeOffset},
            {"reservation_id", request.reservation},
        }
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return this->http->start(
        call, std::make_shared<CompletionStream>(request.resumeOffset, std::move(listener)));
}

void HttpEngineServer::cancel(CompletionId completion)
{
    this->http->cancel(completion);
}

void HttpEngineServer::pause(CompletionId completion)
{
    this->http->pause(completion);
}

void HttpEngineServer::resume(CompletionId completion)
{
    this->http->resume(completion);
}

std::error_code HttpEngineServer::cancelRequest(const RequestId &request)
{
    return this->post("/v1/cancel", {{"request_id", request.str()}});
}

Result<LoadReport> HttpEngineServer::load()
{
    const absl::Time start = Clock::now();
    const Result<HttpReply> reply = this->perform(this->makeCall("GET", "/v1/load"));
    if (!reply.ok()) {
        return reply.error();
    }
    JsonReader reader(reply->body);
    LoadReport report;
    report.server = BackendServerId(reader.text("server"));
    report.incarnation = reader.unsignedInteger("incarnation");
    report.sequence = reader.unsignedInteger("sequence");
    // The engine may have created the response at any time since the call began.
    report.age = absl::Milliseconds(reader.integer("age_ms")) + (Clock::now() - start);
    report.running = reader.integer("running");
    report.queued = reader.integer("queued");
    report.heldTokens = reader.integer("held_tokens");
    report.cachedBlocks = reader.integer("cached_blocks");
    report.warm = reader.flag("warm");
    if (!reader.ok()) {
        return Error::ProtocolViolation;
    }
    return report;
}

Result<EngineCachePage> HttpEngineServer::cacheEvents(std::uint64_t after)
{
    const Result<HttpReply> reply =
        this->perform(this->makeCall("GET", absl::StrCat("/v1/events?after=", after)));
    if (!reply.ok()) {
        return reply.error();
    }
    JsonReader reader(reply->body);
    EngineCachePage page;
    page.first = reader.unsignedInteger("first");
    page.last = reader.unsignedInteger("last");
    for (nlohmann::json &element : reader.array("events")) {
        JsonReader event = JsonReader::fromValue(std::move(element));
        const std::uint64_t sequence = event.unsignedInteger("sequence");
        const std::string kind = event.text("kind");
        const std::uint64_t block = event.unsignedInteger("block");
        if (!event.ok() || (kind != "stored" && kind != "evicted")) {
            return Error::ProtocolViolation;
        }
        page.events.push_back({sequence, kind == "stored", block});
    }
    if (!reader.ok()) {
        return Error::ProtocolViolation;
    }
    return page;
}

std::error_code HttpEngineServer::reserve(const EngineMemoryHold &hold)
{
    return this->post("/v1/reservations",
                      {{"reservation_id", hold.id},
                       {"owner", hold.owner.str()},
                       {"tokens", hold.tokens},
                       {"expires_ms", absl::ToInt64Milliseconds(hold.expiresIn)}});
}

std::error_code HttpEngineServer::freeReservation(const std::string &id)
{
    return this->remove(absl::StrCat("/v1/reservations/", urlEncode(id)));
}

Result<std::vector<EngineMemoryHold>> HttpEngineServer::reservations()
{
    return this->holds("/v1/reservations", "reservations", "reservation_id");
}

Result<EngineMemoryHold> HttpEngineServer::exportContext(const RequestId &request,
                                                         const InstanceId &owner,
                                                         absl::Duration expiresIn)
{
    HttpCall call = this->makeCall("POST", "/v1/kv/export");
    call.body =
        nlohmann::json {
            {"request_id", request.str()},
            {"owner", owner.str()},
            {"expires_ms", absl::ToInt64Milliseconds(expiresIn)},
        }
            .dump();
    const Result<HttpReply> reply = this->perform(call);
    if (!reply.ok()) {
        return reply.error();
    }
    JsonReader reader(reply->body);
    EngineMemoryHold hold {reader.text("export_id"), owner, reader.integer("tokens"), expiresIn};
    if (!reader.ok()) {
        return Error::ProtocolViolation;
    }
    return hold;
}

std::error_code HttpEngineServer::importContext(const EngineMemoryHold &exported,
                                                const RequestId &request)
{
    return this->post("/v1/kv/import",
                      {{"export_id", exported.id},
                       {"tokens", exported.tokens},
                       {"request_id", request.str()},
                       {"owner", exported.owner.str()},
                       {"expires_ms", absl::ToInt64Milliseconds(exported.expiresIn)}});
}

std::error_code HttpEngineServer::freeExport(const std::string &id)
{
    return this->remove(absl::StrCat("/v1/kv/exports/", urlEncode(id)));
}

Result<std::vector<EngineMemoryHold>> HttpEngineServer::exports()
{
    return this->holds("/v1/kv/exports", "exports", "export_id");
}

Result<std::vector<EngineMemoryHold>>
HttpEngineServer::holds(const std::string &path, const char *list, const char *id) const
{
    const Result<HttpReply> reply = this->perform(this->makeCall("GET", path));
    if (!reply.ok()) {
        return reply.error();
    }
    JsonReader reader(reply->body);
    std::vector<EngineMemoryHold> found;
    for (nlohmann::json &element : reader.array(list)) {
        JsonReader hold = JsonReader::fromValue(std::move(element));
        found.push_back({hold.text(id), InstanceId(hold.text("owner")), hold.integer("tokens"),
                         absl::Milliseconds(hold.integer("expires_ms"))});
        if (!hold.ok()) {
            return Error::ProtocolViolation;
        }
    }
    if (!reader.ok()) {
        return Error::ProtocolViolation;
    }
    return found;
}

EngineCommandReply HttpEngineServer::command(const EngineCommand &command)
{
    HttpCall call = this->makeCall("POST", "/v1/orders");
    call.body =
        nlohmann::json {
            {"fence", command.fence},
            {"order", commandName(command.kind)},
            {"name", command.name},
            {"version", command.version},
        }
            .dump();
    const Result<HttpReply> reply = this->http->perform(call);
    if (!reply.ok()) {
        return {reply.error(), 0};
    }
    EngineCommandReply result {engineError(reply->status, reply->body), 0};
    if (result.error == Error::FenceRejected) {
        JsonReader reader(reply->body);
        result.currentFence = reader.unsignedInteger("current");
        if (!reader.ok()) {
            result.error = Error::ProtocolViolation;
        }
    }
    return result;
}

} // namespace foxtailtally
