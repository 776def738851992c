#include "core/refusal.h"

namespace foxtailtally {

std::string_view refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::NotOwner:
        return "not_owner";
    case RefusalReason::Leaving:
        return "leaving";
    case RefusalReason::DomainOut:
        return "domain_out";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::DeadlineUnreachable:
        return "deadline_unreachable";
    case RefusalReason::MemoryUnavailable:
        return "memory_unavailable";
    case RefusalReason::ServerCold:
        return "server_cold";
    case RefusalReason::TakeoverInProgress:
        return "takeover_in_progress";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::QuotaExceeded:
        return "quota_exceeded";
    case RefusalReason::UnknownModel:
        return "unknown_model";
    case RefusalReason::UnknownCustomer:
        return "unknown_customer";
    case RefusalReason::NoServer:
        return "no_server";
    case RefusalReason::StoreUnavailable:
        return "store_unavailable";
    case RefusalReason::ClaimTableFull:
        return "claim_table_full";
    case RefusalReason::KeyReused:
        return "key_reused";
    case RefusalReason::KeyExpired:
        return "key_expired";
    case RefusalReason::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalReason::TimedOut:
        return "timed_out";
    case RefusalReason::ServerLost:
        return "server_lost";
    case RefusalReason::Cancelled:
        return "cancelled";
    case RefusalReason::Internal:
        return "internal";
    }
    return "unknown";
}

} // namespace foxtailtally
