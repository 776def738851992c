#include "peers/service/service_client.h"

#include "core/error.h"
#include "peers/http/json_reader.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusStaleFence = 409;

std::error_code statusError(int status, const std::string &name)
{
    if (status == kStatusStaleFence && name == "stale_fence") {
        return Error::FenceRejected;
    }
    if (status == 401 || status == 403) {
        return Error::Unauthorized;
    }
    if (status == 429) {
        return Error::RateLimited;
    }
    return status / 100 == 5 ? Error::ServerLost : Error::ProtocolViolation;
}

std::string dumpBody(const nlohmann::json &body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

ServiceClient::ServiceClient(std::shared_ptr<HttpClient> http, std::string token)
    : http(std::move(http))
    , token(std::move(token))
{ }

ServiceReply ServiceClient::runAction(const ServiceCall &call) const
{
    return this->perform(call, "actions", dumpBody({{"key", call.key}, {"body", call.body}}));
}

ServiceReply ServiceClient::query(const ServiceCall &call) const
{
    return this->perform(call, "calls", dumpBody({{"body", call.body}}));
}

ServiceReply ServiceClient::perform(const ServiceCall &call, std::string_view kind,
                                    std::string body) const
{
    HttpCall request;
    request.method = "POST";
    request.url =
        absl::StrCat("http://", call.address, "/v1/", std::string(kind), "/", urlEncode(call.name));
    request.headers = {absl::StrCat("Authorization: Bearer ", this->token)};
    if (call.fence.has_value()) {
        request.headers.push_back(absl::StrCat("X-Fence: ", *call.fence));
    }
    request.body = std::move(body);
    request.timeout = call.timeout;

    ServiceReply result;
    const Result<HttpReply> reply = this->http->perform(request);
    if (!reply.ok()) {
        result.error = reply.error();
        result.mayHaveRun = result.error != Error::ConnectionFailed;
        return result;
    }
    result.status = reply->status;
    if (reply->status != kStatusOk) {
        result.error = statusError(reply->status, errorMember(reply->body));
        result.mayHaveRun = result.error != Error::FenceRejected;
        return result;
    }
    JsonReader reader(reply->body);
    result.result = reader.text("result");
    if (!reader.ok()) {
        result.error = Error::ProtocolViolation;
    }
    return result;
}

} // namespace foxtailtally
