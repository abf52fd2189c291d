// `orchidgw level replay SIGNALS.csv`: runs recorded signals through the service levels of the operator
// file, so that thresholds can be tested before they are activated.
#pragma once

#include <ostream>
#include <string>

#include "cli/command_line.h"

namespace orchidgw::cli {

// Prints a line for each change of level, then the time spent in each. `signals_path`: '-' for standard
// input. Returns the exit code.
int run_replay(const configuration::Sources& sources, const std::string& signals_path, std::ostream& out,
               std::ostream& err);

}  // namespace orchidgw::cli
