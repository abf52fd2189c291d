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
};

// Throws FieldError naming the field.
ControllerConfig parse_controller_config(const std::string& text);
ControllerConfig load_controller_config();  // from the environment

// What a reload may change; all else stays as it was at the start.
struct Reloadable {
  core::Address change_log;
  FleetChanges known;
};

// Reads the whole configuration and throws as it does: a file that is wrong anywhere is not taken over in
// part.
Reloadable load_reloadable();

}  // namespace orchidgw::config
