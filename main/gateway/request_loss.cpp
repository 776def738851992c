#include "main/gateway/request_loss.h"

#include "core/log.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** A loss this soon after a change or a failure counts as beside it: the time that a change of the
 * configuration may take to be in force everywhere, and the longest objectives of routes. */
constexpr absl::Duration kBesideTime = absl::Seconds(12);

bool isBeside(absl::Time event, absl::Time now)
{
    return now - event <= kBesideTime;
}

std::string_view progressName(const CallState &state)
{
    if (state.hasAnswerBegun)
        return "streaming";
    const std::span<const AttemptTrace> traces = state.trail.traces();
    if (!traces.empty() && traces.back().end == AttemptTrail::kCancelled)
        return "sent";
    return state.suspicion ? "waiting" : "reading";
}

nlohmann::json attemptFields(const AttemptTrail &trail, absl::Time now)
{
    nlohmann::json attempts = nlohmann::json::array();
    for (const AttemptTrace &trace : trail.traces()) {
        const bool hasAnswered = trace.lastByteAt != absl::InfinitePast();
        attempts.push_back({{"server", trace.server},
                            {"written", trace.wasWritten},
                            {"sent_ms_ago", absl::ToInt64Milliseconds(now - trace.sentAt)},
                            {"last_byte_ms_ago",
                             hasAnswered ? absl::ToInt64Milliseconds(now - trace.lastByteAt) : -1},
                            {"end", trace.end}});
    }
    return attempts;
}

} // namespace

LostRequest lostRequest(const CallState &state, std::string_view cause)
{
    LostRequest request;
    request.id = state.call.headers.callId;
    request.cause = cause;
    request.receivedAt = state.call.receivedAt;
    request.answerBy = state.call.answerBy;
    request.config = state.call.config->version();
    request.progress = progressName(state);
    request.trail = &state.trail;
    return request;
}

void logRequestLost(const GatewayContext &context, const LostRequest &request, absl::Time now)
{
    nlohmann::json fields = {
        {"request", request.id},
        {"cause", request.cause},
        {"age_ms", absl::ToInt64Milliseconds(now - request.receivedAt)},
        {"config", request.config},
        {"config_in_force", context.config ? context.config->version() : -1},
        {"progress", request.progress},
        {"attempts", nlohmann::json::array()},
        {"config_changed", isBeside(context.configChangedAt, now)},
        {"stopping", context.stop.isStopping()},
        {"store_failed", isBeside(context.storeSource.lastStoreFailure(), now)},
    };
    if (request.answerBy)
        fields["left_ms"] = absl::ToInt64Milliseconds(*request.answerBy - now);
    if (request.trail) {
        fields["attempts"] = attemptFields(*request.trail, now);
        fields["attempts_omitted"] = request.trail->omitted();
    }
    logEssentialEvent(LogLevel::Warning, "request_lost", fields);
}

} // namespace foxtailtally
