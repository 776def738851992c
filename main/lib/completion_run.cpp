#include "main/lib/completion_run.h"

#include "core/clock.h"
#include "core/hash.h"
#include "core/log.h"
#include "servers/admission/long_context_planner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

/** Passes the events of one engine attempt to the run's loop. */
class CompletionRun::Listener final : public CompletionListener
{
public:
    Listener(std::shared_ptr<CompletionRun> run, std::uint64_t attempt)
        : run(std::move(run))
        , attempt(attempt)
    { }

    void onToken(std::int64_t offset, std::string_view text) override
    {
        this->run->postEvent([bufferBytes = this->run->service.bufferBytes(),
                              attempt = this->attempt, offset,
                              text = std::string(text)](RequestSession &session, absl::Time now) {
            session.setBufferBytes(bufferBytes);
            return session.onEngineToken(attempt, offset, text, now);
        });
    }

    void onDone(const CompletionEnd &end) override
    {
        // Every refusal without execution is reported as the same error, whichever response the
        // engine sent.
        const std::error_code error =
            end.isNotRun ? make_error_code(Error::ServerOverloaded) : end.error;
        this->run->postEvent(
            [attempt = this->attempt, error](RequestSession &session, absl::Time now) {
                return session.onEngineDone(attempt, error, now);
            });
    }

private:
    std::shared_ptr<CompletionRun> run;
    std::uint64_t attempt;
};

CompletionRun::CompletionRun(CompletionService &service, EventLoop &loop,
                             std::shared_ptr<HttpExchange> exchange, CompletionCall call,
                             RequestProfile profile, std::vector<FailureDomainId> domains)
    : service(service)
    , loop(loop)
    , exchange(std::move(exchange))
    , call(std::move(call))
    , domains(std::move(domains))
    , session(std::move(profile), service.context.session)
{ }

template <typename Event>
void CompletionRun::postEvent(Event &&event)
{
    this->loop.post([self = shared_from_this(), event = std::forward<Event>(event)] {
        self->apply(event(self->session, Clock::now()));
    });
}

void CompletionRun::start(absl::Time now)
{
    this->startedAt = now;
    const std::weak_ptr<CompletionRun> weak = weak_from_this();
    this->exchange->setDisconnectHandler([weak] {
        if (const std::shared_ptr<CompletionRun> self = weak.lock())
            self->postEvent(
                [](RequestSession &session, absl::Time at) { return session.onCallerGone(at); });
    });
    this->exchange->setDrainHandler([weak] {
        const std::shared_ptr<CompletionRun> self = weak.lock();
        if (self == nullptr)
            return;
        self->loop.post([self] {
            if (self->isDone || self->writer == nullptr)
                return;
            self->updateBuffered();
            self->apply(self->session.onSendProgress(self->accountedBytes, Clock::now()));
        });
    });
    this->apply(this->session.start(this->rankGroups(now), now));
}

std::vector<GroupId> CompletionRun::rankGroups(absl::Time now) const
{
    const RequestProfile &profile = this->session.profile();
    const auto isAllowed = [this](const RoutingGroup &group) {
        return std::find(this->domains.begin(), this->domains.end(), group.summary.domain)
            != this->domains.end();
    };
    return this->service.context.view->read([&](const RoutingView &view) {
        Random random(stableHash(profile.id.str()));
        std::vector<GroupId> groups;
        for (const GroupId &id : this->service.context.policy->rank(view, profile, now, random)) {
            const RoutingGroup *group = view.find(id);
            if (group != nullptr && isAllowed(*group))
                groups.push_back(id);
        }
        if (!groups.empty())
            return groups;
        // The policy ranks only a few groups, which may all be in domains that the customer may not
        // use.
        for (const RoutingGroup &group : view.groups()) {
            if (group.mayTakeRequests() && group.summary.model == profile.model && isAllowed(group))
                groups.push_back(group.summary.group);
        }
        return groups;
    });
}

void CompletionRun::onTick(absl::Time now)
{
    if (!this->isDone)
        this->apply(this->session.onTick(now));
}

void CompletionRun::apply(const SessionActions &actions)
{
    for (const SessionAction &action : actions)
        std::visit([this](const auto &typed) { this->on(typed); }, action);
}

void CompletionRun::on(const SendReserve &action)
{
    this->service.context.reservations->reserve(
        action.group, action.profile,
        [self = shared_from_this(), id = action.reservation,
         group = action.group](const Result<ReserveReply> &reply) {
            self->postEvent([id, group, reply](RequestSession &running, absl::Time now) {
                if (!reply.ok())
                    return running.onReserveFailed(id, now);
                ReserveReply named = *reply;
                named.group = group;
                return running.onReserveReply(id, named, now);
            });
        });
}

void CompletionRun::on(const CancelReserve &action)
{
    this->service.context.reservations->cancelReserve(action.group, this->session.profile().id);
}

void CompletionRun::on(const StartEngine &action)
{
    Engine &engine = this->engines[action.attempt];
    engine.server = this->service.context.engines->at(action.addresses.front());
    if (action.addresses.size() == 1)
        return this->startCompletion(action);
    const RequestProfile &profile = this->session.profile();
    const std::size_t servers = action.addresses.size();
    engine.hold = std::make_shared<LongContextHold>(
        this->service.holds, *this->service.context.engines, this->attemptName(action.attempt),
        this->service.context.self,
        std::vector<std::string>(action.addresses.begin() + 1, action.addresses.end()),
        contextPart(profile.memoryTokens(), servers));
    engine.hold->reserve([self = shared_from_this(), action](std::error_code error) {
        self->loop.post([self, action, error] {
            if (!error)
                return self->startCompletion(action);
            // The reservation failed before anything was sent to the engine that would run the
            // request.
            self->apply(
                self->session.onEngineDone(action.attempt, Error::ServerOverloaded, Clock::now()));
        });
    });
}

void CompletionRun::startCompletion(const StartEngine &action)
{
    Engine &engine = this->engines[action.attempt];
    if (engine.isCancelled)
        return;
    const RequestProfile &profile = this->session.profile();
    CompletionRequest request;
    request.id = RequestId(this->attemptName(action.attempt));
    request.model = profile.model;
    request.adapter = profile.adapter;
    request.prompt = this->call.prompt;
    request.maxTokens = profile.maxNewTokens;
    request.priority = profile.requestClass;
    request.resumeOffset = action.resumeOffset;
    request.timeout = profile.deadline - Clock::now();
    if (engine.hold != nullptr)
        request.reservation = engine.hold->id();
    engine.completion = engine.server->startCompletion(
        request, std::make_shared<Listener>(shared_from_this(), action.attempt));
    engine.isStarted = true;
}

std::string CompletionRun::attemptName(std::uint64_t attempt) const
{
    // Each attempt has its own name, because an engine may still hold the previous attempt.
    return this->session.profile().id.str() + "." + std::to_string(attempt);
}

void CompletionRun::on(const CancelEngine &action)
{
    Engine &engine = this->engines[action.attempt];
    engine.isCancelled = true;
    if (engine.isStarted)
        engine.server->cancel(engine.completion);
}

void CompletionRun::on(const PauseEngine &action)
{
    const Engine &engine = this->engines[action.attempt];
    if (engine.isStarted)
        engine.server->pause(engine.completion);
}

void CompletionRun::on(const ResumeEngine &action)
{
    const Engine &engine = this->engines[action.attempt];
    if (engine.isStarted)
        engine.server->resume(engine.completion);
}

void CompletionRun::on(const ReleasePermit &action)
{
    for (auto &[attempt, engine] : this->engines) {
        if (engine.hold != nullptr)
            std::exchange(engine.hold, nullptr)->release();
    }
    this->service.context.reservations->release(action.group, action.release);
}

void CompletionRun::on(const ReportSuspect &action)
{
    this->service.context.reservations->reportSuspect(action, this->session.profile().fingerprint);
}

void CompletionRun::on(const SendToken &action)
{
    if (this->firstTokenAt == absl::InfiniteFuture()) {
        this->firstTokenAt = Clock::now();
        this->service.context.metrics
            ->distribution("foxtailtally_time_to_first_token_seconds",
                           {{"class", requestClassName(this->call.requestClass)}})
            .observe(this->firstTokenAt - this->startedAt);
    }
    if (!this->call.isStreamed) {
        this->fullText += action.text;
        return;
    }
    this->startStream();
    this->writer->write(
        tokenEvent(this->session.profile().id, this->call.model, action.offset, action.text));
    this->updateBuffered();
}

void CompletionRun::on(const FinishAnswer &action)
{
    const RequestProfile &profile = this->session.profile();
    if (this->call.isStreamed) {
        this->startStream();
        this->writer->write(finishEvents(profile.id, this->call.model, action.tokens));
        this->writer->close();
    } else {
        this->exchange->respond(completionResponse(profile.id, this->call.model, this->fullText,
                                                   profile.promptTokens, action.tokens));
    }
    this->finish(Clock::now() <= profile.deadline ? "ok" : "late", RefusalReason::None);
}

void CompletionRun::on(const RefuseRequest &action)
{
    const RequestProfile &profile = this->session.profile();
    if (action.refusal.notRun)
        this->service.context.limits->refund(profile.customer, profile.memoryTokens(),
                                             Clock::now());
    this->exchange->respond(refusalResponse(action.refusal));
    this->finish(action.refusal.notRun ? "refused" : "failed", action.refusal.reason);
}

void CompletionRun::on(const FailAnswer &action)
{
    if (this->writer != nullptr) {
        this->writer->write(failureEvent(action.reason));
        this->writer->close();
    } else {
        this->exchange->respond(refusalResponse({action.reason, false, absl::Seconds(1)}));
    }
    this->finish("failed", action.reason);
}

void CompletionRun::startStream()
{
    if (this->writer == nullptr)
        this->writer = this->exchange->startStream(streamHead());
}

void CompletionRun::updateBuffered()
{
    const std::size_t pending = this->writer->pending();
    this->service.buffered.fetch_add(pending - this->accountedBytes);
    this->accountedBytes = pending;
}

void CompletionRun::finish(std::string_view outcome, RefusalReason reason)
{
    this->isDone = true;
    this->service.buffered.fetch_sub(this->accountedBytes);
    this->accountedBytes = 0;
    this->service.open.fetch_sub(1);
    // Engine events that arrive later find the session finished, so the prompt can be freed.
    this->call.prompt = std::string();
    const RequestProfile &profile = this->session.profile();
    const std::string_view className = requestClassName(profile.requestClass);
    this->service.context.metrics
        ->counter("foxtailtally_requests_total",
                  {{"customer", profile.customer.str()},
                   {"class", className},
                   {"domain", this->service.context.domain.str()},
                   {"outcome", outcome}})
        .add();
    if (reason != RefusalReason::None)
        this->service.context.metrics
            ->counter("foxtailtally_refusals_total", {{"reason", refusalName(reason)}})
            .add();
    const absl::Duration timeToFirstToken = this->firstTokenAt == absl::InfiniteFuture()
        ? absl::ZeroDuration()
        : this->firstTokenAt - this->startedAt;
    logEvent(LogLevel::Info, "request_finished",
             {{"request", profile.id.str()},
              {"customer", profile.customer.str()},
              {"failure_domain", this->service.context.domain.str()},
              {"class", className},
              {"outcome", outcome},
              {"reason", refusalName(reason)},
              {"prompt_tokens", profile.promptTokens},
              {"tokens", this->session.tokensSent()},
              {"first_token_ms", absl::ToInt64Milliseconds(timeToFirstToken)},
              {"total_ms", absl::ToInt64Milliseconds(Clock::now() - this->startedAt)}});
}

} // namespace foxtailtally
