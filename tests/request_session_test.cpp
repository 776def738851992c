#include "servers/session/request_session.h"

#include "core/random.h"

#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <set>

namespace foxtailtally {

namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kDeadline = absl::Seconds(3);
constexpr std::int64_t kAnswerTokens = 20;
/** With this many steps between two tokens a response takes longer than the deadline. */
constexpr std::uint64_t kSlowTokenSteps = 60;

/**
 * Simulates owners, engines and a caller with random behavior. Records the sent tokens, the open
 * permits and whether an engine received the request, to check the session against them.
 */
class SessionModel
{
public:
    explicit SessionModel(std::uint64_t seed)
        : random(seed)
        , meanTokenSteps(this->random.below(3) == 0 ? kSlowTokenSteps : 3)
        , session(profile(),
                  RequestSessionOptions {4, 3, 40, absl::Milliseconds(200), absl::Milliseconds(30)})
    { }

    void run()
    {
        this->apply(this->session.start({GroupId("a"), GroupId("b"), GroupId("c")}, this->now));
        while (this->now < absl::UnixEpoch() + kDeadline + absl::Seconds(1)) {
            this->now += kStep;
            this->stepOwners();
            this->stepEngines();
            this->stepCaller();
            this->apply(this->session.onTick(this->now));
        }
    }

    void check() const
    {
        RC_ASSERT(this->finalResponses == 1);
        RC_ASSERT(this->finishedAt <= absl::UnixEpoch() + kDeadline);
        RC_ASSERT(this->openPermits.empty());
        RC_ASSERT(this->runningAttempts.empty());
        if (this->saidNotRun)
            RC_ASSERT(!this->engineReceived);
        if (this->finishedWhole)
            RC_ASSERT(this->sentTokens == kAnswerTokens);
    }

private:
    struct EngineRun
    {
        std::int64_t next = 0;
        bool paused = false;
    };

    static RequestProfile profile()
    {
        RequestProfile profile;
        profile.id = RequestId("r");
        profile.promptTokens = 1000;
        profile.maxNewTokens = kAnswerTokens;
        profile.deadline = absl::UnixEpoch() + kDeadline;
        return profile;
    }

    void stepOwners()
    {
        if (!this->openReservation || this->random.below(4) != 0)
            return;
        const std::uint64_t id = *this->openReservation;
        const std::uint64_t kind = this->random.below(6);
        this->openReservation.reset();
        if (kind == 0)
            return this->apply(this->session.onReserveFailed(id, this->now));
        ReserveReply reply;
        reply.refusal = {RefusalReason::QueueFull, true, absl::Seconds(1)};
        if (kind > 1) {
            reply.granted = true;
            reply.grant.permit = ++this->lastPermit;
            reply.grant.servers = {BackendServerId("s")};
            reply.grant.startBy = absl::Milliseconds(50);
            this->openPermits.insert(this->lastPermit);
        }
        this->apply(this->session.onReserveReply(id, reply, this->now));
    }

    void stepEngines()
    {
        // Iterates over a copy, since an event may start or cancel runs. Cancelled runs still send
        // late events.
        for (const auto &[attempt, run] : std::map<std::uint64_t, EngineRun>(this->runs)) {
            if (run.paused || this->random.below(this->meanTokenSteps) != 0)
                continue;
            const std::uint64_t kind = this->random.below(40);
            if (kind == 0)
                this->endRun(attempt, Error::ConnectionLost);
            else if (kind == 1)
                this->apply(this->session.onEngineToken(attempt, run.next + 1, "gap", this->now));
            else if (kind == 2 && run.next > 0)
                this->apply(this->session.onEngineToken(attempt, run.next - 1, "again", this->now));
            else if (run.next == kAnswerTokens)
                this->endRun(attempt, {});
            else
                this->sendToken(attempt, run.next);
        }
    }

    void sendToken(std::uint64_t attempt, std::int64_t offset)
    {
        this->runs[attempt].next += 1;
        this->apply(this->session.onEngineToken(attempt, offset, "token", this->now));
    }

    void endRun(std::uint64_t attempt, std::error_code error)
    {
        this->runs.erase(attempt);
        this->runningAttempts.erase(attempt);
        this->apply(this->session.onEngineDone(attempt, error, this->now));
    }

    void stepCaller()
    {
        if (this->random.below(8) == 0) {
            this->pending = this->random.below(2) == 0 ? 0 : this->pending;
            this->apply(this->session.onSendProgress(this->pending, this->now));
        }
        if (this->random.below(400) == 0)
            this->apply(this->session.onCallerGone(this->now));
    }

    void apply(const SessionActions &actions)
    {
        for (const SessionAction &action : actions)
            std::visit([this](const auto &typed) { this->on(typed); }, action);
    }

    void on(const SendReserve &action) { this->openReservation = action.reservation; }
    void on(const CancelReserve &action)
    {
        // Half of the cancellations cross with a grant.
        if (this->random.below(2) == 0) {
            this->openReservation.reset();
            return;
        }
        this->openReservation = action.reservation;
    }
    void on(const StartEngine &action)
    {
        this->openReservation.reset();
        this->runningAttempts.insert(action.attempt);
        if (this->random.below(5) == 0) {
            this->refusedAttempts.insert(action.attempt);
            this->runs.erase(action.attempt);
            this->runningAttempts.erase(action.attempt);
            this->apply(
                this->session.onEngineDone(action.attempt, Error::ServerOverloaded, this->now));
            return;
        }
        this->engineReceived = true;
        RC_ASSERT(action.resumeOffset == this->sentTokens);
        this->runs[action.attempt] = {action.resumeOffset, false};
    }
    void on(const CancelEngine &action) { this->runningAttempts.erase(action.attempt); }
    void on(const PauseEngine &action) { this->runs[action.attempt].paused = true; }
    void on(const ResumeEngine &action) { this->runs[action.attempt].paused = false; }
    void on(const ReleasePermit &action)
    {
        RC_ASSERT(this->openPermits.erase(action.release.permit) == 1U);
    }
    void on(const ReportSuspect & /*action*/) { }
    void on(const SendToken &action)
    {
        RC_ASSERT(this->finalResponses == 0);
        RC_ASSERT(action.offset == this->sentTokens);
        RC_ASSERT(action.text == "token");
        this->sentTokens += 1;
        this->pending += action.text.size();
    }
    void on(const FinishAnswer & /*action*/)
    {
        this->finishedWhole = true;
        this->onFinal();
    }
    void on(const RefuseRequest &action)
    {
        RC_ASSERT(this->sentTokens == 0);
        this->saidNotRun = action.refusal.notRun;
        this->onFinal();
    }
    void on(const FailAnswer & /*action*/) { this->onFinal(); }
    void onFinal()
    {
        this->finalResponses += 1;
        this->finishedAt = this->now;
    }

    Random random;
    /** Mean number of steps between two events of an engine. */
    std::uint64_t meanTokenSteps;
    absl::Time now = absl::UnixEpoch();
    RequestSession session;
    std::optional<std::uint64_t> openReservation;
    PermitId lastPermit = 0;
    std::set<PermitId> openPermits;
    std::set<std::uint64_t> runningAttempts;
    std::set<std::uint64_t> refusedAttempts;
    std::map<std::uint64_t, EngineRun> runs;
    std::size_t pending = 0;
    std::int64_t sentTokens = 0;
    bool engineReceived = false;
    bool saidNotRun = false;
    bool finishedWhole = false;
    int finalResponses = 0;
    absl::Time finishedAt = absl::InfiniteFuture();
};

} // namespace

// Guards against two final responses, responses after the deadline, tokens that are lost,
// duplicated or out of order, permits that are never released, and refusals that claim notRun after
// an engine received the request.
TEST(RequestSessionTest, OneTruthfulAnswerInTimeUnderRandomFailures)
{
    EXPECT_TRUE(rc::check("request session", [](std::uint64_t seed) {
        SessionModel model(seed);
        model.run();
        model.check();
    }));
}

// Guards against engine memory that stays reserved for a caller that has stopped reading.
TEST(RequestSessionTest, LongPauseFreesTheEngineAndResumesAtTheOffset)
{
    RequestProfile profile;
    profile.deadline = absl::UnixEpoch() + absl::Seconds(60);
    RequestSession session(profile, {4, 3, 4, absl::Seconds(10), absl::Milliseconds(30)});
    absl::Time now = absl::UnixEpoch();
    (void)session.start({GroupId("a")}, now);
    ReserveReply reply;
    reply.granted = true;
    (void)session.onReserveReply(1, reply, now);
    const auto paused = session.onEngineToken(1, 0, "token", now);
    ASSERT_TRUE(std::holds_alternative<PauseEngine>(paused.back()));
    now += absl::Seconds(10);
    const auto parked = session.onTick(now);
    ASSERT_EQ(parked.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<CancelEngine>(parked[0]));
    EXPECT_TRUE(std::holds_alternative<ReleasePermit>(parked[1]));
    const auto drained = session.onSendProgress(0, now);
    ASSERT_EQ(drained.size(), 1U);
    (void)session.onReserveReply(std::get<SendReserve>(drained[0]).reservation, reply, now);
    const auto resumed = session.onEngineToken(2, 1, "next", now);
    EXPECT_TRUE(std::holds_alternative<SendToken>(resumed.front()));
}

} // namespace foxtailtally
