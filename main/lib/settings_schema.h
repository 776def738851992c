#pragma once

#include "core/settings.h"

#include <vector>

namespace foxtailtally {

/** Every key of the settings file of `serve`. docs/settings.md is generated from it. */
const std::vector<SettingSpec> &serveSettingsSchema();

/** The schema as a Markdown table. */
std::string describeSettings(const std::vector<SettingSpec> &schema);

} // namespace foxtailtally
