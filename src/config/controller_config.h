// The controller's configuration file, BALANCER_CONFIG. BALANCER_NAME and BALANCER_LISTEN take precedence.
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
  std::int64_t memory_mb = 0;            // memory limit of this process
  std::int64_t sockets = 0;              // limit of open sockets
  core::Address change_log;              // the server that publishes changes of the engine list
  EngineListEvents initial_engine_list;  // the engine list when the configuration was written
  Settings settings;
  TimeUs connect_timeout = 0;
  std::string operator_file;  // path of the operator file; empty: not set here
  std::string fleet_file;     // path of the fleet file; empty: not set here
};

// Both throw FieldError with the name of the bad field. load_controller_config also throws SystemCallError if
// the file can't be read for a reason that may pass, and applies BALANCER_NAME and BALANCER_LISTEN.
ControllerConfig parse_controller_config(const std::string& text);
ControllerConfig load_controller_config(const std::string& path);

}  // namespace orchidgw::config
