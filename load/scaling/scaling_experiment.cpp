#include "load/scaling/scaling_experiment.h"

#include "load/report/html_page.h"
#include "load/report/svg_chart.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace foxtailtally {

namespace {

constexpr double kUtilisations[] = {0.4, 0.5, 0.6, 0.7, 0.8, 1.0};
/** Smallest and largest number that the limits of the trial allow, the number at its start, and
 * some between. */
constexpr std::int64_t kFixedNumbers[] = {31, 40, 45, 50, 60, 76};

const std::vector<std::string> kColumns = {"servers", "in time",      "short",          "medium",
                                           "long",    "earned value", "server-seconds", "orders"};

std::vector<std::string> cells(const ScalingExperimentRow &row)
{
    std::vector<std::string> cells = {row.name, absl::StrFormat("%.4f", row.result.onTimeShare)};
    for (const double share : row.result.onTimeShares)
        cells.push_back(absl::StrFormat("%.3f", share));
    cells.push_back(absl::StrFormat("%.4f", row.result.earnedShare));
    cells.push_back(absl::StrFormat("%.0f", row.result.serverSeconds));
    cells.push_back(absl::StrFormat("%.1f", row.result.orders));
    return cells;
}

std::string chart(const std::vector<ScalingExperimentRow> &rows, ScalingPolicy policy,
                  const std::string &title)
{
    ChartOptions options;
    options.title = title;
    options.xLabel = "s";
    options.yLabel = "servers";
    std::vector<ChartSeries> series;
    for (const ScalingExperimentRow &row : rows) {
        if (row.setup.policy == policy)
            series.push_back({row.name, row.result.servers});
    }
    return lineChart(options, series);
}

std::string lateChart(const std::vector<ScalingExperimentRow> &rows)
{
    ChartOptions options;
    options.title = "Requests that are not in time";
    options.yLabel = "share";
    ChartSeries late {"late or lost", {}};
    for (const ScalingExperimentRow &row : rows) {
        options.categories.push_back(row.name);
        late.values.push_back(1.0 - row.result.onTimeShare);
    }
    return barChart(options, {late});
}

} // namespace

std::vector<ScalingExperimentRow> runScalingExperiment(double seconds, int seeds)
{
    std::vector<ScalingExperimentRow> rows;
    const auto add = [&rows, seconds, seeds](const std::string &name, ScalingTrialSetup setup) {
        setup.seconds = seconds;
        rows.push_back({name, setup, meanScalingTrial(setup, seeds)});
    };
    for (const std::int64_t number : kFixedNumbers)
        add(absl::StrCat("fixed ", number), {.policy = ScalingPolicy::Fixed, .servers = number});
    for (const double utilisation : kUtilisations)
        add(absl::StrFormat("planner %.1f", utilisation), {.targetUtilisation = utilisation});
    for (const double utilisation : kUtilisations)
        add(absl::StrFormat("known %.1f", utilisation),
            {.policy = ScalingPolicy::PerfectKnowledge, .targetUtilisation = utilisation});
    return rows;
}

std::string toText(const std::vector<ScalingExperimentRow> &rows)
{
    std::string text = absl::StrCat(absl::StrJoin(kColumns, "\t"), "\n");
    for (const ScalingExperimentRow &row : rows)
        absl::StrAppend(&text, absl::StrJoin(cells(row), "\t"), "\n");
    return text;
}

std::string scalingExperimentPage(const std::vector<ScalingExperimentRow> &rows)
{
    HtmlPage page("Number of servers");
    page.addParagraph("Load with swings of 20% every 11 s and a burst of 1.7 times the rates for "
                      "3 s, in virtual time; 60 servers at the start, 31 to 76 allowed.");
    std::vector<std::vector<std::string>> table;
    table.reserve(rows.size());
    for (const ScalingExperimentRow &row : rows)
        table.push_back(cells(row));
    page.addTable(kColumns, table);
    page.addMarkup(lateChart(rows));
    page.addMarkup(chart(rows, ScalingPolicy::Planner, "Servers, planner"));
    page.addMarkup(chart(rows, ScalingPolicy::PerfectKnowledge, "Servers, perfect knowledge"));
    return page.text();
}

} // namespace foxtailtally
