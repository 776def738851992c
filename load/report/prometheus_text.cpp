#include "load/report/prometheus_text.h"

#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <optional>

namespace foxtailtally {

namespace {

/** Parses `name="value",...}`, the text after "{"; returns the rest, or nullopt if malformed. */
std::optional<std::string_view> parseLabels(std::string_view text, MetricSample &sample)
{
    while (!text.empty() && text.front() != '}') {
        const std::size_t equals = text.find("=\"");
        if (equals == std::string_view::npos)
            return std::nullopt;
        const std::string name(text.substr(0, equals));
        std::string value;
        std::size_t i = equals + 2;
        for (; i < text.size() && text[i] != '"'; ++i) {
            if (text[i] == '\\' && i + 1 < text.size())
                ++i;
            value += text[i];
        }
        if (i >= text.size())
            return std::nullopt;
        sample.labels[name] = std::move(value);
        text.remove_prefix(i + 1);
        if (!text.empty() && text.front() == ',')
            text.remove_prefix(1);
    }
    if (text.empty())
        return std::nullopt;
    return text.substr(1);
}

std::optional<MetricSample> parseLine(std::string_view line)
{
    MetricSample sample;
    const std::size_t end = line.find_first_of("{ ");
    if (end == std::string_view::npos || end == 0)
        return std::nullopt;
    sample.name = line.substr(0, end);
    std::optional<std::string_view> rest = line.substr(end);
    if (rest->front() == '{')
        rest = parseLabels(rest->substr(1), sample);
    if (!rest)
        return std::nullopt;
    const std::vector<std::string> fields =
        absl::StrSplit(asAbsl(*rest), ' ', absl::SkipWhitespace());
    // A timestamp may follow the value.
    if (fields.empty() || fields.size() > 2 || !absl::SimpleAtod(fields[0], &sample.value))
        return std::nullopt;
    return sample;
}

} // namespace

std::string MetricSample::label(const std::string &label) const
{
    const auto found = this->labels.find(label);
    return found == this->labels.end() ? std::string() : found->second;
}

std::vector<MetricSample> parsePrometheusText(std::string_view text)
{
    std::vector<MetricSample> samples;
    for (const absl::string_view raw : absl::StrSplit(asAbsl(text), '\n')) {
        const std::string_view line = asStd(absl::StripAsciiWhitespace(raw));
        if (line.empty() || line.front() == '#')
            continue;
        if (std::optional<MetricSample> sample = parseLine(line))
            samples.push_back(std::move(*sample));
    }
    return samples;
}

} // namespace foxtailtally
