#pragma once

#include <CLI/CLI.hpp>

namespace foxtailtally {

/** Adds the commands load, experiment and report; @p exitCode is set by the command that runs. */
void addToolCommands(CLI::App &app, int &exitCode);

} // namespace foxtailtally
