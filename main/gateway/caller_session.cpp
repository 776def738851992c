#include "main/gateway/caller_session.h"

#include "core/clock.h"
#include "core/log.h"
#include "main/gateway/request_loss.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

/** Responses are due this long before the caller's deadline, so that they arrive in time. */
constexpr absl::Duration kDeadlineMargin = absl::Milliseconds(15);

/** Time after which a caller may retry when this instance cannot admit its call, for example
 * because it cannot verify keys. Other instances can, and a new connection reaches one of them. */
constexpr absl::Duration kUnavailableRetryAfter = absl::Milliseconds(200);

constexpr int kStatusUnavailable = 503;
constexpr int kStatusTooLarge = 413;

constexpr std::string_view kMalformed = "request_malformed";
constexpr std::string_view kDropped = "dropped_behind_last_response";

/** Part of the time left until the response is due that a body may wait for memory. */
constexpr double kBodyWaitShare = 0.5;

/** Factor by which the memory of a body grows whose length is not known in advance. */
constexpr std::size_t kBodyGrowth = 4;

InboundLimits inboundLimits(const ServingConfig *config)
{
    InboundLimits limits;
    if (!config)
        return limits;
    limits.headerBytes = config->limits().headerBytes;
    limits.bodyBytes = config->limits().bodyBytes;
    limits.headerTimeout = config->limits().headerTimeout;
    limits.idleTimeout = config->limits().idleTimeout;
    return limits;
}

} // namespace

CallerSession::CallerSession(GatewayContext &context, int socket, SessionOwner &owner)
    : context(context)
    , owner(owner)
    , refusalTimer(context.base,
                   [this] {
                       this->run->refuseBody(this->bodyRejection->status,
                                             this->bodyRejection->cause);
                   })
    , connection(context.base, socket, *this, inboundLimits(context.config.get()))
{ }

void CallerSession::applyLimits()
{
    this->connection.setLimits(inboundLimits(this->context.config.get()));
}

void CallerSession::onStopping(absl::Time answersBy, absl::Time now)
{
    this->connection.closeAfterAnswer();
    if (this->run)
        this->run->advanceDeadline(answersBy, now);
}

void CallerSession::onRequestHead(InboundConnection &connection)
{
    const absl::Time now = Clock::now();
    this->retireRun();
    this->request = this->context.requests.begin();
    this->requestBegunAt = now;
    // Makes the caller send its next request to another instance.
    if (this->context.stop.isStopping())
        connection.closeAfterAnswer();
    AdmittedCall call;
    this->rejection = this->admit(connection.head(), call, now);
    if (this->rejection) {
        connection.discardBody();
        return;
    }
    this->run = std::make_unique<CallRun>(this->context, connection, std::move(call),
                                          std::move(this->request));
    const std::size_t expected =
        connection.announcedBody().value_or(static_cast<std::size_t>(kSmallBodyBytes));
    if (expected == 0)
        return;
    this->bodyClaim = std::make_unique<BodyClaim>(this->context.bodies.admission());
    this->claimBody(expected);
}

void CallerSession::claimBody(std::size_t bytes)
{
    using Verdict = BodyAdmission::Verdict;
    const absl::Time now = Clock::now();
    const absl::Time waitUntil = now + (this->run->answerBy() - now) * kBodyWaitShare;
    this->claimedBytes = bytes;
    // What arrives of a body with a known length cannot exceed it.
    if (!this->connection.announcedBody())
        this->connection.allowBody(bytes);
    const Verdict verdict = this->context.bodies.request(
        *this->bodyClaim, static_cast<std::int64_t>(bytes), *this, waitUntil);
    if (verdict == Verdict::Admitted)
        return;
    this->connection.pauseBody();
    if (verdict == Verdict::Waiting)
        return;
    // The connection may be parsing input, so the response is sent from the loop.
    this->bodyRejection = verdict == Verdict::TooLarge
        ? Rejection {kStatusTooLarge, "body_exceeds_memory"}
        : Rejection {kStatusUnavailable, "body_memory"};
    this->refusalTimer.start(absl::ZeroDuration());
}

void CallerSession::onBodyAllowanceReached(InboundConnection &connection)
{
    if (this->bodyClaim && this->run && !this->run->isDone())
        this->claimBody(std::min(connection.maxBody(), this->claimedBytes * kBodyGrowth));
}

void CallerSession::onBodyAdmitted()
{
    this->connection.resumeBody();
}

void CallerSession::onBodyRefused()
{
    this->bodyClaim.reset();
    this->run->refuseBody(kStatusUnavailable, "body_memory");
}

std::optional<CallerSession::Rejection>
CallerSession::admit(const RequestHead &head, AdmittedCall &call, absl::Time now) const
{
    call.receivedAt = now;
    call.headers = platform::decodeCallHeaders(head.headers);
    if (!this->context.stop.mayTakeRequests(now))
        return Rejection {kStatusUnavailable, "stopping"};
    call.config = this->context.config;
    if (!call.config)
        return Rejection {kStatusUnavailable, "no_configuration"};
    const bool isFresh = this->context.freshness.mayAcceptKeys(now);
    call.route = call.config->findRoute(head.host, head.path);
    if (!call.route) {
        // An instance that cannot reach the store may not know a new route.
        if (!isFresh)
            return Rejection {kStatusUnavailable, "configuration_unconfirmed"};
        return Rejection {404, "no_route"};
    }
    call.urgency = call.route->priority;
    if (call.config->hasCustomers() && call.route->needsKey) {
        if (!isFresh)
            return Rejection {kStatusUnavailable, "keys_unconfirmed"};
        const Customer *customer = call.config->findCustomer(call.headers.apiKey);
        if (!customer)
            return Rejection {401, "unknown_key"};
        call.customer = customer->id.str();
        if (customer->priority >= 0)
            call.urgency = customer->priority;
    }
    absl::Duration time = call.route->timeout;
    if (call.headers.deadline)
        time = std::min(time, *call.headers.deadline - kDeadlineMargin);
    call.answerBy = std::min(now + time, this->context.stop.answersBy());
    return std::nullopt;
}

void CallerSession::onRequestComplete(InboundConnection &)
{
    if (this->rejection) {
        this->refuse(*this->rejection);
        return;
    }
    if (this->bodyClaim)
        this->context.bodies.admission().shrink(
            *this->bodyClaim, static_cast<std::int64_t>(this->connection.body().size()));
    this->run->start(std::move(this->bodyClaim), Clock::now());
}

void CallerSession::refuse(const Rejection &rejection)
{
    const std::string callId = platform::decodeCallHeaders(this->connection.head().headers).callId;
    std::optional<absl::Duration> retryAfter;
    if (rejection.status == kStatusUnavailable)
        retryAfter = kUnavailableRetryAfter;
    const nlohmann::json body = {{"error", rejection.cause}, {"not_run", true}};
    this->context.metrics.counter("foxtailtally_refusals_total", {{"cause", rejection.cause}})
        .add();
    const std::int64_t version = this->context.config ? this->context.config->version() : -1;
    logEvent(
        LogLevel::Info, "call_refused",
        {{"request", callId},
         {"cause", rejection.cause},
         {"status", rejection.status},
         {"path", this->connection.head().path},
         {"config", version},
         {"config_age_ms", absl::ToInt64Milliseconds(this->context.freshness.age(Clock::now()))}});
    this->connection.answer(rejection.status, platform::localReplyHeaders(callId, retryAfter),
                            body.dump());
    this->request.end(RequestEnd::Refused, rejection.cause);
}

bool CallerSession::hasOpenRequest() const
{
    return this->request.isOpen() || (this->run && this->run->hasOpenRequest());
}

void CallerSession::endRequestAtStop(absl::Time now)
{
    this->endUnanswered(RequestEnd::Lost, "stopped", now);
}

void CallerSession::endUnanswered(RequestEnd end, std::string_view cause, absl::Time now)
{
    if (this->run && !this->run->isDone())
        this->run->onCallerGone(end, cause);
    if (!this->request.end(end, cause) || end != RequestEnd::Lost)
        return;
    const std::string callId = platform::decodeCallHeaders(this->connection.head().headers).callId;
    LostRequest lost;
    lost.id = callId;
    lost.cause = cause;
    lost.receivedAt = this->requestBegunAt;
    lost.progress = "refusing";
    logRequestLost(this->context, lost, now);
}

void CallerSession::onCallerGone(InboundConnection &)
{
    this->endUnanswered(RequestEnd::GivenUp, "caller_gone", Clock::now());
}

void CallerSession::onWritable(InboundConnection &)
{
    if (this->run && !this->run->isDone())
        this->run->onCallerWritable();
}

void CallerSession::onRequestRejected(InboundConnection &connection, int status)
{
    this->context.metrics.counter("foxtailtally_refusals_total", {{"cause", "protocol"}}).add();
    logEvent(LogLevel::Warning, "request_malformed", {{"status", status}});
    // A head that is rejected itself has not been announced.
    if (!this->hasOpenRequest() && connection.hasWholeHead())
        this->request = this->context.requests.begin();
    if (this->run)
        this->run->onCallerGone(RequestEnd::Refused, kMalformed, status);
    const nlohmann::json body = {{"error", kMalformed}, {"not_run", true}};
    connection.answer(status, platform::localReplyHeaders({}, std::nullopt), body.dump());
    this->request.end(RequestEnd::Refused, kMalformed);
}

void CallerSession::onClosed(InboundConnection &connection)
{
    const absl::Time now = Clock::now();
    // Its owner closes a connection only behind a response, unless a callback has failed.
    this->endUnanswered(RequestEnd::Lost, "internal_error", now);
    if (connection.droppedBytes() > 0) {
        this->context.metrics.counter("foxtailtally_request_drops_total").add();
        logEvent(LogLevel::Warning, "request_dropped", {{"bytes", connection.droppedBytes()}});
        // What was dropped has not been parsed: it counts as one request, whose head is unknown.
        this->context.requests.begin().end(RequestEnd::Lost, kDropped);
        LostRequest lost;
        lost.cause = kDropped;
        lost.receivedAt = now;
        lost.progress = "unread";
        logRequestLost(this->context, lost, now);
    }
    this->retireRun();
    this->owner.onSessionClosed(*this);
}

void CallerSession::retireRun()
{
    this->refusalTimer.stop();
    this->bodyClaim.reset();
    if (this->run)
        this->context.retired.push_back(std::move(this->run));
}

} // namespace foxtailtally
