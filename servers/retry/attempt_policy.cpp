#include "servers/retry/attempt_policy.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** An idempotent call is hedged after kHedgeFactor times the mean response time, but not before
 * kMinHedgeDelay and not after kMaxHedgeShare of its latency objective. */
constexpr double kHedgeFactor = 3.0;
constexpr absl::Duration kMinHedgeDelay = absl::Milliseconds(40);
constexpr double kMaxHedgeShare = 0.5;

/** Silence after which memory at other servers is freed although the server still accepts
 * connections. Users require memory that no request uses to be free within nine seconds; a hung
 * server accepts connections for as long as it hangs. */
constexpr absl::Duration kMaxSilentMemoryHold = absl::Seconds(7);

} // namespace

absl::Duration hedgeDelay(absl::Duration meanResponseTime, absl::Duration objective)
{
    // The objective may be shorter than twice kMinHedgeDelay.
    const absl::Duration latest = std::max(kMinHedgeDelay, objective * kMaxHedgeShare);
    return std::clamp(meanResponseTime * kHedgeFactor, kMinHedgeDelay, latest);
}

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotPermitted:
        return "not_permitted";
    case AttemptEnd::Rejected:
        return "rejected";
    case AttemptEnd::ServerFailed:
        return "server_failed";
    case AttemptEnd::Lost:
        return "lost";
    case AttemptEnd::Dropped:
        return "dropped";
    case AttemptEnd::Silent:
        return "silent";
    case AttemptEnd::Overdue:
        return "overdue";
    case AttemptEnd::Superseded:
        return "superseded";
    }
    return "unknown";
}

bool shouldMigrate(const MigrationEvidence &evidence)
{
    if (!evidence.isRepeatable || evidence.earlierRuns + 1 >= evidence.maxRuns)
        return false;
    return (evidence.isSilent || evidence.isUnresponsive || evidence.isOverdue)
        && evidence.hasBetterServer;
}

bool shouldAbandon(const MigrationEvidence &evidence)
{
    if (!evidence.holdsMemory)
        return false;
    const bool isReplaced = evidence.isSilent && evidence.hasReplacement;
    if (isReplaced && evidence.silentFor >= kMaxSilentMemoryHold)
        return true;
    return evidence.unprovenFor >= kMaxUnprovenMemoryHold
        && (evidence.isUnresponsive || isReplaced);
}

NextStep nextStep(AttemptEnd end, const CallProgress &progress)
{
    if (progress.isQuarantined)
        return fallbackStep(end, progress);
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NotPermitted
        || end == AttemptEnd::Rejected) {
        if (progress.rejections < kMaxRejections)
            return NextStep::TryElsewhere;
        return fallbackStep(end, progress);
    }
    if (progress.isRepeatable && progress.runs < progress.maxRuns)
        return NextStep::TryElsewhere;
    return fallbackStep(end, progress);
}

NextStep fallbackStep(AttemptEnd end, const CallProgress &progress)
{
    if (progress.hasAnswerBegun)
        return NextStep::BreakOff;
    if (end == AttemptEnd::ServerFailed)
        return NextStep::PassServerFailure;
    if (progress.runs == 0)
        return NextStep::AnswerNotRun;
    return NextStep::AnswerOutcomeUnknown;
}

} // namespace foxtailtally
