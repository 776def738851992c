#include "peers/engine/engine_errors.h"

#include "core/error.h"
#include "peers/http/json_reader.h"

namespace foxtailtally {

std::error_code engineError(int status, std::string_view body)
{
    if (status / 100 == 2) {
        return {};
    }
    const std::string name = errorMember(body);
    if (name == "overloaded" || name == "no_memory") {
        return Error::ServerOverloaded;
    }
    if (name == "model_not_loaded") {
        return Error::ModelNotLoaded;
    }
    if (name == "too_long") {
        return Error::RequestTooLarge;
    }
    if (name == "unknown_reservation") {
        return Error::ReservationUnknown;
    }
    if (name == "stale_fence") {
        return Error::FenceRejected;
    }
    if (name == "not_found") {
        return Error::StoreNotFound;
    }
    if (name == "rate_limited") {
        return Error::RateLimited;
    }
    if (status == 401 || status == 403) {
        return Error::Unauthorized;
    }
    return Error::ProtocolViolation;
}

bool isEngineRefusal(const std::error_code &error)
{
    return error == Error::ServerOverloaded || error == Error::ModelNotLoaded
        || error == Error::RequestTooLarge || error == Error::ReservationUnknown
        || error == Error::RateLimited || error == Error::Unauthorized;
}

} // namespace foxtailtally
