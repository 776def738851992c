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

/** Limits for the handling of one request at its entry instance. */
struct RequestSessionOptions
{
    /** Maximum reservations until the candidates are tried from the start again. */
    int maxReservations = 4;
    /** Maximum starts on an engine, including the first. */
    int maxStarts = 3;
    /** Unsent bytes for the caller above which the engine stream is paused. */
    std::size_t bufferBytes = 49152;
    /** A paused engine stream is cancelled after this time, which frees the engine's memory. */
    absl::Duration maxPause = absl::Seconds(10);
    /** The failure is sent this long before the deadline, so that it arrives in time. */
    absl::Duration answerMargin = absl::Milliseconds(30);
};

/** Request a permit from the owner of @p group; onReserveReply() receives the reply. */
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
    /** Offset of the first token that the stream must deliver. */
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

/** A server broke the stream of this request, which may have crashed the server. */
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

/** The complete response has been sent. */
struct FinishAnswer
{
    std::int64_t tokens = 0;
};

/** Final response when no token has been sent. */
struct RefuseRequest
{
    Refusal refusal;
};

/** Final response after tokens have been sent: the stream ends with an error event. */
struct FailAnswer
{
    RefusalReason reason = RefusalReason::Internal;
};

using SessionAction =
    std::variant<SendReserve, CancelReserve, StartEngine, CancelEngine, PauseEngine, ResumeEngine,
                 ReleasePermit, ReportSuspect, SendToken, FinishAnswer, RefuseRequest, FailAnswer>;
using SessionActions = std::vector<SessionAction>;

/** Reply of a group's owner to a reservation. */
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
 * State machine for one completion request at its entry instance, from admission to the last token.
 * Guarantees: exactly one final action, before the deadline; each token is sent once and in order;
 * a refusal says notRun only when no engine can have run the request; every granted permit is
 * released.
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
    /**
     * @p error is zero when the engine sent its complete response. ServerOverloaded and
     * ConnectionFailed mean that it did not run the request.
     */
    SessionActions onEngineDone(std::uint64_t attempt, std::error_code error, absl::Time now);
    /** @p pendingBytes are not yet sent to the caller. */
    SessionActions onSendProgress(std::size_t pendingBytes, absl::Time now);
    SessionActions onCallerGone(absl::Time now);
    SessionActions onTick(absl::Time now);

    /** Changes the limit above which the engine stream is paused. */
    void setBufferBytes(std::size_t bytes) { this->options.bufferBytes = bytes; }

    bool isFinished() const { return this->phase == Phase::Finished; }
    const RequestProfile &profile() const { return this->request; }
    std::int64_t tokensSent() const { return this->nextOffset; }

private:
    /** Parked: the engine was cancelled after a long pause; a new one starts when the caller reads.
     */
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
    /** True once an engine may have run the request. */
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
