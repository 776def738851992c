#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

/** How an attempt was lost, as far as it shows whether the call crashed its server. */
struct CrashEvidence
{
    /** The established connection broke, or its server is unresponsive. */
    bool isConnectionBroken = false;
    /** The server had begun to respond to a call that is not a stream. */
    bool hasAnswerBegun = false;
    /** Time since the first event of a stream; zero before it. */
    absl::Duration streamingFor = absl::ZeroDuration();
    /** Time since the last byte from a server that did not accept the last connection, or since the
     * call was sent to it; it may have crashed at any moment since. Zero for other servers: their
     * connections break when they crash. */
    absl::Duration silentFor = absl::ZeroDuration();
    /** The server was only silent, or connections to it timed out; its process may go on. */
    bool isUnconfirmed = false;
    /** An idle connection was closed when the call was sent on it; its process may go on. */
    bool wasDropped = false;
    /** How long that connection had been idle. */
    absl::Duration idleTime = absl::ZeroDuration();
};

/** Longest time from the first event of a stream to a crash that the call may have caused. A call
 * that crashes servers does so when it begins to run, so at most the first event gets out before
 * the connection breaks. */
inline constexpr absl::Duration kCrashDelay = absl::Milliseconds(200);

/** Crashes with one cause, such as a power failure, are noticed within this time of each other.
 * Long enough for another call to be sent and served, which shows that what it has in common with
 * the lost ones does not crash servers. */
inline constexpr absl::Duration kCommonCauseWindow = absl::Seconds(1);

/** Start of the time in which a crash of another server may have had the same cause as the one that
 * is noticed at @p now. */
inline absl::Time commonCauseSince(const CrashEvidence &evidence, absl::Time now)
{
    return now - kCommonCauseWindow - evidence.silentFor;
}

/** Whether the server may have crashed because it began to run the call. */
inline bool mayHaveCrashedServer(const CrashEvidence &evidence)
{
    return evidence.isConnectionBroken && !evidence.hasAnswerBegun
        && evidence.streamingFor <= kCrashDelay;
}

} // namespace foxtailtally
