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

/** What makes two calls the same, whatever their ids; the views outlive the call. */
struct CallContent
{
    std::string_view customer;
    std::string_view path;
    std::string_view body;
};

/** Whether a call may crash the servers that run it, by the quarantine of this instance. */
class CallSuspicion
{
public:
    CallSuspicion(GatewayContext &context, const std::string &callId, const CallContent &content)
        : context(context)
        , callId(callId)
        , content(content)
    { }

    /** Several servers have ended under calls with this content; no further one may get it. */
    bool isQuarantined(absl::Time now);
    /** What another run of the call would be. */
    SuspectRun nextRun(absl::Time now);
    /** Time until such calls may run again. */
    absl::Duration quarantineLeft(absl::Time now);

    /** Which of the servers of @p service the call may get; all when it is not suspect. */
    SuspectPlacement spread(const std::string &service, std::span<const ServerKey> tried,
                            absl::Time now);

    /** Keeps what a lost attempt says, and tells the other instances. */
    void onLoss(const AttemptTarget &target, const LossEvidence &evidence, absl::Time now);
    /** A server has answered the call with success. */
    void onServed(absl::Time now);

    const Fingerprint &fingerprint();

private:
    GatewayContext &context;
    const std::string &callId;
    CallContent content;
    /** Computed when it is first asked for. */
    std::optional<Fingerprint> knownFingerprint;
};

} // namespace foxtailtally
