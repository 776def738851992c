#pragma once

#include "peers/http/http_client.h"

#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace foxtailtally {

/** A call to a plain service. */
struct ServiceCall
{
    /** "ip:port" of the service. */
    std::string address;
    std::string name;
    /** Key of the action; unused for repeatable calls. */
    std::string key;
    std::string body;
    /** Fencing number of the attempt's claim, for services that check it; sent as X-Fence. */
    std::optional<std::uint64_t> fence;
    absl::Duration timeout = absl::Seconds(10);
};

struct ServiceReply
{
    /** No error if the service returned a result. */
    std::error_code error;
    /**
     * False only if the service cannot have run the call: nothing was sent, or the service rejected
     * the fence. Every other failure leaves the outcome unknown.
     */
    bool mayHaveRun = true;
    /** HTTP status, or 0 if there was no response. */
    int status = 0;
    std::string result;
};

/** Client of the plain services. Blocking and thread-safe; sends each action at most once. */
class ServiceClient
{
public:
    ServiceClient(std::shared_ptr<HttpClient> http, std::string token);

    /** Runs an action that must not be retried. */
    ServiceReply runAction(const ServiceCall &call) const;
    /** Runs a call that may be retried. */
    ServiceReply query(const ServiceCall &call) const;

private:
    ServiceReply perform(const ServiceCall &call, std::string_view kind, std::string body) const;

    std::shared_ptr<HttpClient> http;
    std::string token;
};

} // namespace foxtailtally
