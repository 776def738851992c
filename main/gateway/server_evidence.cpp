#include "main/gateway/server_evidence.h"

#include "servers/placement/read_cost.h"

#include <algorithm>

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

void recordPause(GatewayContext &context, ServerKey server, const EngineTiming &engine,
                 std::int64_t promptTokens, absl::Duration pause)
{
    ServerActivity &activity = context.activity[server];
    const double pauseMs = absl::ToDoubleMilliseconds(pause);
    activity.shortestPauseMs =
        activity.pauses == 0 ? pauseMs : std::min(activity.shortestPauseMs, pauseMs);
    if (++activity.pauses < kPausesToJudge)
        return;
    activity.pauses = 0;
    // The shortest of several pauses is a pass without reads of other prompts.
    const double planned = writePassMs(engine, 1, promptTokens);
    context.health.onPace(server, activity.shortestPauseMs / planned);
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
