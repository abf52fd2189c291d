// The complete configuration of a controller at its start: BALANCER_CONFIG, the operator file and the fleet
// file, read and checked together. `Reloader` reads them again while the controller runs.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/controller_config.h"
#include "configuration/file_readers.h"
#include "fleet/fleet_config.h"

namespace orchidgw::configuration {

struct Configuration {
  config::ControllerConfig controller;
  OperatorConfiguration operators;
  std::optional<fleet::FleetConfig> fleet;  // nullopt: this controller is not in a fleet
};

// Reads all files for a start, which has no earlier version of them to go on with: a fault in any of them is
// an error. Throws ConfigurationError with the faults of all files, or another exception whose message says
// which file or field is at fault.
Configuration load(const Sources& sources);

}  // namespace orchidgw::configuration
