#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace foxtailtally {

/** The account of requests in the metrics of a gateway. */
class AccountMetrics
{
public:
    /** @p metrics: text of the metrics address. */
    explicit AccountMetrics(std::string metrics)
        : text(std::move(metrics))
    { }

    /** These are negative if the metrics lack the value. */
    int begun() const { return this->value("foxtailtally_requests_begun_total "); }
    int inProgress() const { return this->value("foxtailtally_requests_in_progress "); }
    int mismatches() const { return this->value("foxtailtally_request_account_mismatches_total "); }
    /** Requests that ended in any way, or with @p end, or with @p end by @p cause. */
    int ended() const;
    int ended(std::string_view end) const;
    int ended(std::string_view end, std::string_view cause) const;

private:
    /** Value of the first line that begins with @p name; negative without one. */
    int value(std::string_view name) const;
    /** Sum of the lines that begin with @p prefix. */
    int sum(std::string_view prefix) const;

    std::string text;
};

} // namespace foxtailtally
