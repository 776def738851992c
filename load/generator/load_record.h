#pragma once

#include "core/request.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace foxtailtally {

/** How a request of the load generator ended. */
enum class LoadOutcome {
    Ok,
    /** Complete, but after its deadline. */
    Late,
    /** Ended with a typed error response or error event. */
    Refused,
    /** The connection or stream ended without the end of the stream or an error event. */
    Truncated,
    /** Wrong text, missing or repeated tokens, or a response that breaks the interface. */
    Wrong,
    /** A slow reader needed longer than the deadline to read the response. */
    SlowReader,
    /** No connection could be made. */
    Unreachable,
};

std::string_view loadOutcomeName(LoadOutcome outcome);

/** One finished request of the load generator. Times count from the intended send time. */
struct LoadRecord
{
    std::string id;
    std::string kind;
    RequestClass requestClass = RequestClass::Normal;
    std::int64_t promptTokens = 0;
    /** Intended send time from the start of the run. */
    absl::Duration sendAt;
    /** Delay of the generator: actual minus intended send time. */
    absl::Duration sendDelay;
    LoadOutcome outcome = LoadOutcome::Unreachable;
    int status = 0;
    std::string reason;
    bool notRun = false;
    /** The error said not_run although tokens of the response had arrived. */
    bool isUntrueRefusal = false;
    bool isMixUp = false;
    bool hasGap = false;
    std::int64_t tokens = 0;
    /** Zero when no token arrived. */
    absl::Duration timeToFirstToken;
    absl::Duration total;
};

nlohmann::json toJson(const LoadRecord &record);

/** Counts and times of a whole run. */
struct LoadSummary
{
    absl::btree_map<std::string, std::int64_t> outcomes;
    absl::btree_map<std::string, std::int64_t> reasons;
    std::int64_t requests = 0;
    std::int64_t mixUps = 0;
    std::int64_t gaps = 0;
    std::int64_t untrueRefusals = 0;
    /** Largest LoadRecord::sendDelay; large values make the run invalid. */
    absl::Duration maxSendDelay;

    /** There were no mix-ups, gaps, truncated or wrong responses, and no untrue refusals. */
    bool isFaultless() const;
};

LoadSummary summarize(const std::vector<LoadRecord> &records);
nlohmann::json toJson(const LoadSummary &summary, const std::vector<LoadRecord> &records);
std::string toText(const LoadSummary &summary, const std::vector<LoadRecord> &records);

} // namespace foxtailtally
