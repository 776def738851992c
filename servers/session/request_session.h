#pragma once

#include "core/error.h"
#include "core/refusal.h"
#include "core/request.h"
#include "core/reservation.h"

#include <absl/container/inlined_vector.h>
#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Limits of one request's handling at its entry instance. */
struct RequestSessionOptions
{
    /** Reservations asked for in all, the first included. */
    int maxReservations = 4;
    /** Times the request may be started on an engine, the first included. */
    int maxStarts = 3;
    /** Bytes that may wait for the caller before the engine stream is paused. */
    std::size_t bufferBytes = 49152;
    /** A paused engine stream is cancelled after this time, which frees the engine's memory. */
    absl::Duration maxPause = absl::Seconds(10);
    /** The failure is sent this long before the deadline, so that it arrives within it. */
    absl::Duration answerMargin = absl::Milliseconds(30);
};

/** Ask the owner of @p group for a permit; the answer comes with onReserveReply(). */
struct SendReserve
{
    std::uint64_t reservation = 0;
    GroupId group;
    RequestProfile profile;
};

struct CancelReserve
{
    std::uint64_t reservation = 0;
    GroupId group;
};

struct StartEngine
{
    std::uint64_t attempt = 0;
    Grant grant;
    std::vector<std::string> addresses;
    /** Token offset at which the stream starts. */
    std::int64_t resumeOffset = 0;
};

struct CancelEngine
{
    std::uint64_t attempt = 0;
};

struct PauseEngine
{
    std::uint64_t attempt = 0;
};

struct ResumeEngine
{
    std::uint64_t attempt = 0;
};

struct ReleasePermit
{
    GroupId group;
    PermitRelease release;
};

/** A server broke the stream of this request; it may be the request that killed it. */
struct ReportSuspect
{
    BackendServerId server;
    std::string address;
    /** Incarnation that the server had when the permit was granted. */
    Incarnation incarnation = 0;
};

struct SendToken
{
    std::int64_t offset = 0;
    std::string text;
};

/** The whole answer has been sent. */
struct FinishAnswer
{
    std::int64_t tokens = 0;
};

/** Final answer when no token has been sent. */
struct RefuseRequest
{
    Refusal refusal;
};

/** Final answer after tokens have been sent: the stream ends with an error event. */
struct FailAnswer
{
    RefusalReason reason = RefusalReason::Internal;
};

using SessionAction =
    std::variant<SendReserve, CancelReserve, StartEngine, CancelEngine, PauseEngine, ResumeEngine,
                 ReleasePermit, ReportSuspect, SendToken, FinishAnswer, RefuseRequest, FailAnswer>;
using SessionActions = std::vector<SessionAction>;

/** Reply of a group's owner. */
struct ReserveReply
{
    GroupId group;
    bool granted = false;
    Grant grant;
    /** Address and incarnation of each server of the grant, in the same order. */
    std::vector<std::string> addresses;
    std::vector<Incarnation> incarnations;
    Refusal refusal;
};

/**
 * Decides what happens to one completion request at its entry instance, from admission to the last
 * token. Guarantees: exactly one final action, before the deadline; tokens go out once each and in
 * order; a refusal says notRun only when no engine can have received the request; every granted
 * permit is released.
 */
class RequestSession
{
public:
    RequestSession(RequestProfile profile, const RequestSessionOptions &options);

    /** @p candidates are groups in order of preference. */
    SessionActions start(std::vector<GroupId> candidates, absl::Time now);
    SessionActions onReserveReply(std::uint64_t reservation, const ReserveReply &reply,
                                  absl::Time now);
    /** The owner could not be reached or its connection broke. */
    SessionActions onReserveFailed(std::uint64_t reservation, absl::Time now);
    SessionActions onEngineToken(std::uint64_t attempt, std::int64_t offset, std::string_view text,
                                 absl::Time now);
    /** @p error is zero when the engine sent its whole answer. ServerOverloaded means it ran
     * nothing. */
    SessionActions onEngineDone(std::uint64_t attempt, std::error_code error, absl::Time now);
    /** @p pendingBytes wait for the caller's connection. */
    SessionActions onSendProgress(std::size_t pendingBytes, absl::Time now);
    SessionActions onCallerGone(absl::Time now);
    SessionActions onTick(absl::Time now);

    /** Changes the limit above which the engine stream is paused. */
    void setBufferBytes(std::size_t bytes) { this->options.bufferBytes = bytes; }

    bool isFinished() const { return this->phase == Phase::Finished; }
    const RequestProfile &profile() const { return this->request; }
    std::int64_t tokensSent() const { return this->nextOffset; }

private:
    enum class Phase { Idle, Reserving, Streaming, Parked, Finished };

    void reserveNext(SessionActions &actions, absl::Time now);
    void releasePermit(SessionActions &actions, PermitOutcome outcome, absl::Time now);
    void stopEngine(SessionActions &actions, PermitOutcome outcome, absl::Time now);
    void retryAfterServerLoss(SessionActions &actions, absl::Time now);
    void restartCandidates();
    void giveUp(SessionActions &actions, RefusalReason reason, absl::Duration retryAfter);
    void recordRefusal(const Refusal &refusal);
    bool isDeadlineReached(absl::Time now) const;

    RequestProfile request;
    RequestSessionOptions options;
    Phase phase = Phase::Idle;
    std::vector<GroupId> candidates;
    std::size_t nextCandidate = 0;
    int reservationsSent = 0;
    int starts = 0;
    /** True from the moment an engine may have received the request. */
    bool mayHaveRun = false;
    bool mayHaveRunBeforeAttempt = false;

    std::uint64_t reservation = 0;
    GroupId group;
    absl::Time reservedAt;
    Refusal lastRefusal;

    std::uint64_t attempt = 0;
    Grant grant;
    std::string serverAddress;
    Incarnation serverIncarnation = 0;
    absl::Time startedAt;
    absl::Duration timeToFirstToken = absl::ZeroDuration();
    std::int64_t nextOffset = 0;
    std::int64_t attemptStartOffset = 0;
    std::size_t pendingBytes = 0;
    bool paused = false;
    absl::Time pausedAt;
};

} // namespace foxtailtally
