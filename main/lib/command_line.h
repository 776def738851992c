#pragma once

namespace foxtailtally {

/** Runs the command given by the arguments. Exit codes: 0 success, 1 failure, 2 invalid usage or
 * settings. */
int runCommandLine(int argc, char **argv);

} // namespace foxtailtally
