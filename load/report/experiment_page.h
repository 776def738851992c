#pragma once

#include "load/experiment/experiment_result.h"

#include <string>

namespace foxtailtally {

/** Self-contained HTML page with tables and plots of an experiment. */
std::string experimentPage(const ExperimentResult &result);

} // namespace foxtailtally
