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
    /** Number of the attempt's claim; sent to services that check it. */
    std::optional<std::uint64_t> fence;
    absl::Duration timeout = absl::Seconds(10);
};

struct ServiceReply
{
    /** Zero when the service returned a result. */
    std::error_code error;
    /**
     * False only when the service cannot have run the call: nothing was sent, or it rejected the
     * fence. Every other failure leaves the outcome unknown.
     */
    bool mayHaveRun = true;
    /** HTTP status, or 0 when there was none. */
    int status = 0;
    std::string result;
};

/** Calls plain services. Blocking, thread-safe; sends every action at most once. */
class ServiceClient
{
public:
    ServiceClient(std::shared_ptr<HttpClient> http, std::string token);

    /** Runs an action that must not be repeated. */
    ServiceReply runAction(const ServiceCall &call) const;
    /** Runs a call that may be repeated. */
    ServiceReply query(const ServiceCall &call) const;

private:
    ServiceReply perform(const ServiceCall &call, std::string_view kind, std::string body) const;

    std::shared_ptr<HttpClient> http;
    std::string token;
};

} // namespace foxtailtally
