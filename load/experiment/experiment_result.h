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
    /** Refused or withdrawn before any part of it ran. */
    Refused,
    /** Ran and was not complete at its deadline: the system broke its promise. */
    Late,
    /** Ran and was given up before its deadline, for example after too many server deaths. */
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

/** Range of prompt lengths whose times are reported together. */
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

/** Longest prompt that counts as short in the slowdown. */
constexpr std::int64_t kShortPromptTokens = 4096;

struct Quantiles
{
    std::size_t count = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/** Quantiles of @p values by nearest rank. */
Quantiles quantilesOf(std::vector<double> values);

/** What one policy achieved on the trace. */
struct PolicyResult
{
    std::string policy;
    std::vector<RequestRecord> records;
    /** Engine deaths by cause. */
    absl::btree_map<std::string, int> engineDeaths;
    /** Cold servers that died of too many requests (goal 0). */
    int coldOverloads = 0;
    /** Same within a second of turning cold without notice, before any load report can show it. */
    int unnoticedColdOverloads = 0;

    /** Part of the live engines that had work, by second of the trace. */
    std::vector<double> busyEngineRatios;

    std::int64_t count(RequestOutcome outcome) const;
    absl::btree_map<std::string, std::int64_t> refusals() const;
    /** Seconds, of requests whose first token arrived. */
    Quantiles timeToFirstToken(const LengthBand &band) const;
    /**
     * Time to first token of urgent short requests relative to an idle system. Requests that waited
     * until their deadline count with that time; requests refused at once are left out.
     */
    Quantiles shortSlowdown() const;
    /** Same for the time to the end of the answer. */
    Quantiles shortTotalSlowdown() const;
    /** Slowdown of the time to first token of requests sent in [@p begin, @p end). */
    Quantiles shortSlowdown(absl::Duration begin, absl::Duration end) const;
    /** Tokens (prompt and new) a second of requests complete within their deadline, by end time. */
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
