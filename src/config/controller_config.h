// The controller's configuration file, BALANCER_CONFIG. BALANCER_NAME and BALANCER_LISTEN take precedence.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

// What a running controller takes over from a new version of the file. Each field is read by itself, so that
// a fault in one does not keep another from being taken over; all other fields take effect at the next start.
struct ReloadedConfig {
  std::optional<core::Address> change_log;              // nullopt: it has a fault
  std::optional<EngineListEvents> initial_engine_list;  // nullopt: it has a fault
  // Empty: the file states none. nullopt: keep the one in force, as the field has a fault, or is missing from
  // a file that has one.
  std::optional<std::string> operator_file;
  std::optional<std::string> fleet_file;
  std::vector<std::string> faults;  // of the fields above, a line each
  std::vector<std::string>
      start_faults;  // of a field that only a start reads; looked for if `faults` is empty
};

// The size of the file, in bytes, that a memory limit allows.
std::size_t max_config_bytes(std::int64_t memory_mb);

// All throw FieldError with the name of the bad field; parse_reloaded_config only if the text is no JSON
// object. The calls that load a file also name it, and throw SystemCallError if it can't be read for a reason
// that may pass. load_controller_config applies BALANCER_NAME and BALANCER_LISTEN. `memory_mb`: the limit in
// force.
ControllerConfig parse_controller_config(const std::string& text);
ControllerConfig load_controller_config(const std::string& path);
ReloadedConfig parse_reloaded_config(const std::string& text);
ReloadedConfig load_reloaded_config(const std::string& path, std::int64_t memory_mb);

}  // namespace orchidgw::config
