#include "load/generator/load_record.h"

#include "core/text.h"
#include "load/experiment/experiment_result.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

constexpr RequestClass kClasses[] = {RequestClass::Urgent, RequestClass::Normal,
                                     RequestClass::Batch};

/** Seconds of @p field of successful requests of one class. */
Quantiles quantilesOfClass(const std::vector<LoadRecord> &records, RequestClass requestClass,
                           absl::Duration LoadRecord::*field)
{
    std::vector<double> values;
    for (const LoadRecord &record : records) {
        const bool isCounted =
            record.outcome == LoadOutcome::Ok || record.outcome == LoadOutcome::Late;
        // Actions of plain services have no tokens, hence no time to first token.
        if (isCounted && record.requestClass == requestClass
            && record.*field > absl::ZeroDuration())
            values.push_back(absl::ToDoubleSeconds(record.*field));
    }
    return quantilesOf(std::move(values));
}

nlohmann::json quantilesJson(const Quantiles &quantiles)
{
    return {{"count", quantiles.count},
            {"p50", quantiles.p50},
            {"p95", quantiles.p95},
            {"p99", quantiles.p99}};
}

} // namespace

std::string_view loadOutcomeName(LoadOutcome outcome)
{
    switch (outcome) {
    case LoadOutcome::Ok:
        return "ok";
    case LoadOutcome::Late:
        return "late";
    case LoadOutcome::Refused:
        return "refused";
    case LoadOutcome::Truncated:
        return "cut";
    case LoadOutcome::Wrong:
        return "wrong";
    case LoadOutcome::SlowReader:
        return "slow_reader";
    case LoadOutcome::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

nlohmann::json toJson(const LoadRecord &record)
{
    return {{"id", record.id},
            {"kind", record.kind},
            {"class", requestClassName(record.requestClass)},
            {"prompt_tokens", record.promptTokens},
            {"send_at_seconds", absl::ToDoubleSeconds(record.sendAt)},
            {"send_delay_seconds", absl::ToDoubleSeconds(record.sendDelay)},
            {"outcome", loadOutcomeName(record.outcome)},
            {"status", record.status},
            {"reason", record.reason},
            {"not_run", record.notRun},
            {"untrue_refusal", record.isUntrueRefusal},
            {"mix_up", record.isMixUp},
            {"gap", record.hasGap},
            {"tokens", record.tokens},
            {"time_to_first_token_seconds", absl::ToDoubleSeconds(record.timeToFirstToken)},
            {"total_seconds", absl::ToDoubleSeconds(record.total)}};
}

bool LoadSummary::isFaultless() const
{
    return this->mixUps == 0 && this->gaps == 0 && this->untrueRefusals == 0
        && !this->outcomes.contains(std::string(loadOutcomeName(LoadOutcome::Truncated)))
        && !this->outcomes.contains(std::string(loadOutcomeName(LoadOutcome::Wrong)));
}

LoadSummary summarize(const std::vector<LoadRecord> &records)
{
    LoadSummary summary;
    for (const LoadRecord &record : records) {
        ++summary.requests;
        ++summary.outcomes[std::string(loadOutcomeName(record.outcome))];
        if (!record.reason.empty())
            ++summary.reasons[record.reason];
        summary.mixUps += record.isMixUp ? 1 : 0;
        summary.gaps += record.hasGap ? 1 : 0;
        summary.untrueRefusals += record.isUntrueRefusal ? 1 : 0;
        summary.maxSendDelay = std::max(summary.maxSendDelay, record.sendDelay);
    }
    return summary;
}

nlohmann::json toJson(const LoadSummary &summary, const std::vector<LoadRecord> &records)
{
    nlohmann::json classes = nlohmann::json::object();
    for (const RequestClass requestClass : kClasses) {
        classes[std::string(requestClassName(requestClass))] = {
            {"time_to_first_token_seconds",
             quantilesJson(quantilesOfClass(records, requestClass, &LoadRecord::timeToFirstToken))},
            {"total_seconds",
             quantilesJson(quantilesOfClass(records, requestClass, &LoadRecord::total))}};
    }
    return {{"requests", summary.requests},
            {"outcomes", summary.outcomes},
            {"reasons", summary.reasons},
            {"mix_ups", summary.mixUps},
            {"gaps", summary.gaps},
            {"untrue_refusals", summary.untrueRefusals},
            {"max_send_delay_seconds", absl::ToDoubleSeconds(summary.maxSendDelay)},
            {"classes", std::move(classes)}};
}

std::string toText(const LoadSummary &summary, const std::vector<LoadRecord> &records)
{
    std::string text = absl::StrFormat("requests %d\n", summary.requests);
    for (const auto &[name, count] : summary.outcomes)
        absl::StrAppendFormat(&text, "  %-24s %d\n", name, count);
    for (const auto &[name, count] : summary.reasons)
        absl::StrAppendFormat(&text, "  reason %-17s %d\n", name, count);
    absl::StrAppendFormat(&text,
                          "mix-ups %d, gaps %d, untrue refusals %d, largest send delay %.3f s\n",
                          summary.mixUps, summary.gaps, summary.untrueRefusals,
                          absl::ToDoubleSeconds(summary.maxSendDelay));
    absl::StrAppendFormat(&text, "%-8s %8s %26s %26s\n", "class", "complete",
                          "first token p50 p95 p99 s", "total p50 p95 p99 s");
    for (const RequestClass requestClass : kClasses) {
        const Quantiles first =
            quantilesOfClass(records, requestClass, &LoadRecord::timeToFirstToken);
        const Quantiles total = quantilesOfClass(records, requestClass, &LoadRecord::total);
        absl::StrAppendFormat(&text, "%-8s %8d %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f\n",
                              asAbsl(requestClassName(requestClass)), total.count, first.p50,
                              first.p95, first.p99, total.p50, total.p95, total.p99);
    }
    return text;
}

} // namespace foxtailtally
