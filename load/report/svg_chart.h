#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One line of a line chart or one bar per category of a bar chart. */
struct ChartSeries
{
    std::string name;
    std::vector<double> values;
};

/** Text and scales of a chart. */
struct ChartOptions
{
    std::string title;
    std::string xLabel;
    std::string yLabel;
    /** Distance of two points on the x axis, in the unit of xLabel. */
    double xStep = 1;
    /** Names of the groups of bars. */
    std::vector<std::string> categories;
    /** Horizontal line at a goal; none when negative. */
    double goal = -1;
    /** Values are drawn on a logarithmic axis; those that are not positive are left out. */
    bool isLogarithmic = false;
};

/** Text with the characters that HTML reserves replaced. */
std::string escapeHtml(std::string_view text);

/** Line chart as one SVG element with a legend. */
std::string lineChart(const ChartOptions &options, const std::vector<ChartSeries> &series);

/** Grouped bars, one group per category, as one SVG element with a legend. */
std::string barChart(const ChartOptions &options, const std::vector<ChartSeries> &series);

} // namespace foxtailtally
