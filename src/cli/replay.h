// `orchidgw level replay SIGNALS.csv`: recorded signals through the ladders of a file, so that thresholds can
// be tried before they are put in force.
#pragma once

#include <ostream>
#include <string>

#include "cli/command_line.h"

namespace orchidgw::cli {

// Prints a line for each change, and how long each level held. `signals`: a path, or '-' for standard input.
int run_replay(const configuration::Sources& sources, const std::string& signals, std::ostream& out,
               std::ostream& err);

}  // namespace orchidgw::cli
