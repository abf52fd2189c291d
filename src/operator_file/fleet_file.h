// The fleet file: which controllers are keepers, for how long shares are leased, and how limits are divided
// among the controllers. The YAML is read strictly; each fault has its line and column.
#pragma once

#include <string_view>
#include <vector>

#include "fleet/fleet_config.h"
#include "operator_file/operator_file.h"

namespace orchidgw::operator_file {

struct FleetFileResult {
  fleet::FleetConfig fleet;
  std::vector<limits::Fault> faults;  // empty: `fleet` may be used
};

// Reads the text of a fleet file. Reports bad input as faults and never throws because of it.
FleetFileResult read_fleet_file(std::string_view text, const FileSizeLimits& size_limits = {});

}  // namespace orchidgw::operator_file
