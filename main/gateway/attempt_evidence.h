#pragma once

#include "main/gateway/call_attempt.h"
#include "main/gateway/call_state.h"
#include "main/gateway/gateway_context.h"
#include "servers/quarantine/crash_evidence.h"
#include "servers/retry/attempt_policy.h"

#include <absl/time/time.h>
#include <string_view>

namespace foxtailtally {

/** A server from which no stream has received a byte for this long, and for this multiple of a
 * planned pass, counts as silent. Engines that have lost a helper stall for 1.5 s. */
inline constexpr absl::Duration kServerSilenceTimeout = absl::Milliseconds(1000);

/** What the attempts of a call show of their servers. */
class AttemptEvidence
{
public:
    AttemptEvidence(GatewayContext &context, CallState &state)
        : context(context)
        , state(state)
    { }

    /** Of an attempt that ended with @p end. @p call: of @p attempt, which may not hold it any
     * longer. */
    CrashEvidence loss(const ServerCall &call, const CallAttempt &attempt, AttemptEnd end,
                       absl::Time now) const;
    CrashEvidence crash(const ServerCall &call, const CallAttempt &attempt, bool isConnectionBroken,
                        absl::Time now) const;
    /** The same for a server that is only known to be silent. */
    CrashEvidence silence(const ServerCall &call, const CallAttempt &attempt, absl::Time now) const;
    /** Whether to migrate the stream, or to give it up, but for MigrationEvidence::hasBetterServer.
     * Has a silent server probed. @p hasReplacement: the stream is sent to another server too. */
    MigrationEvidence migration(const CallAttempt &attempt, bool hasReplacement,
                                absl::Time now) const;

    /** Records an event of the stream that has just arrived. */
    void recordEvent(const CallAttempt &attempt, absl::Time now);
    /** Keeps the attempt @p call, which ended without the call's response by @p end, static text.
     */
    void recordEnd(const ServerCall &call, std::string_view end);

private:
    /** Time of the last byte from the server of @p call, or at which the call was sent to it. */
    absl::Time lastSignAt(const ServerCall &call) const;
    /** Time without a byte from the server of @p attempt after which it counts as silent. */
    absl::Duration silenceTimeout(const CallAttempt &attempt, absl::Time now) const;

    GatewayContext &context;
    CallState &state;
};

} // namespace foxtailtally
