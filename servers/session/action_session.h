#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/refusal.h"
#include "core/request.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace foxtailtally {

/** A call to a plain service as requested by a caller. */
struct ActionProfile
{
    RequestId id;
    CustomerId customer;
    std::string service;
    std::string call;
    /** Idempotency key; only for calls that are not repeatable. */
    std::string key;
    Fingerprint bodyFingerprint {};
    bool isRepeatable = false;
    /** The service rejects fences lower than one it has seen, so calls must carry the fence. */
    bool checksFence = false;
    absl::Time deadline = absl::InfiniteFuture();
};

/** Right to run an action once, granted by the claim log. */
struct ActionClaim
{
    Fingerprint key {};
    std::uint64_t attempt = 0;
    std::uint64_t fence = 0;
};

enum class ActionOutcome : std::uint8_t {
    Done,
    Unknown,
    NotRun,
};

/** Request a claim from the claim shard of the key. */
struct SendClaim
{ };

/** Send the call to the service; onCallDone() receives the result. */
struct DispatchCall
{
    /** Number of this dispatch, from 1; only repeatable calls have more than one. */
    int number = 1;
    std::uint64_t fence = 0;
};

/** Record how the claimed attempt ended. */
struct RecordOutcome
{
    ActionClaim claim;
    ActionOutcome outcome = ActionOutcome::Done;
    std::string answer;
};

struct AnswerAction
{
    std::string answer;
    /** The response was stored by an earlier request with the same key. */
    bool isReplayed = false;
};

struct RefuseCall
{
    Refusal refusal;
};

/** Result of one dispatch. */
struct CallEnd
{
    std::error_code error;
    /** False only when the service cannot have run the call. */
    bool mayHaveRun = true;
    std::string answer;
};

using ActionSessionAction =
    std::variant<SendClaim, DispatchCall, RecordOutcome, AnswerAction, RefuseCall>;
using ActionSessionActions = std::vector<ActionSessionAction>;

/**
 * State machine for one call to a plain service. A call that is not repeatable (an action) is
 * dispatched at most once, only after its claim is committed, and never after its deadline. The
 * caller gets exactly one final response, and it says notRun only when nothing can have run. After
 * a lost response an action is never dispatched again: a fence rejects older attempts, but does not
 * prevent a newer one from running the action a second time.
 */
class ActionSession
{
public:
    explicit ActionSession(ActionProfile profile);

    ActionSessionActions start(absl::Time now);
    ActionSessionActions onClaimGranted(const ActionClaim &claim, absl::Time now);
    ActionSessionActions onClaimRefused(const Refusal &refusal, absl::Time now);
    ActionSessionActions onClaimReplay(const std::string &answer, bool isAnswerKept,
                                       absl::Time now);
    ActionSessionActions onCallDone(const CallEnd &end, absl::Time now);
    ActionSessionActions onTick(absl::Time now);

    bool isAnswered() const { return this->answered; }
    /** The caller has its response and no call is in flight. */
    bool isOver() const { return this->answered && !this->inFlight; }
    const ActionProfile &profile() const { return this->action; }

private:
    enum class Phase { Idle, Claiming, Calling, Finished };

    bool isDeadlineReached(absl::Time now) const;
    void dispatch(ActionSessionActions &actions);
    void onActionEnd(const CallEnd &end, ActionSessionActions &actions);
    void onRepeatableEnd(const CallEnd &end, ActionSessionActions &actions, absl::Time now);
    void answer(std::string text, bool isReplayed, ActionSessionActions &actions);
    void refuse(RefusalReason reason, bool notRun, absl::Duration retryAfter,
                ActionSessionActions &actions);

    ActionProfile action;
    Phase phase = Phase::Idle;
    ActionClaim claim;
    int dispatched = 0;
    bool mayHaveRun = false;
    bool inFlight = false;
    bool answered = false;
};

} // namespace foxtailtally
