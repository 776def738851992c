#include "standins/lib/engine_standin.h"

#include "core/clock.h"
#include "core/log.h"
#include "standins/lib/token_text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kRegisterRetryInterval = absl::Milliseconds(500);
constexpr absl::Duration kReservationPollInterval = absl::Seconds(1);
constexpr std::size_t kMaxDeathLogEntries = 100;

const char *causeName(EngineDeathCause cause)
{
    switch (cause) {
    case EngineDeathCause::ColdOverload:
        return "cold_overload";
    case EngineDeathCause::MemoryExceeded:
        return "memory_exceeded";
    case EngineDeathCause::PoisonousPrompt:
        return "poisonous_prompt";
    case EngineDeathCause::Killed:
        return "killed";
    }
    return "";
}

} // namespace

EngineStandin::EngineStandin(EngineStandinOptions given)
    : Standin("engine", given.listen)
    , options(std::move(given))
    , http(std::make_shared<HttpClient>(1))
    // Wall time in milliseconds, so that the incarnation increases over restarts of the process.
    , model(BackendServerId(this->options.entry.id),
            static_cast<Incarnation>(absl::ToUnixMillis(Clock::wallNow())), this->options.engine,
            Clock::now())
    , outbound("engine-out")
{
    this->models.insert(this->options.entry.model.str());
    this->options.entry.kind = InstanceKind::Engine;
    this->options.entry.memoryTokens = this->options.engine.memoryTokens;
    this->options.entry.coldLimit = this->options.engine.coldLimit;
    this->options.entry.warmLimit = this->options.engine.warmLimit;
    this->options.entry.checksFence = this->options.engine.checksFence;
    if (this->hasPlatform()) {
        this->platform.emplace(this->http, this->options.platform);
        this->group.emplace(this->http, this->options.platform, this->options.entry);
    }
}

Result<std::unique_ptr<EngineStandin>> EngineStandin::start(EngineStandinOptions options)
{
    std::unique_ptr<EngineStandin> engine(new EngineStandin(std::move(options)));
    if (const std::error_code error = engine->openServer()) {
        return error;
    }
    engine->options.entry.address = engine->address();
    engine->registerAtPlatform();
    engine->scheduler().post([self = engine.get()] { self->pollReservations(); });
    return engine;
}

EngineStandin::~EngineStandin()
{
    this->outbound.stop();
    this->shutdown();
}

void EngineStandin::registerAtPlatform()
{
    if (!this->hasPlatform()) {
        return;
    }
    InstanceEntry entry = this->options.entry;
    entry.incarnation = this->model.incarnation();
    this->outbound.post([this, entry] {
        std::error_code error = this->platform->fetchWeights(entry.model);
        if (!error) {
            error = this->platform->registerInstance(entry);
        }
        if (error) {
            logEvent(LogLevel::Warning, "register_failed", {{"error", errorName(error)}});
            this->scheduler().postAt(Clock::now() + kRegisterRetryInterval,
                                     [this] { this->registerAtPlatform(); });
        }
    });
}

void EngineStandin::advance()
{
    std::vector<EngineAction> actions;
    this->model.advance(Clock::now(), actions);
    this->apply(actions);
}

void EngineStandin::apply(const std::vector<EngineAction> &actions)
{
    // Held memory peaks just before requests finish, and actions are applied at that time.
    this->counters.maxHeldTokens = std::max(this->counters.maxHeldTokens, this->model.heldTokens());
    for (const EngineAction &action : actions) {
        if (const auto *token = std::get_if<TokenProduced>(&action)) {
            const auto stream = this->streams.find(token->request);
            if (stream == this->streams.end()) {
                continue;
            }
            ++this->counters.tokens;
            const std::string text = tokenText(stream->second.answerKey, token->offset);
            const bool isRead = stream->second.writer->write(
                absl::StrCat("data: {\"offset\":", token->offset, ",\"text\":\"", text, "\"}\n\n"));
            if (!isRead) {
                this->model.cancel(token->request, Clock::now());
                ++this->counters.cancelled;
                this->streams.erase(stream);
            }
        } else if (const auto *finished = std::get_if<RequestFinished>(&action)) {
            const auto stream = this->streams.find(finished->request);
            if (stream == this->streams.end()) {
                continue;
            }
            ++this->counters.finished;
            stream->second.writer->write(
                absl::StrCat("data: {\"done\":true,\"offset\":", finished->offset,
                             ",\"cached_tokens\":", finished->cachedTokens, "}\n\n"));
            stream->second.writer->close();
            this->streams.erase(stream);
        } else if (const auto *aborted = std::get_if<RequestAborted>(&action)) {
            const auto stream = this->streams.find(aborted->request);
            if (stream != this->streams.end()) {
                ++this->counters.aborted;
                stream->second.writer->abort();
                this->streams.erase(stream);
            }
        } else if (const auto *death = std::get_if<EngineDied>(&action)) {
            this->onDeath(*death);
        }
    }
    this->scheduleNextStep();
}

void EngineStandin::scheduleNextStep()
{
    const absl::Time next = this->model.nextEventAt();
    if (next == this->nextStepAt || next == absl::InfiniteFuture()) {
        this->nextStepAt = next;
        return;
    }
    this->nextStepAt = next;
    this->scheduler().postAt(next, [this, next] {
        // Otherwise the end of the step has changed, and another task is scheduled for the new
        // time.
        if (next == this->nextStepAt) {
            this->nextStepAt = absl::InfiniteFuture();
            this->advance();
        }
    });
}

void EngineStandin::onDeath(const EngineDied &death)
{
    const char *cause = causeName(death.cause);
    ++this->deaths[cause];
    nlohmann::json requests = nlohmann::json::array();
    for (const RequestId &request : death.requests) {
        requests.push_back(request.str());
    }
    this->deathLog.push_back({{"cause", cause},
                              {"since_cold_ms", absl::ToInt64Milliseconds(death.sinceCold)},
                              {"requests", requests}});
    if (this->deathLog.size() > kMaxDeathLogEntries) {
        this->deathLog.pop_front();
    }
    logEvent(LogLevel::Warning, "engine_died", this->deathLog.back());
    for (const auto &[request, stream] : this->streams) {
        stream.writer->abort();
    }
    this->streams.clear();
    // Closed in a separate task, so that the call that caused the crash is aborted first.
    this->scheduler().post([this] { this->closeServer(); });
    if (this->options.restartAfter < absl::InfiniteDuration()) {
        this->scheduler().postAt(Clock::now() + this->options.restartAfter,
                                 [this] { this->restart(); });
    }
}

void EngineStandin::restart()
{
    if (this->model.isAlive()) {
        return;
    }
    if (this->openServer()) {
        this->scheduler().postAt(Clock::now() + kRegisterRetryInterval,
                                 [this] { this->restart(); });
        return;
    }
    this->model.restart(Clock::now());
    this->registerAtPlatform();
}

void EngineStandin::pollReservations()
{
    for (const auto &[request, stream] : this->streams) {
        if (stream.reservation.empty()) {
            continue;
        }
        this->outbound.post([this, request = request, reservation = stream.reservation] {
            const std::int64_t tokens = this->group->tokensOnOtherEngines(reservation);
            this->scheduler().post([this, request, tokens] {
                this->advance();
                std::vector<EngineAction> actions;
                this->model.setTokensOnOtherEngines(request, tokens, Clock::now(), actions);
                this->apply(actions);
            });
        });
    }
    this->scheduler().postAt(Clock::now() + kReservationPollInterval,
                             [this] { this->pollReservations(); });
}

bool EngineStandin::applyFault(const std::string &kind, JsonReader & /*parameters*/)
{
    this->advance();
    const absl::Time now = Clock::now();
    if (kind == "turn_cold") {
        this->model.turnCold(now);
        return true;
    }
    if (kind == "kill") {
        std::vector<EngineAction> actions;
        this->model.kill(now, actions);
        this->apply(actions);
        return true;
    }
    return false;
}

nlohmann::json EngineStandin::stats()
{
    this->advance();
    return {
        {"submitted", this->counters.submitted},
        {"finished", this->counters.finished},
        {"cancelled", this->counters.cancelled},
        {"aborted", this->counters.aborted},
        {"rejected", this->counters.rejected},
        {"tokens", this->counters.tokens},
        {"max_held_tokens", this->counters.maxHeldTokens},
        {"held_tokens", this->model.heldTokens()},
        {"running", this->model.running()},
        {"queued", this->model.queued()},
        {"warm", this->model.isWarm()},
        {"incarnation", this->model.incarnation()},
        {"fence", this->model.fence()},
        {"deaths", this->deaths},
        {"death_log", this->deathLog},
    };
}

} // namespace foxtailtally
