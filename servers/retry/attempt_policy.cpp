#include "servers/retry/attempt_policy.h"

namespace foxtailtally {

NextStep nextStep(AttemptEnd end, const CallProgress &progress)
{
    if (end == AttemptEnd::NotSent || end == AttemptEnd::Rejected) {
        if (progress.rejections < kMaxRejections)
            return NextStep::TryElsewhere;
        return lastStep(end, progress);
    }
    if (progress.isRepeatable && progress.runs < progress.maxRuns)
        return NextStep::TryElsewhere;
    return lastStep(end, progress);
}

NextStep lastStep(AttemptEnd end, const CallProgress &progress)
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
