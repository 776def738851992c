#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/request.h"
#include "servers/configuration/store_call.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Request for the right to run one non-idempotent action. */
struct ClaimRequest
{
    /** Unique for each submission; a retry with the same key has a new id. */
    RequestId request;
    CustomerId customer;
    /** Idempotency key, "<unix seconds>-<text>". */
    std::string key;
    /** Fingerprint of service, action and body; a retry of the same request has the same one. */
    Fingerprint body {};
    /** Whether the service rejects fences lower than one it has seen for the key. */
    bool checksFence = false;
    /** End of the request, on the clock of `now`. */
    absl::Time deadline;
    /** Wall time at which the request arrived at this instance's claim shard. */
    absl::Time receivedAt;
};

/** The action may be dispatched, once, with this fence, before the request's deadline. */
struct ClaimGranted
{
    RequestId request;
    Fingerprint key {};
    std::uint64_t attempt = 0;
    std::uint64_t fence = 0;
};

/** The action must not be dispatched. */
struct ClaimRefused
{
    RequestId request;
    Refusal refusal;
};

/** The action has already run; the caller gets the recorded answer. */
struct ClaimReplay
{
    RequestId request;
    std::string answer;
    /** False when the action ran but its answer was too long to store. */
    bool isAnswerKept = true;
};

/** How an attempt ended, as reported by the instance that holds the claim. */
enum class AttemptOutcome : std::uint8_t {
    Done,
    /** The connection broke after the first byte may have reached the service. */
    Unknown,
    /** The holder has not dispatched the action and will not. */
    NotRun,
};

struct OutcomeReport
{
    Fingerprint key {};
    std::uint64_t attempt = 0;
    std::uint64_t fence = 0;
    AttemptOutcome outcome = AttemptOutcome::Done;
    std::string answer;
    /** Wall time of the report. */
    absl::Time at;
};

/**
 * The outcome is in the log. For a service that checks fences, the caller is answered only then:
 * before the record is written, a newer attempt could run and give another answer. For other
 * services there is no newer attempt, so the caller may be answered at once.
 */
struct ClaimRecorded
{
    std::uint64_t attempt = 0;
    /** A newer attempt replaced this one; this attempt's answer must not be sent to the caller. */
    bool isSuperseded = false;
};

using ClaimAction = std::variant<StoreRead, StoreList, StoreWrite, ClaimGranted, ClaimRefused,
                                 ClaimReplay, ClaimRecorded>;
using ClaimActions = std::vector<ClaimAction>;

} // namespace foxtailtally
