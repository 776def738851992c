#pragma once

#include "servers/catalog/serving_config.h"

#include <absl/time/time.h>
#include <string_view>

namespace foxtailtally {

/** How one attempt at a server ended without a usable answer. */
enum class AttemptEnd {
    /** No byte of the call reached the server. */
    NotSent,
    /** The server said that it rejected the call and never runs it. */
    Rejected,
    /** The server ran the call and answered that it failed. */
    ServerFailed,
    /** The connection broke, or what came was no answer to this call; it may have run. */
    Lost,
    /** Nothing came for much longer than planned; it may be running. */
    Silent,
    /** The server works, but too slowly for this call. */
    Overdue,
};

/** Stable snake_case name for logs. */
std::string_view attemptEndName(AttemptEnd end);

/** What is known of a call after one of its attempts ended. */
struct CallProgress
{
    bool isRepeatable = false;
    /** Attempts that ran or may have run, the one that just ended included. */
    int runs = 0;
    int maxRuns = 1;
    /** Attempts that certainly did not run. */
    int rejections = 0;
    /** Part of the answer has gone to the caller. */
    bool hasAnswerBegun = false;
    /** Several servers have ended under the call; no further one may get it. */
    bool isQuarantined = false;
};

enum class NextStep {
    /** Send the call to another server, if the retry budget allows it. */
    TryElsewhere,
    /** Tell the caller that the call has not run, and when to come back. */
    AnswerNotRun,
    /** Pass on the failure that the server answered. */
    PassServerFailure,
    /** Tell the caller that the outcome is unknown. */
    AnswerOutcomeUnknown,
    /** Break the connection: the answer has begun and cannot be completed. */
    BreakOff,
};

/** Servers that are asked for one call although earlier ones rejected it. */
constexpr int kMaxRejections = 3;

/** What speaks for taking a stream from the server that it is at. */
struct MigrationEvidence
{
    bool isRepeatable = false;
    /** Attempts that ran before this one. */
    int earlierRuns = 0;
    int maxRuns = 1;
    /** Nothing came from the server for much longer than planned. */
    bool isSilent = false;
    /** The server takes no connections any more. */
    bool isDark = false;
    /** Other servers hold memory for the stream. */
    bool holdsMemory = false;
    /** The stream has had no event for most of the time that its caller waits. */
    bool isOverdue = false;
    /** Another server would bring the next event in good time. */
    bool hasBetterServer = false;
};

/**
 * True when the stream should go to another server. Silence alone is no reason: an engine that
 * reads a long prompt is silent too, and a stream that is taken from it without a better place is
 * lost. One that holds memory of others at a dark server is ended in any case.
 */
bool shouldMigrate(const MigrationEvidence &evidence);

/** Time after which an idempotent call is sent to a second server. @p usual: mean time of the first
 * server's answers. */
absl::Duration hedgeDelay(absl::Duration usual, absl::Duration objective);

/** What follows an attempt that ended with @p end. */
NextStep nextStep(AttemptEnd end, const CallProgress &progress);

/** What follows when nextStep() says TryElsewhere and no server or budget is left. */
NextStep lastStep(AttemptEnd end, const CallProgress &progress);

} // namespace foxtailtally
