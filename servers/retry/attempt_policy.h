#pragma once

#include "servers/catalog/serving_config.h"

#include <absl/time/time.h>
#include <string_view>

namespace foxtailtally {

/** How one attempt at a server ended without a usable response. */
enum class AttemptEnd {
    /** No byte of the call reached the server. */
    NotSent,
    /** Nothing was sent, since the permission to send expired while the connection was established:
     * the server drains, has requested a pause, or the token for it has expired. */
    NotPermitted,
    /** The server reported that it rejected the call and will never run it. */
    Rejected,
    /** The server ran the call and reported a failure. */
    ServerFailed,
    /** The connection broke, or the server sent something other than a response to this call. The
     * call may have run. */
    Lost,
    /** An idle connection on which the call was sent was closed at once, before any byte of a
     * response. The server may have dropped the connection while it was idle, or have crashed. */
    Dropped,
    /** The server sent nothing for much longer than expected; the call may still be running. */
    Silent,
    /** The server makes progress, but too slowly for this call. */
    Overdue,
    /** Another attempt of the same call has delivered the next event of the stream. */
    Superseded,
};

/** Stable snake_case name for logs. */
std::string_view attemptEndName(AttemptEnd end);

/** State of a call after one of its attempts has ended. */
struct CallProgress
{
    bool isRepeatable = false;
    /** Attempts that ran or may have run, including the one that just ended. */
    int runs = 0;
    /** More by one for each repetition at the server of a Dropped attempt. */
    int maxRuns = 1;
    /** Attempts that certainly did not run. */
    int rejections = 0;
    /** Part of the response has been sent to the caller. */
    bool hasAnswerBegun = false;
    /** Several servers have crashed while they ran the call; no other may get it. */
    bool isQuarantined = false;
};

enum class NextStep {
    /** Send the call to another server, if the retry budget allows it. */
    TryElsewhere,
    /** Tell the caller that the call has not run, and when to retry. */
    AnswerNotRun,
    /** Forward the failure that the server reported. */
    PassServerFailure,
    /** Tell the caller that the outcome is unknown. */
    AnswerOutcomeUnknown,
    /** Close the connection: the response has begun and cannot be completed. */
    BreakOff,
};

/** Rejections after which a call is not sent to another server. */
constexpr int kMaxRejections = 3;

/** What is known of a stream and its server when deciding whether to migrate the stream. */
struct MigrationEvidence
{
    bool isRepeatable = false;
    /** Attempts that ran before this one. */
    int earlierRuns = 0;
    int maxRuns = 1;
    /** The server has sent nothing for much longer than expected. */
    bool isSilent = false;
    /** The server no longer accepts connections. */
    bool isUnresponsive = false;
    /** Time since the last byte from the server. */
    absl::Duration silentFor = absl::ZeroDuration();
    /** Time since the last byte from the server or the last connection that it accepted; before
     * that it lived. */
    absl::Duration unprovenFor = absl::ZeroDuration();
    /** Other servers have memory reserved for the stream. */
    bool holdsMemory = false;
    /** The stream has had no event for most of Route::streamIdleTimeout(). */
    bool isOverdue = false;
    /** The stream has been sent to another server too. */
    bool hasReplacement = false;
    /** Another server is expected to send the next event in time. */
    bool hasBetterServer = false;
};

/**
 * Whether a stream is also sent to another server. Silence alone is not enough: an engine is also
 * silent while it prefills a long prompt. The first attempt goes on until one of the two delivers
 * the next event, since a silent server may be sound, and the other server may reject the stream or
 * fail.
 */
bool shouldMigrate(const MigrationEvidence &evidence);

/** Time without a sign of life after which an attempt is ended if other servers have memory
 * reserved for it and its server is unresponsive, or silent and replaced. Users require memory to
 * be free four seconds after its last request has ended, which it had not at the last sign of life.
 */
constexpr absl::Duration kMaxUnprovenMemoryHold = absl::Milliseconds(3400);

/** Whether the attempt of a stream is ended although no other server has taken over: only to free
 * the memory that is reserved for it elsewhere. */
bool shouldAbandon(const MigrationEvidence &evidence);

/** Time after which an idempotent call is also sent to a second server. @p meanResponseTime: of the
 * first server. */
absl::Duration hedgeDelay(absl::Duration meanResponseTime, absl::Duration objective);

/** What to do after an attempt that ended with @p end. */
NextStep nextStep(AttemptEnd end, const CallProgress &progress);

/** What to do when nextStep() returned TryElsewhere, but no server or retry budget is left. */
NextStep fallbackStep(AttemptEnd end, const CallProgress &progress);

} // namespace foxtailtally
