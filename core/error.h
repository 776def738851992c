#pragma once

#include <string_view>
#include <system_error>

namespace foxtailtally {

/**
 * Every failure the system reports. The names returned by errorName() are stable: they appear in
 * logs, metrics and JSON replies.
 */
enum class Error {
    Ok = 0,
    // Settings and documents.
    SettingsUnreadable,
    SettingsInvalid,
    DocumentInvalid,
    DocumentConflict,
    DocumentStale,
    // Peers.
    Timeout,
    ConnectionFailed,
    ConnectionLost,
    PermissionExpired,
    ProtocolViolation,
    MemoryShareUsedUp,
    Unauthorized,
    RateLimited,
    StoreUnavailable,
    StoreConflict,
    StoreNotFound,
    StoreValueTooLarge,
    FenceRejected,
    ServerOverloaded,
    ServerLost,
    ModelNotLoaded,
    ReservationUnknown,
    // Messages between instances.
    MessageTruncated,
    MessageTooLarge,
    MessageVersionUnknown,
    MessageTagInvalid,
    MessageStaleIncarnation,
    MessageMalformed,
    // Requests.
    RequestMalformed,
    RequestTooLarge,
    RequestTimedOut,
    RequestCancelled,
    IdempotencyKeyReused,
    IdempotencyKeyExpired,
    OutcomeUnknown,
    NotReady,
    Internal,
};

/** Stable snake_case name of @p error. */
std::string_view errorName(Error error);

const std::error_category &errorCategory();

std::error_code make_error_code(Error error);

/** Name of @p code when it belongs to this project, otherwise "system_error". */
std::string_view errorName(const std::error_code &code);

} // namespace foxtailtally

template <>
struct std::is_error_code_enum<foxtailtally::Error> : std::true_type
{ };
