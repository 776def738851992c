#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

/** How an attempt was lost, as far as it tells whether the call ended its server. */
struct LossEvidence
{
    /** The connection had come about and broke, or its server takes no further ones. */
    bool isConnectionBroken = false;
    /** The server had begun to answer a call that is not a stream. */
    bool hasAnswerBegun = false;
    /** Time since the first event of a stream; zero while there is none. */
    absl::Duration streamingFor = absl::ZeroDuration();
};

/** A call that crashes servers does so when it begins to run; the first event of a stream may just
 * get out before its connection breaks. */
inline constexpr absl::Duration kCrashDelay = absl::Milliseconds(200);

/** The server may have ended because it began to run the call. */
inline bool mayHaveCrashedServer(const LossEvidence &evidence)
{
    return evidence.isConnectionBroken && !evidence.hasAnswerBegun
        && evidence.streamingFor <= kCrashDelay;
}

} // namespace foxtailtally
