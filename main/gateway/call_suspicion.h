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
    /** Ids of the parts of the prompt that other calls may share. */
    std::span<const std::string> sharedParts;
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

    /** Several servers have crashed under calls with this content, or with a part of its prompt; no
     * further one may get it, unless it runs as a trial. */
    bool isQuarantined(absl::Time now);
    /** Lets a quarantined call run as a trial, and tells the other instances; false if none is due.
     */
    bool startTrial(absl::Time now);
    /** The call runs as a trial, which must reach one server only. */
    bool isTrial() const { return this->trial.has_value(); }
    /** How far the next run of the call is suspected of crashing its server. */
    SuspectRun nextRun(absl::Time now);
    /** Time until calls with this content may run again. */
    absl::Duration quarantineLeft(absl::Time now);
    /** Parts of the prompt that the next death would quarantine. */
    std::vector<Fingerprint> suspectParts(absl::Time now);

    /** Which servers of @p service the call may be sent to; all when it is not suspect. */
    SuspectPlacement restrictions(const std::string &service, std::span<const ServerKey> tried,
                                  absl::Time now);

    /** Records a crash that the call may have caused, and reports it to the other instances.
     * Unconfirmed evidence is kept in GatewayContext::unconfirmedLosses instead. */
    void onLoss(const AttemptTarget &target, const CrashEvidence &evidence, absl::Time now);
    /** A server that began to run the call at @p beganAt did not crash. */
    void onSurvived(absl::Time beganAt, absl::Time now);
    /** A server has executed the call successfully. */
    void onServed(absl::Time now);

    /** Logs why the call must not run. */
    void logQuarantine(absl::Time now);

    const Fingerprint &fingerprint() { return this->fingerprints().call; }

private:
    const CallFingerprints &fingerprints();
    UnconfirmedLoss lossAt(const AttemptTarget &target, const CrashEvidence &evidence,
                           absl::Time now);

    GatewayContext &context;
    const std::string &callId;
    CallContent content;
    /** Computed on first use. */
    std::optional<CallFingerprints> knownFingerprints;
    /** Set while the call runs as a trial. */
    std::optional<Trial> trial;
};

/** Records the crashes behind unconfirmed losses that have been confirmed by now, and reports them
 * to the other instances. */
void settleUnconfirmedLosses(GatewayContext &context, absl::Time now);

} // namespace foxtailtally
