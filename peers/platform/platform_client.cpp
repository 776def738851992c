#include "peers/platform/platform_client.h"

#include "peers/http/json_reader.h"
#include "peers/platform/platform_json.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace foxtailtally {

namespace {

constexpr int kStatusNoContent = 204;
constexpr int kStatusConflict = 412;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusRateLimited = 429;
constexpr int kStatusUnavailable = 503;
/** Bounds the number of calls of one listing if the platform keeps reporting more pages. */
constexpr int kMaxPages = 4096;

/** Error for a response status of the platform; no error for 2xx. */
std::error_code platformError(int status)
{
    if (status / 100 == 2) {
        return {};
    }
    switch (status) {
    case 401:
    case 403:
        return Error::Unauthorized;
    case 404:
        return Error::StoreNotFound;
    case kStatusConflict:
        return Error::StoreConflict;
    case kStatusTooLarge:
        return Error::StoreValueTooLarge;
    case kStatusRateLimited:
        return Error::RateLimited;
    case kStatusUnavailable:
        return Error::StoreUnavailable;
    default:
        return Error::ProtocolViolation;
    }
}

std::string objectPath(std::string_view key)
{
    return absl::StrCat("/v1/objects/", urlEncode(key));
}

std::string conditionHeader(std::uint64_t version)
{
    if (version == kAbsentVersion) {
        return "If-None-Match: *";
    }
    return absl::StrCat("If-Match: ", version);
}

} // namespace

PlatformClient::PlatformClient(std::shared_ptr<HttpClient> http, PlatformAccess access)
    : http(std::move(http))
    , access(std::move(access))
{ }

HttpCall PlatformClient::makeCall(std::string method, const std::string &path) const
{
    HttpCall call;
    call.method = std::move(method);
    call.url = absl::StrCat(this->access.url, path);
    call.headers = {absl::StrCat("Authorization: Bearer ", this->access.token)};
    call.timeout = this->access.timeout;
    return call;
}

Result<HttpReply> PlatformClient::read(const HttpCall &call) const
{
    Result<HttpReply> reply = this->http->perform(call);
    if (!reply.ok()) {
        return reply;
    }
    if (const std::error_code error = platformError(reply->status)) {
        return error;
    }
    return reply;
}

WriteReply PlatformClient::write(const HttpCall &call) const
{
    WriteReply result;
    const Result<HttpReply> reply = this->http->perform(call);
    if (!reply.ok()) {
        result.error = reply.error();
        result.outcome = result.error == Error::ConnectionFailed ? WriteOutcome::NotWritten
                                                                 : WriteOutcome::Unknown;
        return result;
    }
    result.error = platformError(reply->status);
    result.retryAfter = absl::Seconds(reply->retryAfterSeconds);
    if (result.error == Error::ProtocolViolation) {
        return result;
    }
    result.outcome = result.error ? WriteOutcome::NotWritten : WriteOutcome::Committed;
    if (result.error && result.error != Error::StoreConflict) {
        return result;
    }
    JsonReader reader(reply->body);
    result.version = reader.unsignedInteger("version");
    if (!reader.ok()) {
        // The status gives the outcome, but without the new version the caller must read the
        // object.
        result.outcome = result.error ? WriteOutcome::NotWritten : WriteOutcome::Unknown;
        result.error = Error::ProtocolViolation;
    }
    return result;
}

Result<StoredObject> PlatformClient::get(std::string_view key) const
{
    const Result<HttpReply> reply = this->read(this->makeCall("GET", objectPath(key)));
    if (!reply.ok()) {
        return reply.error();
    }
    return objectFromJson(nlohmann::json::parse(reply->body, nullptr, false));
}

WriteReply PlatformClient::put(std::string_view key, std::string_view value,
                               std::uint64_t version) const
{
    if (value.size() > kMaxObjectBytes) {
        return {WriteOutcome::NotWritten, Error::StoreValueTooLarge, kAbsentVersion, {}};
    }
    HttpCall call = this->makeCall("PUT", objectPath(key));
    call.headers.push_back(conditionHeader(version));
    try {
        call.body = nlohmann::json {{"value", value}}.dump();
    } catch (const nlohmann::json::type_error &) {
        // A value that is not valid UTF-8 cannot be encoded as JSON.
        return {WriteOutcome::NotWritten, Error::RequestMalformed, kAbsentVersion, {}};
    }
    return this->write(call);
}

WriteReply PlatformClient::remove(std::string_view key, std::uint64_t version) const
{
    HttpCall call = this->makeCall("DELETE", objectPath(key));
    call.headers.push_back(conditionHeader(version));
    return this->write(call);
}

Result<std::vector<StoredObject>> PlatformClient::list(std::string_view prefix) const
{
    std::vector<StoredObject> objects;
    std::string after;
    for (int page = 0; page < kMaxPages; ++page) {
        const Result<HttpReply> reply = this->read(this->makeCall(
            "GET",
            absl::StrCat("/v1/objects?prefix=", urlEncode(prefix), "&after=", urlEncode(after))));
        if (!reply.ok()) {
            return reply.error();
        }
        JsonReader reader(reply->body);
        const bool more = reader.flag("more");
        const std::size_t before = objects.size();
        for (nlohmann::json &element : reader.array("items")) {
            Result<StoredObject> object = objectFromJson(std::move(element));
            // Keys must be strictly increasing, or the listing might never end.
            if (!object.ok() || (!after.empty() && object->key <= after)) {
                return Error::ProtocolViolation;
            }
            after = object->key;
            objects.push_back(std::move(*object));
        }
        if (!reader.ok() || (more && objects.size() == before)) {
            return Error::ProtocolViolation;
        }
        if (!more) {
            return objects;
        }
    }
    return Error::ProtocolViolation;
}

Result<std::optional<StoredObject>>
PlatformClient::watch(std::string_view key, std::uint64_t version, absl::Duration wait) const
{
    HttpCall call = this->makeCall("GET",
                                   absl::StrCat("/v1/watch/", urlEncode(key), "?version=", version,
                                                "&timeout_ms=", absl::ToInt64Milliseconds(wait)));
    call.timeout += wait;
    const Result<HttpReply> reply = this->read(call);
    if (!reply.ok()) {
        return reply.error();
    }
    if (reply->status == kStatusNoContent) {
        return std::optional<StoredObject>();
    }
    Result<StoredObject> object =
        objectFromJson(nlohmann::json::parse(reply->body, nullptr, false));
    if (!object.ok()) {
        return object.error();
    }
    return std::optional<StoredObject>(std::move(*object));
}

Result<std::string> PlatformClient::instanceListText() const
{
    Result<HttpReply> reply = this->read(this->makeCall("GET", "/v1/instances"));
    if (!reply.ok())
        return reply.error();
    return std::move(reply->body);
}

Result<std::vector<InstanceEntry>> PlatformClient::instances() const
{
    const Result<std::string> text = this->instanceListText();
    if (!text.ok())
        return text.error();
    return instanceListFromText(*text);
}

std::error_code PlatformClient::registerInstance(const InstanceEntry &entry) const
{
    HttpCall call = this->makeCall("PUT", absl::StrCat("/v1/instances/", urlEncode(entry.id)));
    call.body = toJson(entry).dump();
    return this->read(call).error();
}

std::error_code PlatformClient::removeInstance(std::string_view id) const
{
    return this->read(this->makeCall("DELETE", absl::StrCat("/v1/instances/", urlEncode(id))))
        .error();
}

std::error_code PlatformClient::fetchWeights(const ModelId &model) const
{
    return this->read(this->makeCall("GET", absl::StrCat("/v1/weights/", urlEncode(model.str()))))
        .error();
}

} // namespace foxtailtally
