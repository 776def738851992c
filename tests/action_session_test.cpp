#include "servers/session/action_session.h"

#include "core/random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

constexpr absl::Duration kDeadline = absl::Seconds(2);
constexpr absl::Duration kStep = absl::Milliseconds(10);

/** Simulates the claim log, the service and the clock at random, and checks one action. */
class ActionModel
{
public:
    ActionModel(std::uint64_t seed, bool isRepeatable)
        : random(seed)
        , session(profile(isRepeatable))
    { }

    void run()
    {
        this->apply(this->session.start(this->now));
        while (this->now < absl::UnixEpoch() + kDeadline + absl::Seconds(2)) {
            this->now += kStep;
            if (this->isClaiming && this->random.below(30) == 0)
                this->answerClaim();
            if (this->isCalling && this->random.below(30) == 0)
                this->endCall();
            this->apply(this->session.onTick(this->now));
        }
    }

    void check() const
    {
        const bool isAction = !this->session.profile().isRepeatable;
        RC_ASSERT(this->finalResponses == 1);
        RC_ASSERT(this->finishedAt <= absl::UnixEpoch() + kDeadline);
        if (isAction)
            RC_ASSERT(this->dispatches <= 1);
        if (this->saidNotRun)
            RC_ASSERT(this->runs == 0);
        // A granted claim must end with a recorded outcome; otherwise a later request with the same
        // key would wait until the claim expires.
        if (isAction && this->claimsGranted > 0 && !this->isCalling)
            RC_ASSERT(this->records >= 1);
    }

private:
    static ActionProfile profile(bool isRepeatable)
    {
        ActionProfile profile;
        profile.isRepeatable = isRepeatable;
        profile.deadline = absl::UnixEpoch() + kDeadline;
        return profile;
    }

    void answerClaim()
    {
        this->isClaiming = false;
        const std::uint64_t kind = this->random.below(6);
        if (kind == 0)
            return this->apply(this->session.onClaimRefused(
                {RefusalReason::StoreUnavailable, true, absl::Seconds(1)}, this->now));
        if (kind == 1)
            return this->apply(this->session.onClaimReplay("first", true, this->now));
        this->claimsGranted += 1;
        this->apply(this->session.onClaimGranted({{}, 1, 1}, this->now));
    }

    void endCall()
    {
        this->isCalling = false;
        const std::uint64_t kind = this->random.below(4);
        if (kind == 0)
            return this->apply(
                this->session.onCallDone({Error::ConnectionFailed, false, ""}, this->now));
        // The service ran the call, whether or not its response arrives.
        this->runs += 1;
        if (kind == 1)
            return this->apply(
                this->session.onCallDone({Error::ConnectionLost, true, ""}, this->now));
        this->apply(this->session.onCallDone({{}, true, "done"}, this->now));
    }

    void apply(const ActionSessionActions &actions)
    {
        for (const ActionSessionAction &action : actions)
            std::visit([this](const auto &typed) { this->on(typed); }, action);
    }
    void on(const SendClaim & /*action*/) { this->isClaiming = true; }
    void on(const DispatchCall & /*action*/)
    {
        RC_ASSERT(this->now < absl::UnixEpoch() + kDeadline);
        this->isCalling = true;
        this->dispatches += 1;
    }
    void on(const RecordOutcome &action)
    {
        this->records += 1;
        if (action.outcome == ActionOutcome::NotRun)
            RC_ASSERT(this->runs == 0);
    }
    void on(const AnswerAction & /*action*/) { this->onFinal(); }
    void on(const RefuseCall &action)
    {
        this->saidNotRun = action.refusal.notRun;
        // The service may still run a call that is in flight.
        if (this->isCalling)
            RC_ASSERT(!this->saidNotRun);
        this->onFinal();
    }
    void onFinal()
    {
        this->finalResponses += 1;
        this->finishedAt = this->now;
    }

    Random random;
    absl::Time now = absl::UnixEpoch();
    ActionSession session;
    bool isClaiming = false;
    bool isCalling = false;
    int claimsGranted = 0;
    int dispatches = 0;
    int runs = 0;
    int records = 0;
    int finalResponses = 0;
    bool saidNotRun = false;
    absl::Time finishedAt = absl::InfiniteFuture();
};

} // namespace

// Guards against a second dispatch of an action, a dispatch after the deadline, a "not run" that is
// or may become false, and a response that is missing, duplicated or late.
TEST(ActionSessionTest, AtMostOneDispatchAndOneTruthfulAnswer)
{
    EXPECT_TRUE(rc::check("action session", [](std::uint64_t seed, bool isRepeatable) {
        ActionModel model(seed, isRepeatable);
        model.run();
        model.check();
    }));
}

} // namespace foxtailtally
