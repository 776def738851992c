#pragma once

#include "load/scaling/scaling_trial.h"

#include <string>
#include <vector>

namespace foxtailtally {

struct ScalingExperimentRow
{
    std::string name;
    ScalingTrialSetup setup;
    ScalingTrialResult result;
};

/** Compares fixed numbers of servers, the planner and perfect knowledge, the latter two for several
 * target utilisations, over a day of @p seconds; means over @p seeds seeds. */
std::vector<ScalingExperimentRow> runScalingExperiment(double seconds, int seeds);

std::string toText(const std::vector<ScalingExperimentRow> &rows);
/** Page with the table and plots. */
std::string scalingExperimentPage(const std::vector<ScalingExperimentRow> &rows);

} // namespace foxtailtally
