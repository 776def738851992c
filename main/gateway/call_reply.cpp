#include "main/gateway/call_reply.h"

#include "main/gateway/call_log.h"
#include "platform/call_headers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

/** Time after which a caller may retry a service without a free server. The jitter keeps refused
 * callers from returning together. */
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(250);
constexpr absl::Duration kRetryAfterJitter = absl::Milliseconds(750);

} // namespace

void CallReply::store(ResponseHead reply, ResponseHold headHold, ResponseBuffer body)
{
    this->stored = std::move(reply);
    this->storedHeadHold = std::move(headHold);
    this->storedBody = std::move(body);
}

void CallReply::dropStored()
{
    this->store(ResponseHead(), ResponseHold(), ResponseBuffer());
}

void CallReply::refuse(std::string_view cause, absl::Time now)
{
    if (this->state.isStopTooNear(this->context, now)) {
        this->refuseForStop();
        return;
    }
    const std::optional<absl::Time> reopensAt =
        this->context.directory.pausedUntil(this->state.service, now);
    const double callsPerSecond = this->context.retries.callsPerSecond(this->state.service, now);
    if (reopensAt) {
        this->sendLocal(503, "servers_paused", true,
                        this->spacedRetryAfter(*reopensAt, callsPerSecond, now));
        return;
    }
    if (this->state.queuesEndAt > now) {
        this->sendLocal(503, "overloaded", true,
                        this->spacedRetryAfter(this->state.queuesEndAt, callsPerSecond, now));
        return;
    }
    const std::optional<TokenForecast> tokens =
        this->context.limits.forecast(this->state.service, now);
    if (!tokens) {
        const bool isDraining = this->context.directory.areAllDraining(this->state.service);
        this->sendLocal(503, isDraining ? "servers_draining" : cause, true);
        return;
    }
    const double ownShare =
        tokens->perSecond / static_cast<double>(this->context.exchange.instanceCount());
    const absl::Duration retryAfter =
        this->spacedRetryAfter(tokens->firstAt, std::min(callsPerSecond, ownShare), now);
    logRateLimitRefusal(this->state.call.headers.callId, this->state.service, *tokens, retryAfter,
                        now);
    this->sendLocal(503, "rate_limited", true, retryAfter);
}

absl::Duration CallReply::spacedRetryAfter(absl::Time reopensAt, double callsPerSecond,
                                           absl::Time now)
{
    RefusedCall refused;
    refused.service = this->state.service;
    refused.reopensAt = reopensAt;
    refused.usefulUntil = this->state.call.answerBy;
    refused.callsPerSecond = callsPerSecond;
    return this->context.retryAfterPolicy.retryAfter(refused, now);
}

void CallReply::forwardStored()
{
    const int status = this->stored.status;
    // These statuses tell the caller that the call has not run, which the server has not confirmed.
    const bool promisesNotRun = status == 408 || status == 421 || status == 429 || status == 503;
    if (promisesNotRun) {
        this->sendLocal(502, "server_failed", false);
        return;
    }
    this->caller.answer(status, platform::callerHeaders(this->stored.headers),
                        this->storedBody.view());
    this->events.onReplied(RequestEnd::Answered, status < 400 ? "served" : "server_failure",
                           status);
}

void CallReply::refuseForStop()
{
    this->sendLocal(503, "stopping", true, StopPolicy::kRetryAfter);
}

void CallReply::refuseQuarantined(absl::Time now)
{
    this->state.suspicion->logQuarantine(now);
    // Callers that come back at the same moment could start several trials.
    const absl::Duration jitter = kRetryAfterJitter * this->context.random.uniform();
    this->sendLocal(503, "quarantined", true, this->state.suspicion->quarantineLeft(now) + jitter);
}

void CallReply::sendLocal(int status, std::string_view cause, bool notRun)
{
    std::optional<absl::Duration> retryAfter;
    if (notRun)
        retryAfter = kMinRetryAfter + kRetryAfterJitter * this->context.random.uniform();
    this->sendLocal(status, cause, notRun, retryAfter);
}

void CallReply::sendLocal(int status, std::string_view cause, bool notRun,
                          std::optional<absl::Duration> retryAfter)
{
    const nlohmann::json body = {{"error", cause}, {"not_run", notRun}};
    this->caller.answer(status,
                        platform::localReplyHeaders(this->state.call.headers.callId, retryAfter),
                        body.dump());
    this->events.onReplied(notRun ? RequestEnd::Refused : RequestEnd::Answered, cause, status);
}

} // namespace foxtailtally
