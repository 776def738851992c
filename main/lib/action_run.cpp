#include "main/lib/action_run.h"

#include "core/clock.h"
#include "core/log.h"
#include "peers/caller/caller_replies.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

ActionRun::ActionRun(ActionService &service, std::shared_ptr<HttpExchange> exchange,
                     ActionProfile profile, std::string body, std::vector<InstanceEntry> targets)
    : service(service)
    , exchange(std::move(exchange))
    , session(std::move(profile))
    , body(std::move(body))
    , targets(std::move(targets))
{ }

void ActionRun::start(absl::Time now)
{
    this->startedAt = now;
    this->apply(this->session.start(now));
}

void ActionRun::onTick(absl::Time now)
{
    this->apply(this->session.onTick(now));
}

void ActionRun::apply(const ActionSessionActions &actions)
{
    for (const ActionSessionAction &action : actions)
        std::visit([this](const auto &typed) { this->on(typed); }, action);
}

void ActionRun::on(const SendClaim & /*action*/)
{
    const ActionProfile &profile = this->session.profile();
    ClaimRequest request;
    request.request = profile.id;
    request.customer = profile.customer;
    request.key = profile.key;
    request.body = profile.bodyFingerprint;
    // False whatever the service checks: after a lost attempt, a newer one could run the action
    // again.
    request.checksFence = false;
    request.deadline = profile.deadline;
    request.receivedAt = Clock::wallNow();
    this->service.context.claims->claim(
        request, [self = shared_from_this()](const ClaimAction &answer) {
            self->service.loop.post([self, answer] { self->onClaimAnswer(answer); });
        });
}

void ActionRun::onClaimAnswer(const ClaimAction &answer)
{
    const absl::Time now = Clock::now();
    if (const auto *granted = std::get_if<ClaimGranted>(&answer))
        this->apply(
            this->session.onClaimGranted({granted->key, granted->attempt, granted->fence}, now));
    else if (const auto *refused = std::get_if<ClaimRefused>(&answer))
        this->apply(this->session.onClaimRefused(refused->refusal, now));
    else if (const auto *replay = std::get_if<ClaimReplay>(&answer))
        this->apply(this->session.onClaimReplay(replay->answer, replay->isAnswerKept, now));
}

void ActionRun::on(const DispatchCall &action)
{
    const ActionProfile &profile = this->session.profile();
    const InstanceEntry &target =
        this->targets[static_cast<std::size_t>(action.number - 1) % this->targets.size()];
    ServiceCall call;
    call.address = target.address;
    call.name = profile.call;
    call.key = profile.key;
    call.body = this->body;
    if (!profile.isRepeatable && profile.checksFence)
        call.fence = action.fence;
    const bool accepted = this->service.runBlocking(
        target.address, [self = shared_from_this(), call = std::move(call)]() mutable {
            const CallEnd end = self->perform(call);
            self->service.loop.post([self, end, address = call.address] {
                self->service.callsByAddress[address] -= 1;
                self->apply(self->session.onCallDone(end, Clock::now()));
            });
        });
    if (!accepted)
        this->service.loop.post([self = shared_from_this()] {
            self->apply(
                self->session.onCallDone({Error::ServerOverloaded, false, ""}, Clock::now()));
        });
}

CallEnd ActionRun::perform(ServiceCall &call) const
{
    // The call may have waited for a thread. It must not start after the deadline, because the
    // claim may then have been granted to another attempt.
    call.timeout = this->session.profile().deadline - Clock::now();
    if (call.timeout <= absl::ZeroDuration())
        return {Error::Timeout, false, ""};
    const ServiceClient &client = *this->service.context.services;
    const ServiceReply reply =
        this->session.profile().isRepeatable ? client.query(call) : client.runAction(call);
    return {reply.error, reply.mayHaveRun, reply.result};
}

void ActionRun::on(const RecordOutcome &action)
{
    OutcomeReport report;
    report.key = action.claim.key;
    report.attempt = action.claim.attempt;
    report.fence = action.claim.fence;
    report.outcome = static_cast<AttemptOutcome>(action.outcome);
    report.answer = action.answer;
    report.at = Clock::wallNow();
    this->service.context.claims->record(report);
}

void ActionRun::on(const AnswerAction &action)
{
    HttpResponse response;
    const nlohmann::json result = nlohmann::json::parse(action.answer, nullptr, false);
    const nlohmann::json value = result.is_discarded() ? nlohmann::json(action.answer) : result;
    response.body = nlohmann::json {{"result", value}, {"replayed", action.isReplayed}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    this->exchange->respond(std::move(response));
    this->finish("ok", RefusalReason::None);
}

void ActionRun::on(const RefuseCall &action)
{
    this->exchange->respond(refusalResponse(action.refusal));
    this->finish(action.refusal.notRun ? "refused" : "failed", action.refusal.reason);
}

void ActionRun::finish(std::string_view outcome, RefusalReason reason)
{
    const ActionProfile &profile = this->session.profile();
    this->service.context.metrics
        ->counter("foxtailtally_requests_total",
                  {{"customer", profile.customer.str()},
                   {"class", "service"},
                   {"domain", this->service.context.domain.str()},
                   {"outcome", outcome}})
        .add();
    logEvent(LogLevel::Info, "call_finished",
             {{"request", profile.id.str()},
              {"customer", profile.customer.str()},
              {"failure_domain", this->service.context.domain.str()},
              {"service", profile.service},
              {"call", profile.call},
              {"outcome", outcome},
              {"reason", refusalName(reason)},
              {"total_ms", absl::ToInt64Milliseconds(Clock::now() - this->startedAt)}});
}

} // namespace foxtailtally
