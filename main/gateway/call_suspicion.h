#pragma once

#include "core/request.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/server_call.h"
#include "servers/quarantine/crash_evidence.h"
#include "servers/quarantine/suspect_placement.h"

#include <absl/time/time.h>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** The content by which calls count as equal, whatever their ids. The viewed texts outlive the
 * call. */
struct CallContent
{
    std::string_view customer;
    std::string_view path;
    std::string_view body;
};

/** Tells from this instance's quarantine whether a call may crash the servers that execute it. */
class CallSuspicion
{
public:
    CallSuspicion(GatewayContext &context, const std::string &callId, const CallContent &content)
        : context(context)
        , callId(callId)
        , content(content)
    { }

    /** Several servers have crashed under calls with this content; no further one may get it. */
    bool isQuarantined(absl::Time now);
    /** How far the next run of the call is suspected of crashing its server. */
    SuspectRun nextRun(absl::Time now);
    /** Time until calls with this content may run again. */
    absl::Duration quarantineLeft(absl::Time now);

    /** Which servers of @p service the call may be sent to; all when it is not suspect. */
    SuspectPlacement restrictions(const std::string &service, std::span<const ServerKey> tried,
                                  absl::Time now);

    /** Records a crash that the call may have caused, and reports it to the other instances. */
    void onLoss(const AttemptTarget &target, const CrashEvidence &evidence, absl::Time now);
    /** A server has executed the call successfully. */
    void onServed(absl::Time now);

    const Fingerprint &fingerprint();

private:
    GatewayContext &context;
    const std::string &callId;
    CallContent content;
    /** Computed on first use. */
    std::optional<Fingerprint> knownFingerprint;
};

} // namespace foxtailtally
