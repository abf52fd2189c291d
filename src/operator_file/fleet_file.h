// The fleet's file: which controllers keep, on which terms parts are leased, how a whole is divided. Read
// from YAML strictly; every fault names its line.
#pragma once

#include <string_view>
#include <vector>

#include "fleet/fleet_config.h"
#include "operator_file/operator_file.h"

namespace orchidgw::operator_file {

struct FleetFileResult {
  fleet::FleetConfig fleet;
  std::vector<limits::Fault> faults;  // none: it may be used
};

// Reads a text, of whatever form: it never throws on one.
FleetFileResult read_fleet_file(std::string_view text, const FileSizeLimits& size_limits = {});

}  // namespace orchidgw::operator_file
