#include "load/report/burn_report.h"

#include "core/text.h"
#include "load/report/html_page.h"
#include "load/report/svg_chart.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Maximum number of lines in one plot; further values appear only in the tables. */
constexpr std::size_t kMaxLines = 7;

std::string nameOf(const BurnTracker::Key &key)
{
    return key.dimension.empty() ? "all requests" : absl::StrCat(key.dimension, " ", key.value);
}

std::vector<const BurnRow *> rowsOf(const BurnReport &report, std::string_view dimension)
{
    std::vector<const BurnRow *> rows;
    for (const BurnRow &row : report.rows) {
        if (row.key.dimension == dimension)
            rows.push_back(&row);
    }
    std::stable_sort(rows.begin(), rows.end(), [](const BurnRow *a, const BurnRow *b) {
        return a->budgetUsed > b->budgetUsed;
    });
    return rows;
}

std::vector<std::string> cellsOf(const BurnRow &row)
{
    return {nameOf(row.key),
            absl::StrFormat("%.0f", row.total.ok),
            absl::StrFormat("%.0f", row.total.late),
            absl::StrFormat("%.0f", row.total.failed),
            absl::StrFormat("%.0f", row.total.refused),
            absl::StrFormat("%.1f%%", 100 * row.budgetUsed),
            absl::StrFormat("%.2f", row.shortBurnRate),
            absl::StrFormat("%.2f", row.longBurnRate)};
}

const std::vector<std::string> &columns()
{
    static const std::vector<std::string> names = {
        "requests", "ok", "late", "failed", "refused", "budget used", "burn 5 min", "burn 1 h"};
    return names;
}

std::string observation(const BurnReport &report)
{
    return absl::StrFormat(
        "objective %.4g%% of admitted requests complete in time, observed for %s. A burn rate of 1 "
        "uses exactly the error budget; windows longer than the observation cover the observation.",
        100 * report.objective, absl::FormatDuration(report.end - report.begin));
}

void addDimension(HtmlPage &page, const BurnReport &report, std::string_view dimension)
{
    const std::vector<const BurnRow *> rows = rowsOf(report, dimension);
    page.addHeading(dimension.empty() ? "All requests" : absl::StrCat("By ", asAbsl(dimension)));
    ChartOptions options;
    options.title = "Burn rate over the last 5 minutes";
    options.xLabel = "seconds";
    options.yLabel = "burn rate";
    options.goal = 1;
    if (report.times.size() > 1)
        options.xStep = absl::ToDoubleSeconds(report.times[1] - report.times[0]);
    std::vector<ChartSeries> series;
    std::vector<std::vector<std::string>> cells;
    for (const BurnRow *row : rows) {
        if (series.size() < kMaxLines)
            series.push_back({nameOf(row->key), row->history});
        cells.push_back(cellsOf(*row));
    }
    page.addMarkup(lineChart(options, series));
    page.addTable(columns(), cells);
}

} // namespace

BurnReport makeBurnReport(const BurnTracker &tracker, double objective,
                          const std::vector<absl::Time> &times)
{
    BurnReport report;
    report.objective = objective;
    report.begin = tracker.firstReading();
    report.end = times.back();
    report.times = times;
    report.firstTokenTimes = tracker.firstTokenTimes();
    for (const BurnTracker::Key &key : tracker.keys()) {
        BurnRow &row = report.rows.emplace_back();
        row.key = key;
        row.total = tracker.total(key);
        row.budgetUsed = row.total.burnRate(objective);
        row.shortBurnRate = tracker.within(key, kShortBurnWindow, report.end).burnRate(objective);
        row.longBurnRate = tracker.within(key, kLongBurnWindow, report.end).burnRate(objective);
        for (const absl::Time time : times)
            row.history.push_back(tracker.within(key, kShortBurnWindow, time).burnRate(objective));
    }
    return report;
}

std::string toText(const BurnReport &report)
{
    std::string text = observation(report) + "\n";
    absl::StrAppendFormat(&text, "%-32s", columns().front());
    for (std::size_t i = 1; i < columns().size(); ++i)
        absl::StrAppendFormat(&text, " %11s", columns()[i]);
    text += '\n';
    for (const BurnRow &row : report.rows) {
        const std::vector<std::string> cells = cellsOf(row);
        absl::StrAppendFormat(&text, "%-32s", cells.front());
        for (std::size_t i = 1; i < cells.size(); ++i)
            absl::StrAppendFormat(&text, " %11s", cells[i]);
        text += '\n';
    }
    for (const auto &[name, times] : report.firstTokenTimes)
        absl::StrAppendFormat(&text,
                              "time to first token, class %s, worst instance: p50 %.3f s, p95 %.3f "
                              "s, p99 %.3f s\n",
                              name, times.p50, times.p95, times.p99);
    return text;
}

nlohmann::json toJson(const BurnReport &report)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const BurnRow &row : report.rows) {
        rows.push_back({{"dimension", row.key.dimension},
                        {"value", row.key.value},
                        {"ok", row.total.ok},
                        {"late", row.total.late},
                        {"failed", row.total.failed},
                        {"refused", row.total.refused},
                        {"refused_ratio", row.total.refusedRatio()},
                        {"budget_used", row.budgetUsed},
                        {"burn_rate_5_min", row.shortBurnRate},
                        {"burn_rate_1_h", row.longBurnRate},
                        {"burn_rate_5_min_history", row.history}});
    }
    nlohmann::json times = nlohmann::json::object();
    for (const auto &[name, quantiles] : report.firstTokenTimes)
        times[name] = {{"p50", quantiles.p50}, {"p95", quantiles.p95}, {"p99", quantiles.p99}};
    return {{"objective", report.objective},
            {"observed_seconds", absl::ToDoubleSeconds(report.end - report.begin)},
            {"rows", std::move(rows)},
            {"time_to_first_token_seconds", std::move(times)}};
}

std::string burnPage(const BurnReport &report)
{
    HtmlPage page("Service-level burn");
    page.addParagraph("Service-level " + observation(report));
    page.addParagraph("Late and failed requests use the error budget. Requests refused before "
                      "they ran are listed separately.");
    addDimension(page, report, "");
    for (const std::string_view dimension : kBurnDimensions)
        addDimension(page, report, dimension);
    std::vector<std::vector<std::string>> rows;
    for (const auto &[name, times] : report.firstTokenTimes)
        rows.push_back({name, absl::StrFormat("%.3f", times.p50),
                        absl::StrFormat("%.3f", times.p95), absl::StrFormat("%.3f", times.p99)});
    page.addHeading("Time to first token, worst instance, in seconds");
    page.addTable({"class", "p50", "p95", "p99"}, rows);
    return page.text();
}

} // namespace foxtailtally
