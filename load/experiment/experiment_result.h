#pragma once

#include "core/refusal.h"
#include "core/request.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailtally {

/** How one request of an experiment ended. */
enum class RequestOutcome {
    /** Complete within its deadline. */
    Ok,
    /** Refused, or withdrawn before it was granted a permit. */
    Refused,
    /** Was admitted but not complete at its deadline, which admission should have prevented. */
    Late,
    /** Was admitted and failed before its deadline, for example after too many server deaths. */
    Failed,
};

/** One finished request of an experiment. */
struct RequestRecord
{
    absl::Duration sentAt;
    absl::Duration endedAt;
    RequestClass requestClass = RequestClass::Normal;
    std::int64_t promptTokens = 0;
    std::int64_t newTokens = 0;
    RequestOutcome outcome = RequestOutcome::Refused;
    RefusalReason reason = RefusalReason::None;
    /** Time from sending to the grant of the last permit. */
    absl::Duration grantedAfter;
    absl::Duration timeToFirstToken;
    absl::Duration total;
    absl::Duration idleTimeToFirstToken;
    absl::Duration idleTotal;
};

/** Range of prompt lengths that the report aggregates. */
struct LengthBand
{
    std::string_view name;
    /** Longest prompt of the band. */
    std::int64_t maxTokens;
};

constexpr std::array<LengthBand, 5> kLengthBands = {{
    {"up to 4k", 4096},
    {"4k to 16k", 16384},
    {"16k to 32k", 32768},
    {"32k to 100k", 100000},
    {"over 100k", 1LL << 40},
}};

/** Longest prompt of the requests in the short slowdown. */
constexpr std::int64_t kShortPromptTokens = 4096;

struct Quantiles
{
    std::size_t count = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/** Quantiles of @p values by the nearest-rank method. */
Quantiles quantilesOf(std::vector<double> values);

/** Results of one policy on the trace. */
struct PolicyResult
{
    std::string policy;
    std::vector<RequestRecord> records;
    /** Engine deaths by cause. */
    absl::btree_map<std::string, int> engineDeaths;
    /** Deaths of cold servers through too many requests (goal: 0), without those counted below. */
    int coldOverloads = 0;
    /** Such deaths within 1 s of turning cold, before a load report can show that it is cold. */
    int unnoticedColdOverloads = 0;

    /** Ratio of live engines that were running requests, per second of the trace. */
    std::vector<double> busyEngineRatios;

    std::int64_t count(RequestOutcome outcome) const;
    absl::btree_map<std::string, std::int64_t> refusals() const;
    /** In seconds, over the requests of @p band that received a first token. */
    Quantiles timeToFirstToken(const LengthBand &band) const;
    /**
     * Time to first token of short urgent requests relative to an idle system. Requests that waited
     * until their deadline are included with that time; immediate refusals are omitted.
     */
    Quantiles shortSlowdown() const;
    /** Like shortSlowdown(), for the time to the end of the response. */
    Quantiles shortTotalSlowdown() const;
    /** Like shortSlowdown(), over the requests sent in [@p begin, @p end). */
    Quantiles shortSlowdown(absl::Duration begin, absl::Duration end) const;
    /** Prompt and new tokens per second of requests that met their deadline, by their end time. */
    std::vector<double> goodput(absl::Duration bucket, absl::Duration length) const;
    /** Mean of busyEngineRatios over [@p begin, @p end). */
    double meanBusyEngineRatio(absl::Duration begin, absl::Duration end) const;
    /** Mean of goodput over [@p begin, @p end). */
    double meanGoodput(absl::Duration begin, absl::Duration end) const;
};

/** Results of all policies on the same trace. */
struct ExperimentResult
{
    std::string title;
    std::string deployment;
    double load = 0;
    double capacityPerSecond = 0;
    absl::Duration length;
    std::uint64_t seed = 0;
    std::vector<std::string> faults;
    /** Begin and end of each fault. */
    std::vector<std::pair<absl::Duration, absl::Duration>> faultTimes;
    std::vector<PolicyResult> policies;
};

/** Interval of the goodput series. */
constexpr absl::Duration kGoodputBucket = absl::Seconds(5);

std::string toText(const ExperimentResult &result);
nlohmann::json toJson(const ExperimentResult &result);

} // namespace foxtailtally
