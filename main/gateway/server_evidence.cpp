#include "main/gateway/server_evidence.h"

#include "core/log.h"
#include "servers/placement/read_cost.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Pauses of streams after which a server's pace is judged. */
constexpr int kPausesToJudge = 6;

void recordOutcome(GatewayContext &context, ServerKey server, ServerHealth::Outcome outcome,
                   absl::Time now)
{
    const bool wasSuspect = context.health.isSuspect(server, now);
    context.health.onOutcome(server, outcome, now);
    if (!wasSuspect && context.health.isSuspect(server, now))
        context.exchange.onSuspicion(server);
}

/** A rejection speaks against the server that it names: the one that was asked, or a helper. */
void recordRejection(GatewayContext &context, const ServerCall &call, absl::Time now)
{
    const std::string &address = call.faultyServer();
    ServerKey faulty = call.target().key;
    if (!address.empty() && address != call.target().address) {
        const ServerDirectory::Server *helper = context.directory.findAddress(address);
        if (!helper)
            return;
        faulty = helper->key;
    }
    // A server that is only full has done nothing wrong.
    if (call.wasMisdirected() || faulty != call.target().key)
        recordOutcome(context, faulty, ServerHealth::Outcome::Lost, now);
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
    case AttemptEnd::ServerFailed:
    case AttemptEnd::Overdue:
        return;
    }
}

void recordWishes(GatewayContext &context, ServerKey server, const platform::ServerReply &reply,
                  const std::string &callId, absl::Time now)
{
    // What another server says at this address is no wish of the one that was called.
    if (reply.isMisdirected)
        return;
    ServerWishes &wishes = context.directory.wishes();
    const ServerDirectory::Server *known = context.directory.findKey(server);
    const std::string name = known ? known->entry.id.str() : std::string();
    const std::uint64_t incarnation = known ? known->entry.incarnation : 0;
    const auto note = [&](std::string_view wish, absl::Duration pause) {
        context.metrics.counter("foxtailtally_server_wishes_total", {{"wish", wish}}).add();
        logEvent(LogLevel::Info, "server_wish",
                 {{"request", callId},
                  {"server", name},
                  {"incarnation", incarnation},
                  {"wish", wish},
                  {"pause_ms", absl::ToInt64Milliseconds(pause)}});
    };
    if (reply.isPauseMalformed)
        note("malformed", absl::ZeroDuration());
    if (reply.isLeaving && wishes.onLeaving(server, now))
        note("leave", absl::ZeroDuration());
    if (wishes.onPause(server, reply.pauseAsked, now))
        note("pause", std::min(reply.pauseAsked, ServerWishes::kLongestPause));
}

void recordPause(GatewayContext &context, ServerKey server, const EngineTiming &engine,
                 std::int64_t promptTokens, absl::Duration pause)
{
    ServerActivity &activity = context.activity[server];
    const double pauseMs = absl::ToDoubleMilliseconds(pause);
    activity.shortestEventGapMs =
        activity.eventGaps == 0 ? pauseMs : std::min(activity.shortestEventGapMs, pauseMs);
    if (++activity.eventGaps < kPausesToJudge)
        return;
    activity.eventGaps = 0;
    // The shortest of several pauses is a pass without reads of other prompts.
    const double planned = writePassMs(engine, 1, promptTokens);
    context.health.onPace(server, activity.shortestEventGapMs / planned);
}

double plannedSilenceMs(const GatewayContext &context, const EngineTiming &engine, ServerKey server,
                        absl::Time now)
{
    const ServerLoads loads = context.ledger.loads(now);
    const auto load = loads.find(server);
    if (load == loads.end())
        return 0.0;
    return writePassMs(engine, load->second.writers, load->second.memoryTokens)
        + load->second.readLeftMs;
}

} // namespace foxtailtally
