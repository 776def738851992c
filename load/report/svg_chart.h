#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One line of a line chart, or one bar in each category of a bar chart. */
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
    /** Distance between adjacent points on the x axis, in the unit of xLabel. */
    double xStep = 1;
    /** Labels of the groups of bars in a bar chart. */
    std::vector<std::string> categories;
    /** Value marked by a horizontal goal line; no line if negative. */
    double goal = -1;
    /** Logarithmic value axis; bars of values that are not positive are omitted. */
    bool isLogarithmic = false;
};

/** Replaces the reserved characters of HTML by entities. */
std::string escapeHtml(std::string_view text);

/** Line chart as one SVG element with a legend. */
std::string lineChart(const ChartOptions &options, const std::vector<ChartSeries> &series);

/** Grouped bars, one group per category, as one SVG element with a legend. */
std::string barChart(const ChartOptions &options, const std::vector<ChartSeries> &series);

} // namespace foxtailtally
