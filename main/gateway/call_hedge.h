#pragma once

#include "main/gateway/call_attempt.h"
#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** Tells the hedge policy about one call, and when a second copy of it is due. */
class CallHedge
{
public:
    CallHedge(GatewayContext &context, CallState &state)
        : context(context)
        , state(state)
    { }

    /** Time after which a plain call that was sent to @p server is hedged. */
    absl::Duration delayAt(ServerKey server) const;
    /** Time after which a stream is hedged that was sent to the engine of @p placement; infinite if
     * it is not to be. */
    absl::Duration delayAt(const PlacedStream &placement) const;
    /** A copy is within the operator's limit, or there is none. */
    bool mayCopy(absl::Time now) const;
    /** A copy of the stream, which has only this attempt, is due and within the limit. */
    bool isDue(const CallAttempt &attempt, absl::Time now) const;
    void countCopy(absl::Time now);

    /** A plain call was answered after @p time. */
    void recordResponse(absl::Duration time);
    /** The first event of @p attempt has arrived. */
    void recordFirstEvent(const CallAttempt &attempt, absl::Time now);
    /** @p attempt is cancelled before its response. */
    void recordNoResponse(const CallAttempt &attempt, absl::Time now);

private:
    GatewayContext &context;
    CallState &state;
};

} // namespace foxtailtally
