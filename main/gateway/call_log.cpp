#include "main/gateway/call_log.h"

#include "core/error.h"
#include "core/hash.h"
#include "core/log.h"
#include "main/gateway/request_loss.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Most parts of a prompt that are logged for a lost attempt. */
constexpr std::size_t kMaxPartsLogged = 16;

/** Load of the server, as far as this instance knows; empty for servers without streams. */
nlohmann::json loadFields(const GatewayContext &context, ServerKey server, absl::Time now)
{
    const ServerLoads loads = context.ledger.loads(now);
    const auto load = loads.find(server);
    if (load == loads.end())
        return nlohmann::json::object();
    return {{"server_streams", load->second.streams},
            {"server_writers", load->second.decodingStreams},
            {"server_memory_tokens", load->second.memoryTokens},
            {"server_arrivals", load->second.arrivals}};
}

/** Limit of the server and the requests that this instance has sent it; empty without a limit. */
nlohmann::json limitFields(const GatewayContext &context, ServerKey server, absl::Time now)
{
    const std::optional<double> limit = context.limits.limitOf(server);
    if (!limit)
        return nlohmann::json::object();
    const auto activity = context.activity.find(server);
    const bool isUsed = activity != context.activity.end();
    return {{"limit_per_second", *limit},
            {"sent_4s", isUsed ? activity->second.sent.total(now) : 0}};
}

} // namespace

void countPromptList(GatewayContext &context, const platform::PromptParts &prompt)
{
    const auto count = [&context](std::string_view fault) {
        context.metrics.counter("foxtailtally_prompt_lists_total", {{"fault", fault}}).add();
    };
    if (prompt.isMalformed)
        count("malformed");
    if (prompt.isTruncated)
        count("truncated");
}

void logAttemptEnd(GatewayContext &context, const ServerCall &call, AttemptEnd end,
                   const AttemptRecord &record, absl::Time now)
{
    const AttemptTarget &target = call.target();
    context.metrics.counter("foxtailtally_attempts_ended_total", {{"end", attemptEndName(end)}})
        .add();
    if (call.failure() == Error::MemoryShareUsedUp)
        context.metrics.counter("foxtailtally_responses_over_memory_total").add();
    const ServerDirectory::Server *server = context.directory.findByKey(target.key);
    nlohmann::json fields = {
        {"request", record.callId},
        {"fingerprint", fingerprintText(record.fingerprint)},
        {"server", target.id.str()},
        {"end", attemptEndName(end)},
        {"cause", call.failure() ? errorName(call.failure()) : ""},
        {"had_event", record.hadEvent},
        {"lasted_ms", absl::ToInt64Milliseconds(now - call.sentAt())},
        {"runs", record.runs},
        {"rejections", record.rejections},
        {"at_fault", call.faultyServer()},
        {"suspect", context.health.isSuspect(target.key, now)},
        {"server_listed", server != nullptr},
        {"server_cold", server && server->coldUntil > now},
        {"domain_cut", context.reachability.isDomainUnreachable(target.domain)},
    };
    if (end == AttemptEnd::Lost || end == AttemptEnd::Silent) {
        const std::size_t logged = std::min(record.sharedParts.size(), kMaxPartsLogged);
        fields["parts"] = absl::StrJoin(record.sharedParts.first(logged), ",");
    }
    if (call.usedIdleConnection())
        fields["idle_ms"] = absl::ToInt64Milliseconds(call.connectionIdleTime());
    fields["had_bytes"] = call.hadBytes();
    if (end == AttemptEnd::Lost)
        fields.update(loadFields(context, target.key, now));
    logEvent(LogLevel::Info, "attempt_ended", fields);
}

void logCallDone(GatewayContext &context, const CallState &state, const std::string &server,
                 RequestEnd end, std::string_view outcome, int status, absl::Time now)
{
    if (end == RequestEnd::Lost)
        logRequestLost(context, lostRequest(state, outcome), now);
    const AdmittedCall &call = state.call;
    const bool hadEvent = state.firstEventAt != absl::InfinitePast();
    context.metrics.counter("foxtailtally_calls_total", {{"outcome", outcome}}).add();
    context.metrics.distribution("foxtailtally_call_seconds", {{"outcome", outcome}})
        .observe(now - call.receivedAt);
    logEvent(LogLevel::Info, "call_done",
             {{"request", call.headers.callId},
              {"route", call.route->name},
              {"service", state.service},
              {"server", server},
              {"outcome", outcome},
              {"status", status},
              {"arrivals", state.attemptsSent},
              {"runs", state.runs},
              {"prompt", call.headers.promptTokens},
              {"helpers", state.lastPlan.helpers.size()},
              {"harm", static_cast<int>(state.lastPlan.harm * 100)},
              {"waited_ms", absl::ToInt64Milliseconds(state.dispatchDelay)},
              {"planned_ms", static_cast<int>(state.lastPlan.predictedFirstEventMs)},
              {"first_ms",
               hadEvent ? absl::ToInt64Milliseconds(state.firstEventAt - call.receivedAt) : -1},
              {"pause_ms", absl::ToInt64Milliseconds(state.longestGap)},
              {"total_ms", absl::ToInt64Milliseconds(now - call.receivedAt)},
              {"objective_ms", absl::ToInt64Milliseconds(call.route->objective)},
              {"timeout_ms", absl::ToInt64Milliseconds(call.route->timeout)},
              {"allowed_ms", absl::ToInt64Milliseconds(call.answerBy - call.receivedAt)},
              {"config", call.config->version()}});
}

void logNotRetried(GatewayContext &context, const std::string &callId, AttemptEnd end,
                   std::string_view cause)
{
    context.metrics.counter("foxtailtally_calls_not_retried_total", {{"cause", cause}}).add();
    logEvent(LogLevel::Info, "call_not_retried",
             {{"request", callId}, {"end", attemptEndName(end)}, {"cause", cause}});
}

void logPlacement(const GatewayContext &context, const std::string &callId,
                  const StreamDecision &decision, absl::Time now)
{
    std::string helpers;
    for (const std::size_t index : decision.plan.helpers)
        absl::StrAppend(&helpers, helpers.empty() ? "" : ",",
                        decision.servers[index]->entry.id.str());
    const ServerDirectory::Server &server = *decision.servers[decision.plan.server];
    nlohmann::json fields = {
        {"request", callId},
        {"server", server.entry.id.str()},
        {"helpers", helpers},
        {"part_ms", static_cast<int>(decision.plan.partPrefillMs)},
        {"planned_ms", static_cast<int>(decision.plan.predictedFirstEventMs)},
        {"harm", static_cast<int>(decision.plan.harm * 100)},
        {"read_left_ms", static_cast<int>(decision.prefillLeftMs)},
        {"writers", decision.decodingStreams},
        {"instances", context.exchange.instanceCount()},
    };
    if (decision.admissionPriority)
        fields["priority"] = *decision.admissionPriority;
    fields.update(limitFields(context, server.key, now));
    logEvent(LogLevel::Info, "stream_placed", fields);
}

void logRateLimitRefusal(const std::string &callId, const std::string &service,
                         const TokenForecast &tokens, absl::Duration retryAfter, absl::Time now)
{
    logEvent(LogLevel::Info, "call_rate_limited",
             {{"request", callId},
              {"service", service},
              {"servers", tokens.servers},
              {"per_second", tokens.perSecond},
              {"token_in_ms", absl::ToInt64Milliseconds(tokens.firstAt - now)},
              {"retry_after_ms", absl::ToInt64Milliseconds(retryAfter)}});
}

} // namespace foxtailtally
