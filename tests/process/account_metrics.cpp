#include "tests/process/account_metrics.h"

#include "core/text.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace foxtailtally {

namespace {

int lineValue(absl::string_view line)
{
    int value = -1;
    const bool isNumber = absl::SimpleAtoi(line.substr(line.rfind(' ') + 1), &value);
    return isNumber ? value : -1;
}

} // namespace

int AccountMetrics::ended() const
{
    return this->sum("foxtailtally_requests_total{");
}

int AccountMetrics::ended(std::string_view end) const
{
    return this->sum(absl::StrCat("foxtailtally_requests_total{end=\"", asAbsl(end), "\""));
}

int AccountMetrics::ended(std::string_view end, std::string_view cause) const
{
    return this->sum(absl::StrCat("foxtailtally_requests_total{end=\"", asAbsl(end), "\",cause=\"",
                                  asAbsl(cause), "\"}"));
}

int AccountMetrics::value(std::string_view name) const
{
    for (const absl::string_view line : absl::StrSplit(this->text, '\n')) {
        if (absl::StartsWith(line, asAbsl(name)))
            return lineValue(line);
    }
    return -1;
}

int AccountMetrics::sum(std::string_view prefix) const
{
    int total = 0;
    for (const absl::string_view line : absl::StrSplit(this->text, '\n')) {
        if (absl::StartsWith(line, asAbsl(prefix)))
            total += lineValue(line);
    }
    return total;
}

} // namespace foxtailtally
