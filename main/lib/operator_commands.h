#pragma once

#include <CLI/CLI.hpp>

namespace foxtailtally {

/**
 * Adds the commands that operators run against an instance's administration API: note, domain,
 * instance and status. @p exitCode is set by the command that runs.
 */
void addOperatorCommands(CLI::App &app, int &exitCode);

} // namespace foxtailtally
