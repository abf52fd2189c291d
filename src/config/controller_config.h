// What a controller is told at its start: BALANCER_CONFIG, with BALANCER_NAME and BALANCER_LISTEN before it.
#pragma once

#include <cstdint>
#include <string>

#include "config/fleet_changes.h"
#include "core/engine_listing.h"
#include "decision/decision.h"

namespace orchidgw::config {

struct ControllerConfig {
  std::string name;
  core::Address listen;
  std::uint64_t seed = 0;
  std::int64_t memory_mb = 0;
  std::int64_t sockets = 0;
  core::Address change_log;
  FleetChanges known;
  Settings settings;
  TimeUs connect_timeout = 0;
  std::string operator_file;  // the path of the operators' file; empty: none is named here
  std::string fleet_file;     // likewise of the fleet's
};

// Throws FieldError naming the field.
ControllerConfig parse_controller_config(const std::string& text);
ControllerConfig load_controller_config(const std::string& path);  // with the environment's name and address

}  // namespace orchidgw::config
