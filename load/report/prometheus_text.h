#pragma once

#include <absl/container/btree_map.h>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One sample of the Prometheus text exposition format. */
struct MetricSample
{
    std::string name;
    absl::btree_map<std::string, std::string> labels;
    double value = 0;

    /** Value of label @p label; empty if it is absent. */
    std::string label(const std::string &label) const;
};

/** Samples of @p text; comments and malformed lines are skipped. */
std::vector<MetricSample> parsePrometheusText(std::string_view text);

} // namespace foxtailtally
