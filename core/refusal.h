#pragma once

#include <absl/time/time.h>
#include <cstdint>
#include <string_view>

namespace foxtailtally {

/** Why a request was not served. Values are part of the wire format. */
enum class RefusalReason : std::uint8_t {
    None = 0,
    NotOwner,
    Leaving,
    DomainOut,
    QueueFull,
    DeadlineUnreachable,
    MemoryUnavailable,
    ServerCold,
    TakeoverInProgress,
    Quarantined,
    QuotaExceeded,
    UnknownModel,
    UnknownCustomer,
    NoServer,
    StoreUnavailable,
    ClaimTableFull,
    KeyReused,
    KeyExpired,
    OutcomeUnknown,
    TimedOut,
    ServerLost,
    Cancelled,
    Internal,
};

/** Stable snake_case name for logs, metrics and JSON. */
std::string_view refusalName(RefusalReason reason);

/** A typed refusal of one request. */
struct Refusal
{
    RefusalReason reason = RefusalReason::None;
    /** True only when no part of the request ran on any backend server. */
    bool notRun = false;
    /** Time after which the caller may retry; zero when a retry would be of no use. */
    absl::Duration retryAfter = absl::ZeroDuration();
};

} // namespace foxtailtally
