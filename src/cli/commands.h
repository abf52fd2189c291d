// The read-only commands: check, explain, version. Each returns the exit code.
#pragma once

#include <optional>
#include <ostream>

#include "cli/command_line.h"

namespace orchidgw::cli {

// Loads all files. On errors writes each to `err`, one per line, and returns nullopt.
std::optional<configuration::Configuration> load(const configuration::Sources& sources, std::ostream& err);

int run_check(const configuration::Sources& sources, std::ostream& out, std::ostream& err);
int run_explain(const CommandLine& line, std::ostream& out, std::ostream& err);
int run_version(std::ostream& out);

}  // namespace orchidgw::cli
