#include "core/error.h"

#include <string>

namespace foxtailtally {

namespace {

class Category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "foxtailtally"; }
    std::string message(int value) const override
    {
        return std::string(errorName(static_cast<Error>(value)));
    }
};

} // namespace

std::string_view errorName(Error error)
{
    switch (error) {
    case Error::Ok:
        return "ok";
    case Error::SettingsUnreadable:
        return "settings_unreadable";
    case Error::SettingsInvalid:
        return "settings_invalid";
    case Error::DocumentInvalid:
        return "document_invalid";
    case Error::DocumentConflict:
        return "document_conflict";
    case Error::DocumentStale:
        return "document_stale";
    case Error::Timeout:
        return "timeout";
    case Error::ConnectionFailed:
        return "connection_failed";
    case Error::PermissionExpired:
        return "permission_expired";
    case Error::ConnectionLost:
        return "connection_lost";
    case Error::MemoryShareUsedUp:
        return "memory_share_used_up";
    case Error::ProtocolViolation:
        return "protocol_violation";
    case Error::Unauthorized:
        return "unauthorized";
    case Error::RateLimited:
        return "rate_limited";
    case Error::StoreUnavailable:
        return "store_unavailable";
    case Error::StoreConflict:
        return "store_conflict";
    case Error::StoreNotFound:
        return "store_not_found";
    case Error::StoreValueTooLarge:
        return "store_value_too_large";
    case Error::FenceRejected:
        return "fence_rejected";
    case Error::ServerOverloaded:
        return "server_overloaded";
    case Error::ServerLost:
        return "server_lost";
    case Error::ModelNotLoaded:
        return "model_not_loaded";
    case Error::ReservationUnknown:
        return "reservation_unknown";
    case Error::MessageTruncated:
        return "message_truncated";
    case Error::MessageTooLarge:
        return "message_too_large";
    case Error::MessageVersionUnknown:
        return "message_version_unknown";
    case Error::MessageTagInvalid:
        return "message_tag_invalid";
    case Error::MessageStaleIncarnation:
        return "message_stale_incarnation";
    case Error::MessageMalformed:
        return "message_malformed";
    case Error::RequestMalformed:
        return "request_malformed";
    case Error::RequestTooLarge:
        return "request_too_large";
    case Error::RequestTimedOut:
        return "request_timed_out";
    case Error::RequestCancelled:
        return "request_cancelled";
    case Error::IdempotencyKeyReused:
        return "idempotency_key_reused";
    case Error::IdempotencyKeyExpired:
        return "idempotency_key_expired";
    case Error::OutcomeUnknown:
        return "outcome_unknown";
    case Error::NotReady:
        return "not_ready";
    case Error::Internal:
        return "internal";
    }
    return "unknown";
}

const std::error_category &errorCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(Error error)
{
    return {static_cast<int>(error), errorCategory()};
}

std::string_view errorName(const std::error_code &code)
{
    if (code.category() != errorCategory())
        return "system_error";
    return errorName(static_cast<Error>(code.value()));
}

} // namespace foxtailtally
