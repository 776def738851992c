#include "servers/session/action_session.h"

#include <utility>

namespace foxtailtally {

namespace {

/** Maximum dispatches of one repeatable call, including the first. */
constexpr int kMaxDispatches = 3;
/** The final response is sent this long before the deadline, so that it arrives in time. */
constexpr absl::Duration kAnswerMargin = absl::Milliseconds(30);
constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);

} // namespace

ActionSession::ActionSession(ActionProfile profile)
    : action(std::move(profile))
{ }

ActionSessionActions ActionSession::start(absl::Time /*now*/)
{
    ActionSessionActions actions;
    if (this->action.isRepeatable) {
        this->dispatch(actions);
        return actions;
    }
    this->phase = Phase::Claiming;
    actions.emplace_back(SendClaim {});
    return actions;
}

ActionSessionActions ActionSession::onClaimGranted(const ActionClaim &granted, absl::Time now)
{
    ActionSessionActions actions;
    const bool mayDispatch = this->phase == Phase::Claiming && !this->isDeadlineReached(now);
    if (!mayDispatch) {
        actions.emplace_back(RecordOutcome {granted, ActionOutcome::NotRun, ""});
        if (this->phase == Phase::Claiming)
            this->refuse(RefusalReason::TimedOut, true, kDefaultRetryAfter, actions);
        return actions;
    }
    this->claim = granted;
    this->dispatch(actions);
    return actions;
}

ActionSessionActions ActionSession::onClaimRefused(const Refusal &refusal, absl::Time /*now*/)
{
    ActionSessionActions actions;
    if (this->phase == Phase::Claiming)
        this->refuse(refusal.reason, refusal.notRun, refusal.retryAfter, actions);
    return actions;
}

ActionSessionActions ActionSession::onClaimReplay(const std::string &text, bool isAnswerKept,
                                                  absl::Time /*now*/)
{
    ActionSessionActions actions;
    if (this->phase != Phase::Claiming)
        return actions;
    if (isAnswerKept)
        this->answer(text, true, actions);
    else
        this->refuse(RefusalReason::OutcomeUnknown, false, absl::ZeroDuration(), actions);
    return actions;
}

ActionSessionActions ActionSession::onCallDone(const CallEnd &end, absl::Time now)
{
    ActionSessionActions actions;
    this->inFlight = false;
    if (this->action.isRepeatable)
        this->onRepeatableEnd(end, actions, now);
    else
        this->onActionEnd(end, actions);
    return actions;
}

ActionSessionActions ActionSession::onTick(absl::Time now)
{
    ActionSessionActions actions;
    if (this->phase == Phase::Idle || this->phase == Phase::Finished
        || !this->isDeadlineReached(now))
        return actions;
    const bool isAction = !this->action.isRepeatable;
    if (isAction && this->phase == Phase::Calling) {
        actions.emplace_back(RecordOutcome {this->claim, ActionOutcome::Unknown, ""});
        this->refuse(RefusalReason::OutcomeUnknown, false, kDefaultRetryAfter, actions);
        return actions;
    }
    // Until the claim is decided, another request with the same key may be running the action.
    const bool notRun = !isAction && !this->inFlight && !this->mayHaveRun;
    this->refuse(RefusalReason::TimedOut, notRun, kDefaultRetryAfter, actions);
    return actions;
}

void ActionSession::dispatch(ActionSessionActions &actions)
{
    this->phase = Phase::Calling;
    this->inFlight = true;
    this->dispatched += 1;
    actions.emplace_back(DispatchCall {this->dispatched, this->claim.fence});
}

void ActionSession::onActionEnd(const CallEnd &end, ActionSessionActions &actions)
{
    const bool isLate = this->phase == Phase::Finished;
    if (!end.error) {
        // A late response is recorded too, so that a later request with the same key receives it.
        actions.emplace_back(RecordOutcome {this->claim, ActionOutcome::Done, end.answer});
        if (!isLate)
            this->answer(end.answer, false, actions);
        return;
    }
    if (isLate)
        return;
    if (end.mayHaveRun || end.error == Error::FenceRejected) {
        // A rejected fence means that a newer attempt exists, whose outcome is unknown here.
        actions.emplace_back(RecordOutcome {this->claim, ActionOutcome::Unknown, ""});
        return this->refuse(RefusalReason::OutcomeUnknown, false, kDefaultRetryAfter, actions);
    }
    actions.emplace_back(RecordOutcome {this->claim, ActionOutcome::NotRun, ""});
    this->refuse(RefusalReason::NoServer, true, kDefaultRetryAfter, actions);
}

void ActionSession::onRepeatableEnd(const CallEnd &end, ActionSessionActions &actions,
                                    absl::Time now)
{
    if (this->phase == Phase::Finished)
        return;
    if (!end.error)
        return this->answer(end.answer, false, actions);
    this->mayHaveRun = this->mayHaveRun || end.mayHaveRun;
    const bool mayRetry = this->dispatched < kMaxDispatches && !this->isDeadlineReached(now);
    if (mayRetry)
        return this->dispatch(actions);
    this->refuse(RefusalReason::ServerLost, !this->mayHaveRun, kDefaultRetryAfter, actions);
}

bool ActionSession::isDeadlineReached(absl::Time now) const
{
    return now + kAnswerMargin >= this->action.deadline;
}

void ActionSession::answer(std::string text, bool isReplayed, ActionSessionActions &actions)
{
    this->phase = Phase::Finished;
    this->answered = true;
    actions.emplace_back(AnswerAction {std::move(text), isReplayed});
}

void ActionSession::refuse(RefusalReason reason, bool notRun, absl::Duration retryAfter,
                           ActionSessionActions &actions)
{
    this->phase = Phase::Finished;
    this->answered = true;
    actions.emplace_back(RefuseCall {{reason, notRun, retryAfter}});
}

} // namespace foxtailtally
