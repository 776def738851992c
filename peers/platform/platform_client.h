#pragma once

#include "core/result.h"
#include "peers/http/http_client.h"
#include "peers/platform/platform_types.h"

#include <absl/time/time.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

struct PlatformAccess
{
    /** "http://ip:port". */
    std::string url;
    std::string token;
    /** Time-out of one call; a watch adds its waiting time. */
    absl::Duration timeout = absl::Seconds(2);
};

/**
 * The platform's versioned objects, instance list and weight store. All calls block and are
 * thread-safe; none is retried. Reads fail with StoreNotFound, RateLimited, StoreUnavailable,
 * Unauthorized, ConnectionFailed, ConnectionLost, Timeout or ProtocolViolation.
 */
class PlatformClient
{
public:
    PlatformClient(std::shared_ptr<HttpClient> http, PlatformAccess access);

    Result<StoredObject> get(std::string_view key) const;
    /** Writes if the object has @p version; kAbsentVersion requires that it does not exist. */
    WriteReply put(std::string_view key, std::string_view value, std::uint64_t version) const;
    WriteReply remove(std::string_view key, std::uint64_t version) const;
    /** All objects whose key starts with @p prefix, in key order; each page counts as one call. */
    Result<std::vector<StoredObject>> list(std::string_view prefix) const;
    /** Waits up to @p wait for a version above @p version; empty if there was none. */
    Result<std::optional<StoredObject>> watch(std::string_view key, std::uint64_t version,
                                              absl::Duration wait) const;

    Result<std::vector<InstanceEntry>> instances() const;
    /** The unparsed response body of instances(), for instanceListFromText(). */
    Result<std::string> instanceListText() const;
    std::error_code registerInstance(const InstanceEntry &entry) const;
    std::error_code removeInstance(std::string_view id) const;

    /** Fetches the weights of @p model; RateLimited if the weight store is busy. */
    std::error_code fetchWeights(const ModelId &model) const;

private:
    HttpCall makeCall(std::string method, const std::string &path) const;
    /** Sends a read; returns the reply for a 2xx status, otherwise the corresponding error. */
    Result<HttpReply> read(const HttpCall &call) const;
    WriteReply write(const HttpCall &call) const;

    std::shared_ptr<HttpClient> http;
    PlatformAccess access;
};

} // namespace foxtailtally
