#pragma once

#include "load/report/burn_tracker.h"

#include <absl/time/time.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace foxtailtally {

/** Error budget use and burn rates of one value of a dimension. */
struct BurnRow
{
    BurnTracker::Key key;
    OutcomeCounts total;
    /** Error budget used during the observation; 1 is the whole budget of the objective. */
    double budgetUsed = 0;
    double shortBurnRate = 0;
    double longBurnRate = 0;
    /** Burn rate over the short window at each time of BurnReport::times. */
    std::vector<double> history;
};

/** Burn of the error budget during an observation. */
struct BurnReport
{
    double objective = 0.999;
    absl::Time begin;
    absl::Time end;
    std::vector<absl::Time> times;
    std::vector<BurnRow> rows;
    absl::btree_map<std::string, FirstTokenTimes> firstTokenTimes;
};

/** Evaluates @p tracker at each of @p times, which must be ascending and not empty. */
BurnReport makeBurnReport(const BurnTracker &tracker, double objective,
                          const std::vector<absl::Time> &times);

std::string toText(const BurnReport &report);
nlohmann::json toJson(const BurnReport &report);
/** Self-contained HTML page with tables and plots. */
std::string burnPage(const BurnReport &report);

} // namespace foxtailtally
