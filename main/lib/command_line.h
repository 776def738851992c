#pragma once

namespace foxtailtally {

/** Runs the command that the arguments name. Exit codes: 0 done, 1 failed, 2 wrong usage or
 * settings. */
int runCommandLine(int argc, char **argv);

} // namespace foxtailtally
