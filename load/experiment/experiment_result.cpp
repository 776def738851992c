#include "load/experiment/experiment_result.h"

#include "core/text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** After a fault the remaining capacity must be in use within this time (design section 2). */
constexpr absl::Duration kFaultSettleTime = absl::Seconds(5);

bool isShort(const RequestRecord &record)
{
    return record.requestClass == RequestClass::Urgent && record.promptTokens <= kShortPromptTokens;
}

/**
 * Requests that exceeded their deadline are included with the time that they waited, a lower bound
 * of their real time. Omitting them would favour policies that let requests wait until they expire.
 */
bool countsTowardSlowdown(const RequestRecord &record)
{
    return record.outcome == RequestOutcome::Ok || record.outcome == RequestOutcome::Late
        || record.reason == RefusalReason::TimedOut;
}

absl::Duration timeOrWait(const RequestRecord &record, absl::Duration measured)
{
    return measured > absl::ZeroDuration() ? measured : record.endedAt - record.sentAt;
}

template <typename Value>
std::vector<double> slowdowns(const std::vector<RequestRecord> &records, absl::Duration begin,
                              absl::Duration end, Value value)
{
    std::vector<double> values;
    for (const RequestRecord &record : records) {
        if (isShort(record) && countsTowardSlowdown(record) && record.sentAt >= begin
            && record.sentAt < end)
            values.push_back(value(record));
    }
    return values;
}

double firstTokenSlowdown(const RequestRecord &record)
{
    return absl::FDivDuration(timeOrWait(record, record.timeToFirstToken),
                              record.idleTimeToFirstToken);
}

nlohmann::json toJson(const Quantiles &quantiles)
{
    return {{"count", quantiles.count},
            {"p50", quantiles.p50},
            {"p95", quantiles.p95},
            {"p99", quantiles.p99}};
}

nlohmann::json toJson(const PolicyResult &policy, absl::Duration length)
{
    nlohmann::json bands = nlohmann::json::object();
    for (const LengthBand &band : kLengthBands)
        bands[std::string(band.name)] = toJson(policy.timeToFirstToken(band));
    return {{"policy", policy.policy},
            {"requests", policy.records.size()},
            {"ok", policy.count(RequestOutcome::Ok)},
            {"refused", policy.count(RequestOutcome::Refused)},
            {"late", policy.count(RequestOutcome::Late)},
            {"failed", policy.count(RequestOutcome::Failed)},
            {"cold_overloads", policy.coldOverloads},
            {"unnoticed_cold_overloads", policy.unnoticedColdOverloads},
            {"engine_deaths", policy.engineDeaths},
            {"refusals", policy.refusals()},
            {"time_to_first_token_seconds", std::move(bands)},
            {"short_slowdown", toJson(policy.shortSlowdown())},
            {"short_total_slowdown", toJson(policy.shortTotalSlowdown())},
            {"goodput_tokens_per_second", policy.goodput(kGoodputBucket, length)},
            {"busy_engines_by_second", policy.busyEngineRatios},
            {"mean_goodput_tokens_per_second", policy.meanGoodput(absl::ZeroDuration(), length)}};
}

/** Goodput, ratio of busy engines and slowdown before, during and after one fault. */
std::string faultText(const ExperimentResult &result, absl::Duration begin, absl::Duration end)
{
    struct Window
    {
        const char *name;
        absl::Duration begin;
        absl::Duration end;
    };
    const absl::Duration settled = std::min(begin + kFaultSettleTime, end);
    const Window windows[] = {{"before", absl::ZeroDuration(), begin},
                              {"first 5 s", begin, settled},
                              {"after 5 s", settled, end},
                              {"afterwards", end, result.length}};
    std::string text = absl::StrFormat("\n\nfault from %s to %s: tokens/s, busy engines, short "
                                       "slowdown p50 p99\n",
                                       absl::FormatDuration(begin), absl::FormatDuration(end));
    for (const PolicyResult &policy : result.policies) {
        absl::StrAppendFormat(&text, "%-34s", policy.policy);
        for (const Window &window : windows) {
            if (window.end <= window.begin)
                continue;
            const Quantiles slowdown = policy.shortSlowdown(window.begin, window.end);
            absl::StrAppendFormat(&text, " | %s %.0f %.2f %.2f %.2f", window.name,
                                  policy.meanGoodput(window.begin, window.end),
                                  policy.meanBusyEngineRatio(window.begin, window.end),
                                  slowdown.p50, slowdown.p99);
        }
        text += '\n';
    }
    return text;
}

std::string joinCounts(const absl::btree_map<std::string, std::int64_t> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts)
        absl::StrAppend(&text, text.empty() ? "" : ", ", name, " ", count);
    return text.empty() ? "none" : text;
}

} // namespace

Quantiles quantilesOf(std::vector<double> values)
{
    Quantiles quantiles;
    quantiles.count = values.size();
    if (values.empty())
        return quantiles;
    std::sort(values.begin(), values.end());
    const auto rank = [&](double fraction) {
        const auto position = std::ceil(fraction * static_cast<double>(values.size()));
        return values[static_cast<std::size_t>(std::max(position, 1.0)) - 1];
    };
    quantiles.p50 = rank(0.5);
    quantiles.p95 = rank(0.95);
    quantiles.p99 = rank(0.99);
    return quantiles;
}

std::int64_t PolicyResult::count(RequestOutcome outcome) const
{
    return std::count_if(
        this->records.begin(), this->records.end(),
        [outcome](const RequestRecord &record) { return record.outcome == outcome; });
}

absl::btree_map<std::string, std::int64_t> PolicyResult::refusals() const
{
    absl::btree_map<std::string, std::int64_t> counts;
    for (const RequestRecord &record : this->records) {
        if (record.outcome == RequestOutcome::Refused)
            ++counts[std::string(refusalName(record.reason))];
    }
    return counts;
}

Quantiles PolicyResult::timeToFirstToken(const LengthBand &band) const
{
    std::vector<double> values;
    for (const RequestRecord &record : this->records) {
        const auto *const found =
            std::find_if(kLengthBands.begin(), kLengthBands.end(), [&](const LengthBand &entry) {
                return record.promptTokens <= entry.maxTokens;
            });
        if (found->maxTokens == band.maxTokens && record.timeToFirstToken > absl::ZeroDuration())
            values.push_back(absl::ToDoubleSeconds(record.timeToFirstToken));
    }
    return quantilesOf(std::move(values));
}

Quantiles PolicyResult::shortSlowdown() const
{
    return this->shortSlowdown(absl::ZeroDuration(), absl::InfiniteDuration());
}

Quantiles PolicyResult::shortTotalSlowdown() const
{
    return quantilesOf(slowdowns(this->records, absl::ZeroDuration(), absl::InfiniteDuration(),
                                 [](const RequestRecord &record) {
                                     return absl::FDivDuration(timeOrWait(record, record.total),
                                                               record.idleTotal);
                                 }));
}

Quantiles PolicyResult::shortSlowdown(absl::Duration begin, absl::Duration end) const
{
    return quantilesOf(slowdowns(this->records, begin, end, firstTokenSlowdown));
}

std::vector<double> PolicyResult::goodput(absl::Duration bucket, absl::Duration length) const
{
    const auto buckets = static_cast<std::size_t>(std::ceil(absl::FDivDuration(length, bucket)));
    std::vector<double> series(buckets, 0);
    for (const RequestRecord &record : this->records) {
        const auto index = static_cast<std::size_t>(absl::FDivDuration(record.endedAt, bucket));
        if (record.outcome == RequestOutcome::Ok && index < buckets)
            series[index] += static_cast<double>(record.promptTokens + record.newTokens)
                / absl::ToDoubleSeconds(bucket);
    }
    return series;
}

double PolicyResult::meanGoodput(absl::Duration begin, absl::Duration end) const
{
    double tokens = 0;
    for (const RequestRecord &record : this->records) {
        if (record.outcome == RequestOutcome::Ok && record.endedAt >= begin && record.endedAt < end)
            tokens += static_cast<double>(record.promptTokens + record.newTokens);
    }
    return tokens / absl::ToDoubleSeconds(end - begin);
}

double PolicyResult::meanBusyEngineRatio(absl::Duration begin, absl::Duration end) const
{
    double sum = 0;
    int seconds = 0;
    for (std::size_t i = 0; i < this->busyEngineRatios.size(); ++i) {
        const absl::Duration at = absl::Seconds(1) * static_cast<std::int64_t>(i);
        if (at < begin || at >= end)
            continue;
        sum += this->busyEngineRatios[i];
        ++seconds;
    }
    return seconds > 0 ? sum / seconds : 0;
}

nlohmann::json toJson(const ExperimentResult &result)
{
    nlohmann::json policies = nlohmann::json::array();
    for (const PolicyResult &policy : result.policies)
        policies.push_back(toJson(policy, result.length));
    return {{"title", result.title},
            {"deployment", result.deployment},
            {"load", result.load},
            {"capacity_requests_per_second", result.capacityPerSecond},
            {"length_seconds", absl::ToDoubleSeconds(result.length)},
            {"goodput_bucket_seconds", absl::ToDoubleSeconds(kGoodputBucket)},
            {"seed", result.seed},
            {"faults", result.faults},
            {"policies", std::move(policies)}};
}

std::string toText(const ExperimentResult &result)
{
    std::string text =
        absl::StrFormat("%s: %s at %.2f of capacity (%.1f model requests/s), %s, seed %d\n",
                        result.title, result.deployment, result.load, result.capacityPerSecond,
                        absl::FormatDuration(result.length), result.seed);
    for (const std::string &fault : result.faults)
        absl::StrAppend(&text, "fault: ", fault, "\n");
    absl::StrAppendFormat(&text, "%-34s %6s %6s %5s %5s %5s %20s %20s %10s\n", "policy", "ok",
                          "refus", "late", "fail", "cold", "ttft slowdown", "total slowdown",
                          "tokens/s");
    for (const PolicyResult &policy : result.policies) {
        const Quantiles first = policy.shortSlowdown();
        const Quantiles total = policy.shortTotalSlowdown();
        absl::StrAppendFormat(
            &text, "%-34s %6d %6d %5d %5d %5d %6.2f %6.2f %6.2f %6.2f %6.2f %6.2f %10.0f\n",
            policy.policy, policy.count(RequestOutcome::Ok), policy.count(RequestOutcome::Refused),
            policy.count(RequestOutcome::Late), policy.count(RequestOutcome::Failed),
            policy.coldOverloads, first.p50, first.p95, first.p99, total.p50, total.p95, total.p99,
            policy.meanGoodput(absl::ZeroDuration(), result.length));
    }
    absl::StrAppend(&text, "\ntime to first token in seconds (p50 p95 p99)\n");
    absl::StrAppendFormat(&text, "%-34s", "policy");
    for (const LengthBand &band : kLengthBands)
        absl::StrAppendFormat(&text, " %20s", asAbsl(band.name));
    for (const PolicyResult &policy : result.policies) {
        absl::StrAppendFormat(&text, "\n%-34s", policy.policy);
        for (const LengthBand &band : kLengthBands) {
            const Quantiles quantiles = policy.timeToFirstToken(band);
            absl::StrAppendFormat(&text, " %6.2f %6.2f %6.2f", quantiles.p50, quantiles.p95,
                                  quantiles.p99);
        }
    }
    for (const auto &[begin, end] : result.faultTimes)
        absl::StrAppend(&text, faultText(result, begin, end));
    absl::StrAppend(&text, "\n\nrefusals\n");
    for (const PolicyResult &policy : result.policies)
        absl::StrAppendFormat(&text, "%-34s %s\n", policy.policy, joinCounts(policy.refusals()));
    return text;
}

} // namespace foxtailtally
