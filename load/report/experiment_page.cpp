#include "load/report/experiment_page.h"

#include "load/report/html_page.h"
#include "load/report/svg_chart.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace foxtailtally {

namespace {

/** Goal for the slowdown of short requests (design section 2). */
constexpr double kSlowdownGoal = 1.5;

std::string number(double value)
{
    return absl::StrFormat("%.2f", value);
}

void addSummary(HtmlPage &page, const ExperimentResult &result)
{
    std::vector<std::vector<std::string>> rows;
    for (const PolicyResult &policy : result.policies) {
        const Quantiles slowdown = policy.shortSlowdown();
        rows.push_back(
            {policy.policy, absl::StrCat(policy.count(RequestOutcome::Ok)),
             absl::StrCat(policy.count(RequestOutcome::Refused)),
             absl::StrCat(policy.count(RequestOutcome::Late)),
             absl::StrCat(policy.count(RequestOutcome::Failed)), absl::StrCat(policy.coldOverloads),
             number(slowdown.p50), number(slowdown.p95), number(slowdown.p99),
             absl::StrFormat("%.0f", policy.meanGoodput(absl::ZeroDuration(), result.length))});
    }
    page.addHeading("Outcomes");
    page.addTable({"policy", "ok", "refused", "late", "failed", "cold overloads", "slowdown p50",
                   "p95", "p99", "tokens/s"},
                  rows);
    page.addParagraph("Slowdown is the time to first token of urgent prompts of up to 4,096 tokens "
                      "divided by that on an idle system. Late requests ran but were not complete "
                      "at their deadline.");
}

void addSlowdown(HtmlPage &page, const ExperimentResult &result)
{
    ChartOptions options;
    options.title = "Slowdown of short urgent requests";
    options.yLabel = "slowdown";
    options.categories = {"p50", "p95", "p99"};
    options.goal = kSlowdownGoal;
    options.isLogarithmic = true;
    std::vector<ChartSeries> series;
    for (const PolicyResult &policy : result.policies) {
        const Quantiles slowdown = policy.shortSlowdown();
        series.push_back({policy.policy, {slowdown.p50, slowdown.p95, slowdown.p99}});
    }
    page.addMarkup(barChart(options, series));
}

void addFirstTokens(HtmlPage &page, const ExperimentResult &result)
{
    page.addHeading("Time to first token by prompt length");
    ChartOptions options;
    options.title = "99th percentile of the time to first token";
    options.xLabel = "prompt tokens";
    options.yLabel = "seconds";
    options.isLogarithmic = true;
    std::vector<ChartSeries> series;
    std::vector<std::vector<std::string>> rows;
    std::vector<std::string> header = {"policy"};
    for (const LengthBand &band : kLengthBands) {
        options.categories.emplace_back(band.name);
        header.push_back(std::string(band.name) + " (p50 / p95 / p99)");
    }
    for (const PolicyResult &policy : result.policies) {
        ChartSeries &line = series.emplace_back();
        line.name = policy.policy;
        std::vector<std::string> &row = rows.emplace_back();
        row.push_back(policy.policy);
        for (const LengthBand &band : kLengthBands) {
            const Quantiles quantiles = policy.timeToFirstToken(band);
            line.values.push_back(quantiles.p99);
            row.push_back(
                absl::StrFormat("%.2f / %.2f / %.2f", quantiles.p50, quantiles.p95, quantiles.p99));
        }
    }
    page.addMarkup(barChart(options, series));
    page.addTable(header, rows);
}

void addGoodput(HtmlPage &page, const ExperimentResult &result)
{
    page.addHeading("Goodput over time");
    ChartOptions options;
    options.title = "Tokens of requests complete within their deadline";
    options.xLabel = "seconds";
    options.yLabel = "tokens per second";
    options.xStep = absl::ToDoubleSeconds(kGoodputBucket);
    std::vector<ChartSeries> series;
    for (const PolicyResult &policy : result.policies)
        series.push_back({policy.policy, policy.goodput(kGoodputBucket, result.length)});
    page.addMarkup(lineChart(options, series));
}

void addRefusals(HtmlPage &page, const ExperimentResult &result)
{
    std::vector<std::vector<std::string>> rows;
    for (const PolicyResult &policy : result.policies) {
        for (const auto &[reason, count] : policy.refusals())
            rows.push_back({policy.policy, reason, absl::StrCat(count)});
    }
    page.addHeading("Refusals");
    page.addTable({"policy", "reason", "requests"}, rows);
}

} // namespace

std::string experimentPage(const ExperimentResult &result)
{
    HtmlPage page(result.title);
    page.addParagraph(absl::StrFormat(
        "%s at %.2f of a capacity of %.1f model requests per second, %s in virtual time, seed %d.",
        result.deployment, result.load, result.capacityPerSecond,
        absl::FormatDuration(result.length), result.seed));
    for (const std::string &fault : result.faults)
        page.addParagraph("Fault: " + fault);
    addSummary(page, result);
    addSlowdown(page, result);
    addFirstTokens(page, result);
    addGoodput(page, result);
    addRefusals(page, result);
    return page.text();
}

} // namespace foxtailtally
