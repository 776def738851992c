#pragma once

#include "main/gateway/attempt_trail.h"
#include "main/gateway/call_suspicion.h"
#include "platform/call_headers.h"
#include "servers/account/request_account.h"
#include "servers/catalog/serving_config.h"
#include "servers/placement/stream_placement.h"
#include "servers/retry/attempt_policy.h"

#include <absl/time/time.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtailtally {

/** An admitted call: its caller, route and deadline. */
struct AdmittedCall
{
    platform::CallHeaders headers;
    /** Keeps the route alive. */
    std::shared_ptr<const ServingConfig> config;
    const Route *route = nullptr;
    /** Empty on routes without keys. */
    std::string customer;
    /** Priority of the customer, or of the route if it has none; 0 is the most urgent. */
    int urgency = 0;
    absl::Time receivedAt;
    /** The complete response is due. */
    absl::Time answerBy;
};

/** What is known of a call in progress, for the parts of its CallRun. */
struct CallState
{
    CallState(AdmittedCall admitted, OpenRequest request)
        : call(std::move(admitted))
        , request(std::move(request))
    { }

    bool isStream() const { return this->call.route->kind == CallKind::Streaming; }
    /** The instance stops before a call sent now is expected to end. */
    bool isStopTooNear(const GatewayContext &context, absl::Time now) const;
    CallProgress progress(absl::Time now);
    int maxRuns() const { return this->call.route->maxAttempts + this->repetitions; }

    AdmittedCall call;
    OpenRequest request;
    std::string service;
    /** Set when the request is complete. */
    std::optional<CallSuspicion> suspicion;
    /** Servers that the call has been sent to, apart from those that may take it later. */
    std::vector<ServerKey> tried;
    /** Attempts that ran or may have run. */
    int runs = 0;
    /** Attempts that certainly did not run. */
    int rejections = 0;
    /** Dropped attempts that were sent once more to the same server. */
    int repetitions = 0;
    bool hasAnswerBegun = false;
    bool isDone = false;
    /** The request has been counted in the usage of its customer. */
    bool isUsageCounted = false;
    /** Servers are not read, since the caller reads too slowly. */
    bool isReadingPaused = false;
    /** When the queues of the engines are expected to end that are too long for the call;
     * InfinitePast if it was not refused for their length. */
    absl::Time queuesEndAt = absl::InfinitePast();
    /** The plan that was evaluated last, for the log; it need not have been used. */
    StreamPlan lastPlan;
    absl::Time lastEventAt = absl::InfinitePast();
    absl::Time firstEventAt = absl::InfinitePast();
    absl::Duration longestGap = absl::ZeroDuration();
    int attemptsSent = 0;
    AttemptTrail trail;
    /** Time from the call's arrival to its last attempt. */
    absl::Duration dispatchDelay = absl::ZeroDuration();
};

} // namespace foxtailtally
