#pragma once

namespace foxtailtally {

/**
 * Runs `foxtailtally-standin`: the stand-in selected by the subcommand, until SIGTERM or SIGINT.
 * Writes "listening <ip:port>" to standard output once the port is open. Returns the exit status.
 */
int runStandinProgram(int argc, char **argv);

} // namespace foxtailtally
