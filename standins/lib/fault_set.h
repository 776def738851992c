#pragma once

#include "core/result.h"
#include "peers/http/json_reader.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** What happens to the answer of one call. */
struct FaultDecision
{
    /** Cut the connection before the call has an effect. */
    bool drop = false;
    /** Never answer; the call has no effect. */
    bool hang = false;
    /** Answer 503 "unavailable" without effect. */
    bool outage = false;
    /** Cut the connection after the call took effect. */
    bool dropResponse = false;
    /** Time between the effect and the answer. */
    absl::Duration delay;
};

/** Faults of calls that are switched on, in the order of POST /admin/fault. */
class FaultSet
{
public:
    /**
     * Switches one of the kinds drop, hang, outage, answer_lost and slow, or "none" to switch all
     * off. Members: "active" (default true), "count" (calls affected, default unlimited), "method"
     * and "path" (prefix) to restrict the calls, "delay_ms" for slow. False for an unknown kind or
     * malformed members.
     */
    bool apply(const std::string &kind, JsonReader &parameters);

    /** Faults that meet a call, which uses up counts. */
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
