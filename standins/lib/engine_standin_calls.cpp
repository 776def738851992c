// HTTP request handlers of EngineStandin.

#include "core/clock.h"
#include "peers/engine/prompt_blocks.h"
#include "standins/lib/engine_standin.h"
#include "standins/lib/token_text.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::string_view kReservations = "/v1/reservations";
constexpr std::string_view kExports = "/v1/kv/exports";
constexpr std::array<std::string_view, 4> kCommands = {"load_model", "load_adapter",
                                                       "unload_adapter", "set_role"};

nlohmann::json holdsJson(const std::vector<EngineHold> &holds, const char *idName, absl::Time now)
{
    nlohmann::json list = nlohmann::json::array();
    for (const EngineHold &hold : holds) {
        list.push_back({{idName, hold.id},
                        {"owner", hold.owner},
                        {"tokens", hold.tokens},
                        {"expires_ms", absl::ToInt64Milliseconds(hold.expires - now)}});
    }
    return list;
}

void respondTo(StandinCall &call, const std::error_code &error)
{
    if (!error) {
        call.respond(200, nlohmann::json::object());
    } else if (error == Error::ServerOverloaded) {
        call.fail(503, "no_memory");
    } else if (error == Error::StoreNotFound) {
        call.fail(404, "not_found");
    } else {
        call.fail(400, "malformed");
    }
}

} // namespace

void EngineStandin::handle(const std::shared_ptr<StandinCall> &call)
{
    this->advance();
    if (!this->model.isAlive()) {
        call->abort();
        return;
    }
    const std::string &path = call->path();
    const bool isPost = call->method() == "POST";
    if (isPost && path == "/v1/completions") {
        this->handleCompletion(call);
    } else if (isPost && path == "/v1/cancel") {
        this->handleCancel(*call);
    } else if (isPost && path == kReservations) {
        this->handleReserve(*call);
    } else if (isPost && path == "/v1/kv/export") {
        this->handleExport(*call);
    } else if (isPost && path == "/v1/kv/import") {
        this->handleImport(*call);
    } else if (isPost && path == "/v1/orders") {
        this->handleCommand(*call);
    } else if (!this->handleList(*call) && !this->handleDelete(*call)) {
        call->fail(404, "not_found");
    }
    this->scheduleNextStep();
}

void EngineStandin::handleCompletion(const std::shared_ptr<StandinCall> &call)
{
    std::optional<Completion> completion = this->parseCompletion(*call);
    if (!completion.has_value()) {
        ++this->counters.rejected;
        return;
    }
    if (completion->reservation.empty()) {
        this->submit(call, *completion);
        return;
    }
    if (!this->hasPlatform()) {
        ++this->counters.rejected;
        call->fail(404, "unknown_reservation");
        return;
    }
    this->outbound.post([this, call, completion = std::move(*completion)]() mutable {
        const std::int64_t tokens = this->group->tokensOnOtherEngines(completion.reservation);
        this->scheduler().post([this, call, tokens, completion = std::move(completion)]() mutable {
            if (tokens == 0) {
                ++this->counters.rejected;
                call->fail(404, "unknown_reservation");
                return;
            }
            completion.request.tokensOnOtherEngines = tokens;
            this->advance();
            this->submit(call, completion);
        });
    });
}

std::optional<EngineStandin::Completion> EngineStandin::parseCompletion(StandinCall &call)
{
    JsonReader &body = call.body();
    Completion completion;
    EngineRequest &request = completion.request;
    const ModelId modelName(body.text("model"));
    const AdapterId adapter(body.optionalText("adapter"));
    const std::string prompt = body.text("prompt");
    const std::int64_t priority =
        body.optionalInteger("priority", static_cast<std::int64_t>(RequestClass::Normal));
    request.id = RequestId(body.text("request_id"));
    request.maxNewTokens = body.integer("max_tokens");
    request.resumeOffset = body.optionalInteger("resume_offset", 0);
    completion.reservation = body.optionalText("reservation_id");
    if (!body.ok() || priority > static_cast<std::int64_t>(RequestClass::Batch)
        || request.maxNewTokens > std::numeric_limits<std::int32_t>::max()) {
        call.fail(400, "malformed");
        return std::nullopt;
    }
    if (!this->models.contains(modelName.str())) {
        call.fail(409, "model_not_loaded");
        return std::nullopt;
    }
    request.priority = static_cast<RequestClass>(priority);
    request.promptTokens = promptTokensOf(prompt);
    request.prefixBlocks =
        prefixBlocksOf(modelName, adapter, prompt, std::numeric_limits<std::size_t>::max());
    request.poisonous = !this->options.poisonMarker.empty()
        && prompt.find(this->options.poisonMarker) != std::string::npos;
    completion.answerKey = answerKeyOf(prompt);
    return completion;
}

void EngineStandin::submit(const std::shared_ptr<StandinCall> &call, const Completion &completion)
{
    const RequestId id = completion.request.id;
    std::vector<EngineAction> actions;
    switch (this->model.submit(completion.request, Clock::now(), actions)) {
    case EngineSubmitResult::Accepted: {
        ++this->counters.submitted;
        const std::shared_ptr<HttpBodyWriter> writer = call->startStream();
        this->streams[id] = {writer, completion.answerKey, completion.reservation};
        call->setDisconnectHandler([this, id, reader = std::weak_ptr<HttpBodyWriter>(writer)] {
            this->scheduler().post([this, id, reader] {
                this->advance();
                // The same request may have been submitted again on another connection.
                const auto stream = this->streams.find(id);
                if (stream == this->streams.end() || stream->second.writer != reader.lock()) {
                    return;
                }
                this->streams.erase(stream);
                this->model.cancel(id, Clock::now());
                ++this->counters.cancelled;
            });
        });
        break;
    }
    case EngineSubmitResult::Overloaded:
        ++this->counters.rejected;
        call->fail(503, "overloaded");
        break;
    case EngineSubmitResult::TooLong:
        ++this->counters.rejected;
        call->fail(400, "too_long");
        break;
    case EngineSubmitResult::Duplicate:
        ++this->counters.rejected;
        call->fail(409, "duplicate_request");
        break;
    case EngineSubmitResult::Dead:
        call->abort();
        break;
    }
    this->apply(actions);
}

void EngineStandin::handleCancel(StandinCall &call)
{
    const RequestId id(call.body().text("request_id"));
    if (!call.body().ok()) {
        call.fail(400, "malformed");
        return;
    }
    if (this->model.cancel(id, Clock::now())) {
        ++this->counters.cancelled;
    }
    const auto stream = this->streams.find(id);
    if (stream != this->streams.end()) {
        stream->second.writer->abort();
        this->streams.erase(stream);
    }
    call.respond(200, nlohmann::json::object());
}

void EngineStandin::handleReserve(StandinCall &call)
{
    JsonReader &body = call.body();
    const absl::Time now = Clock::now();
    const EngineHold hold {body.text("reservation_id"), body.text("owner"), body.integer("tokens"),
                           now + absl::Milliseconds(body.integer("expires_ms"))};
    respondTo(call,
              body.ok() ? this->model.reserve(hold, now)
                        : make_error_code(Error::RequestMalformed));
    this->apply({});
}

void EngineStandin::handleExport(StandinCall &call)
{
    JsonReader &body = call.body();
    const absl::Time now = Clock::now();
    const RequestId request(body.text("request_id"));
    const std::string owner = body.text("owner");
    const absl::Time expires = now + absl::Milliseconds(body.integer("expires_ms"));
    if (!body.ok()) {
        call.fail(400, "malformed");
        return;
    }
    const Result<EngineHold> hold = this->model.exportContext(request, owner, expires, now);
    if (!hold.ok()) {
        respondTo(call, hold.error());
        return;
    }
    call.respond(200, {{"export_id", hold->id}, {"tokens", hold->tokens}});
}

void EngineStandin::handleImport(StandinCall &call)
{
    JsonReader &body = call.body();
    const absl::Time now = Clock::now();
    (void)body.text("export_id");
    const EngineHold hold {body.text("request_id"), body.text("owner"), body.integer("tokens"),
                           now + absl::Milliseconds(body.integer("expires_ms"))};
    respondTo(call,
              body.ok() ? this->model.importContext(hold, now)
                        : make_error_code(Error::RequestMalformed));
}

void EngineStandin::handleCommand(StandinCall &call)
{
    JsonReader &body = call.body();
    const FencedCommand command {body.unsignedInteger("fence"), body.text("order"),
                                 body.text("name"), body.optionalText("version")};
    if (!body.ok()
        || std::find(kCommands.begin(), kCommands.end(), command.kind) == kCommands.end()) {
        call.fail(400, "malformed");
        return;
    }
    if (this->model.applyCommand(command, Clock::now()) == Error::FenceRejected) {
        call.fail(409, "stale_fence", {{"current", this->model.fence()}});
        return;
    }
    if (command.kind == "load_model") {
        this->models.insert(command.name);
    }
    call.respond(200, nlohmann::json::object());
}

void EngineStandin::handleLoad(StandinCall &call)
{
    const LoadReport report = this->model.load(Clock::now());
    // Rounded up, since readers rely on the report being no older than the stated age.
    const std::int64_t ageMs =
        absl::ToInt64Milliseconds(absl::Ceil(report.age, absl::Milliseconds(1)));
    call.respond(200,
                 {{"server", report.server.str()},
                  {"incarnation", report.incarnation},
                  {"sequence", report.sequence},
                  {"age_ms", ageMs},
                  {"running", report.running},
                  {"queued", report.queued},
                  {"held_tokens", report.heldTokens},
                  {"cached_blocks", report.cachedBlocks},
                  {"warm", report.warm}});
}

void EngineStandin::handleEvents(StandinCall &call)
{
    std::uint64_t after = 0;
    (void)absl::SimpleAtoi(std::string(call.request().argument("after")), &after);
    const EngineEvents page = this->model.events(after, Clock::now());
    nlohmann::json events = nlohmann::json::array();
    for (const CacheEvent &event : page.events) {
        events.push_back({{"sequence", event.sequence},
                          {"kind", event.isStored ? "stored" : "evicted"},
                          {"block", event.block}});
    }
    call.respond(200, {{"first", page.first}, {"last", page.last}, {"events", events}});
}

bool EngineStandin::handleList(StandinCall &call)
{
    if (call.method() != "GET") {
        return false;
    }
    const absl::Time now = Clock::now();
    if (call.path() == "/v1/load") {
        this->handleLoad(call);
    } else if (call.path() == "/v1/events") {
        this->handleEvents(call);
    } else if (call.path() == kReservations) {
        call.respond(
            200,
            {{"reservations", holdsJson(this->model.reservations(now), "reservation_id", now)}});
    } else if (call.path() == kExports) {
        call.respond(200, {{"exports", holdsJson(this->model.exports(now), "export_id", now)}});
    } else {
        return false;
    }
    return true;
}

bool EngineStandin::handleDelete(StandinCall &call)
{
    if (call.method() != "DELETE") {
        return false;
    }
    const std::string reservation(call.pathAfter("/v1/reservations/"));
    const std::string exported(call.pathAfter("/v1/kv/exports/"));
    const bool isKnown = reservation.empty()
        ? this->model.freeExport(exported, Clock::now())
        : this->model.freeReservation(reservation, Clock::now());
    respondTo(call, isKnown ? std::error_code() : make_error_code(Error::StoreNotFound));
    return true;
}

} // namespace foxtailtally
