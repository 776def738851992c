#include "load/report/svg_chart.h"

#include "core/text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace foxtailtally {

namespace {

constexpr double kWidth = 920;
constexpr double kHeight = 320;
constexpr double kLeft = 72;
constexpr double kRight = 16;
constexpr double kTop = 40;
constexpr double kBottom = 48;
constexpr double kLegendRow = 18;
constexpr double kLegendColumn = 220;
constexpr int kTicks = 5;

// Palette of Okabe and Ito, distinguishable with a colour vision deficiency.
constexpr std::array<const char *, 7> kColours = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                                                  "#e69f00", "#56b4e9", "#666666"};

const char *colour(std::size_t index)
{
    return kColours[index % kColours.size()];
}

std::string tickText(double value)
{
    if (value >= 1e6)
        return absl::StrFormat("%gM", value / 1e6);
    if (value >= 1e4)
        return absl::StrFormat("%gk", value / 1e3);
    return absl::StrFormat("%.3g", value);
}

/** Smallest of 1, 2, 2.5, 5 times a power of ten that is at least @p value. */
double roundUp(double value)
{
    if (value <= 0)
        return 1;
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double factor : {1.0, 2.0, 2.5, 5.0}) {
        if (factor * power >= value)
            return factor * power;
    }
    return 10 * power;
}

/** Maps values to y coordinates of the plot area. */
class ValueScale
{
public:
    ValueScale(const ChartOptions &options, const std::vector<ChartSeries> &series)
        : isLogarithmic(options.isLogarithmic)
    {
        double highest = std::max(options.goal, 0.0);
        double lowest = highest > 0 ? highest : 1e300;
        for (const ChartSeries &entry : series) {
            for (const double value : entry.values) {
                highest = std::max(highest, value);
                if (value > 0)
                    lowest = std::min(lowest, value);
            }
        }
        this->top = this->isLogarithmic
            ? std::pow(10, std::ceil(std::log10(std::max(highest, 1e-9))))
            : roundUp(highest);
        if (this->isLogarithmic)
            this->bottom = std::pow(10, std::floor(std::log10(std::min(lowest, this->top / 10))));
    }

    double y(double value) const
    {
        return kHeight - kBottom - this->fraction(value) * (kHeight - kTop - kBottom);
    }

    std::vector<double> ticks() const
    {
        std::vector<double> values;
        if (this->isLogarithmic) {
            for (double value = this->bottom; value <= this->top * 1.001; value *= 10)
                values.push_back(value);
        } else {
            for (int i = 0; i <= kTicks; ++i)
                values.push_back(this->top * i / kTicks);
        }
        return values;
    }

private:
    double fraction(double value) const
    {
        if (!this->isLogarithmic)
            return value / this->top;
        if (value <= this->bottom)
            return 0;
        return std::log10(value / this->bottom) / std::log10(this->top / this->bottom);
    }

    bool isLogarithmic;
    double top = 1;
    double bottom = 0;
};

std::string textAt(double x, double y, std::string_view anchor, std::string_view text,
                   std::string_view extra = "")
{
    return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\"%s>%s</text>\n", x, y,
                           asAbsl(anchor), asAbsl(extra), escapeHtml(text));
}

std::string frame(const ChartOptions &options, const ValueScale &scale,
                  const std::vector<ChartSeries> &series)
{
    const auto rows = std::ceil(static_cast<double>(series.size()) / 4);
    const double height = kHeight + rows * kLegendRow;
    std::string svg = absl::StrFormat("<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" "
                                      "aria-label=\"%s\" xmlns=\"http://www.w3.org/2000/svg\">\n",
                                      kWidth, height, escapeHtml(options.title));
    absl::StrAppend(&svg, textAt(kLeft, 20, "start", options.title, " class=\"title\""));
    for (const double value : scale.ticks()) {
        const double y = scale.y(value);
        absl::StrAppendFormat(&svg,
                              "<line class=\"grid\" x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
                              "y2=\"%.1f\"/>\n",
                              kLeft, y, kWidth - kRight, y);
        absl::StrAppend(&svg, textAt(kLeft - 8, y + 4, "end", tickText(value)));
    }
    if (options.goal >= 0) {
        const double y = scale.y(options.goal);
        absl::StrAppendFormat(&svg,
                              "<line class=\"goal\" x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
                              "y2=\"%.1f\"/>\n",
                              kLeft, y, kWidth - kRight, y);
        absl::StrAppend(&svg, textAt(kWidth - kRight, y - 4, "end", "goal"));
    }
    const double middle = (kTop + kHeight - kBottom) / 2;
    absl::StrAppend(&svg,
                    textAt(14, middle, "middle", options.yLabel,
                           absl::StrFormat(" transform=\"rotate(-90 14 %.1f)\"", middle)));
    absl::StrAppend(&svg,
                    textAt((kLeft + kWidth - kRight) / 2, kHeight - 8, "middle", options.xLabel));
    for (std::size_t i = 0; i < series.size(); ++i) {
        const double x = kLeft + static_cast<double>(i % 4) * kLegendColumn;
        const double y = kHeight + std::floor(static_cast<double>(i) / 4) * kLegendRow;
        absl::StrAppendFormat(
            &svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"12\" height=\"12\" fill=\"%s\"/>\n", x, y,
            colour(i));
        absl::StrAppend(&svg, textAt(x + 18, y + 10, "start", series[i].name));
    }
    return svg;
}

} // namespace

std::string escapeHtml(std::string_view text)
{
    return absl::StrReplaceAll(asAbsl(text),
                               {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

std::string lineChart(const ChartOptions &options, const std::vector<ChartSeries> &series)
{
    const ValueScale scale(options, series);
    std::string svg = frame(options, scale, series);
    std::size_t points = 2;
    for (const ChartSeries &entry : series)
        points = std::max(points, entry.values.size());
    const double step = (kWidth - kLeft - kRight) / static_cast<double>(points - 1);
    for (int i = 0; i <= kTicks; ++i) {
        const double position = static_cast<double>(points - 1) * i / kTicks;
        absl::StrAppend(&svg,
                        textAt(kLeft + position * step, kHeight - kBottom + 16, "middle",
                               tickText(position * options.xStep)));
    }
    for (std::size_t i = 0; i < series.size(); ++i) {
        std::string path;
        for (std::size_t j = 0; j < series[i].values.size(); ++j)
            absl::StrAppendFormat(&path, "%s%.1f %.1f", j == 0 ? "M" : " L",
                                  kLeft + static_cast<double>(j) * step,
                                  scale.y(series[i].values[j]));
        if (!path.empty())
            absl::StrAppendFormat(&svg,
                                  "<path d=\"%s\" fill=\"none\" stroke=\"%s\" "
                                  "stroke-width=\"%s\"/>\n",
                                  path, colour(i), i == 0 ? "2.5" : "1.5");
    }
    return svg + "</svg>\n";
}

std::string barChart(const ChartOptions &options, const std::vector<ChartSeries> &series)
{
    const ValueScale scale(options, series);
    std::string svg = frame(options, scale, series);
    const auto categories =
        static_cast<double>(std::max<std::size_t>(options.categories.size(), 1));
    const double group = (kWidth - kLeft - kRight) / categories;
    const double bar = group * 0.8 / static_cast<double>(std::max<std::size_t>(series.size(), 1));
    for (std::size_t c = 0; c < options.categories.size(); ++c) {
        const double left = kLeft + static_cast<double>(c) * group + group * 0.1;
        for (std::size_t i = 0; i < series.size(); ++i) {
            const double value = c < series[i].values.size() ? series[i].values[c] : 0;
            if (value <= 0)
                continue;
            const double y = scale.y(value);
            absl::StrAppendFormat(&svg,
                                  "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
                                  "fill=\"%s\"><title>%s, %s: %.3g</title></rect>\n",
                                  left + static_cast<double>(i) * bar, y, bar * 0.9,
                                  kHeight - kBottom - y, colour(i), escapeHtml(series[i].name),
                                  escapeHtml(options.categories[c]), value);
        }
        absl::StrAppend(
            &svg,
            textAt(left + group * 0.4, kHeight - kBottom + 16, "middle", options.categories[c]));
    }
    return svg + "</svg>\n";
}

} // namespace foxtailtally
