#pragma once

#include "core/result.h"
#include "peers/http/json_reader.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Faults injected into one call. */
struct FaultDecision
{
    /** Abort the connection; the call has no effect. */
    bool drop = false;
    /** Never respond; the call has no effect. */
    bool hang = false;
    /** Respond 503 "unavailable"; the call has no effect. */
    bool outage = false;
    /** Abort the connection after the call took effect. */
    bool dropResponse = false;
    /** Delay between the effect and the response. */
    absl::Duration delay;
};

/** Active call faults, in the order in which POST /admin/fault enabled them. */
class FaultSet
{
public:
    /**
     * Enables or disables a fault of kind drop, hang, outage, answer_lost or slow; "none" disables
     * all. Parameters: "active" (default true), "count" (calls affected, default unlimited),
     * "method" and "path" (prefix) to restrict the calls, "delay_ms" for slow. False for an unknown
     * kind or malformed parameters.
     */
    bool apply(const std::string &kind, JsonReader &parameters);

    /** Faults that apply to a call; decrements the counts of those faults. */
    FaultDecision decide(std::string_view method, std::string_view path);

    bool isActive(std::string_view kind) const;

private:
    struct Fault
    {
        std::string kind;
        std::string method;
        std::string path;
        std::int64_t left = 0;
        absl::Duration delay;
    };

    std::vector<Fault> faults;
};

} // namespace foxtailtally
