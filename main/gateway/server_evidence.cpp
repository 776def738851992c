#include "main/gateway/server_evidence.h"

#include "core/log.h"
#include "servers/placement/prefill_cost.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Event gaps after which the slowdown of an engine is estimated. */
constexpr int kGapsPerSlowdownSample = 6;

void recordOutcome(GatewayContext &context, ServerKey server, ServerHealth::Outcome outcome,
                   absl::Time now)
{
    const bool wasSuspect = context.health.isSuspect(server, now);
    context.health.onOutcome(server, outcome, now);
    if (!wasSuspect && context.health.isSuspect(server, now))
        context.exchange.onSuspicion(server);
}

/** A rejection counts against the server that it names: the one that was called, or a helper. */
void recordRejection(GatewayContext &context, const ServerCall &call, absl::Time now)
{
    const std::string &address = call.faultyServer();
    ServerKey faulty = call.target().key;
    if (!address.empty() && address != call.target().address) {
        const ServerDirectory::Server *helper = context.directory.findByAddress(address);
        if (!helper)
            return;
        faulty = helper->key;
    }
    // A server that rejects a call only because it is full is not at fault.
    if (call.wasMisdirected() || faulty != call.target().key)
        recordOutcome(context, faulty, ServerHealth::Outcome::Lost, now);
}

void recordRateLimit(GatewayContext &context, ServerKey server, const platform::ServerReply &reply,
                     const AnsweredRequest &request, absl::Time now)
{
    if (reply.isRateLimitMalformed)
        context.metrics.counter("foxtailtally_server_limits_total", {{"news", "malformed"}}).add();
    RateLimitChange change = RateLimitChange::None;
    if (reply.rateLimit)
        change = context.limits.onNamed(server, *reply.rateLimit, now);
    else if (!reply.isRateLimitMalformed)
        change = context.limits.onNotNamed(server, request.sentAt, now);
    if (change == RateLimitChange::None)
        return;
    context.metrics
        .counter("foxtailtally_server_limits_total", {{"news", rateLimitChangeName(change)}})
        .add();
    const ServerDirectory::Server *known = context.directory.findByKey(server);
    const SentRequests &sent = context.activity[server].sent;
    logEvent(LogLevel::Info, "server_limit",
             {{"request", request.id},
              {"server", known ? known->entry.id.str() : std::string()},
              {"incarnation", known ? known->entry.incarnation : 0},
              {"news", rateLimitChangeName(change)},
              {"per_second", reply.rateLimit.value_or(0.0)},
              {"calls_4s", sent.count(RequestKind::Call, now)},
              {"parts_4s", sent.count(RequestKind::PrefillPart, now)},
              {"reservations_4s", sent.count(RequestKind::Reservation, now)}});
}

} // namespace

void recordAttemptEnd(GatewayContext &context, const ServerCall &call, AttemptEnd end,
                      absl::Time now)
{
    const AttemptTarget &target = call.target();
    switch (end) {
    case AttemptEnd::NotSent:
        context.reachability.onConnectFailed(target.key, target.domain, now);
        return;
    case AttemptEnd::Rejected:
        recordRejection(context, call, now);
        return;
    case AttemptEnd::Lost:
        recordOutcome(context, target.key, ServerHealth::Outcome::Lost, now);
        return;
    case AttemptEnd::Silent:
        recordOutcome(context, target.key, ServerHealth::Outcome::Silent, now);
        return;
    case AttemptEnd::Dropped:
    case AttemptEnd::NotPermitted:
    case AttemptEnd::ServerFailed:
    case AttemptEnd::Overdue:
    case AttemptEnd::Superseded:
        return;
    }
}

void recordBackpressure(GatewayContext &context, ServerKey server,
                        const platform::ServerReply &reply, const AnsweredRequest &request,
                        absl::Time now)
{
    // The response comes from another server at this address, not from the one that was called.
    if (reply.isMisdirected)
        return;
    ServerBackpressure &backpressure = context.directory.backpressure();
    const ServerDirectory::Server *known = context.directory.findByKey(server);
    const std::string name = known ? known->entry.id.str() : std::string();
    const std::uint64_t incarnation = known ? known->entry.incarnation : 0;
    const auto report = [&](std::string_view wish, absl::Duration pause) {
        context.metrics.counter("foxtailtally_server_wishes_total", {{"wish", wish}}).add();
        logEvent(LogLevel::Info, "server_wish",
                 {{"request", request.id},
                  {"server", name},
                  {"incarnation", incarnation},
                  {"wish", wish},
                  {"pause_ms", absl::ToInt64Milliseconds(pause)}});
    };
    if (reply.isRetryAfterMalformed)
        report("malformed", absl::ZeroDuration());
    if (reply.isDraining && backpressure.onDraining(server, now))
        report("leave", absl::ZeroDuration());
    if (backpressure.onPause(server, reply.requestedPause, now))
        report("pause", std::min(reply.requestedPause, ServerBackpressure::kMaxPause));
    recordRateLimit(context, server, reply, request, now);
}

void recordUnattributedResponse(GatewayContext &context, const AnsweredRequest &call,
                                const AttemptTarget &target, int status)
{
    context.metrics.counter("foxtailtally_responses_unattributed_total").add();
    logEvent(LogLevel::Warning, "response_unattributed",
             {{"request", call.id},
              {"server", target.id.str()},
              {"incarnation", target.incarnation},
              {"status", status}});
}

void recordEventGap(GatewayContext &context, ServerKey server, const EngineTiming &engine,
                    std::int64_t promptTokens, absl::Duration gap, absl::Time now)
{
    ServerActivity &activity = context.activity[server];
    const double gapMs = absl::ToDoubleMilliseconds(gap);
    activity.shortestEventGapMs =
        activity.eventGaps == 0 ? gapMs : std::min(activity.shortestEventGapMs, gapMs);
    if (++activity.eventGaps < kGapsPerSlowdownSample)
        return;
    activity.eventGaps = 0;
    // The shortest of several gaps is a decode pass without prefills of other prompts.
    const double planned = decodePassMs(engine, 1, promptTokens);
    context.health.onSlowdown(server, activity.shortestEventGapMs / planned, now);
}

double maxExpectedSilenceMs(const GatewayContext &context, const EngineTiming &engine,
                            ServerKey server, absl::Time now)
{
    const ServerLoads loads = context.ledger.loads(now);
    const auto load = loads.find(server);
    if (load == loads.end())
        return 0.0;
    return decodePassMs(engine, load->second.decodingStreams, load->second.memoryTokens)
        + load->second.prefillLeftMs;
}

} // namespace foxtailtally
