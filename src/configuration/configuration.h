// The complete configuration of a controller: BALANCER_CONFIG, the operator file and the fleet file, read and
// checked together. It is activated only if all of it is valid.
#pragma once

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/controller_config.h"
#include "fleet/fleet_config.h"
#include "limits/limit_set.h"
#include "log/log.h"
#include "operator_file/operator_file.h"

namespace orchidgw::configuration {

// Paths and log settings from the command line and the environment. For each setting a flag takes precedence
// over the environment, and both over the files.
struct Sources {
  std::string admin;        // path of the administration socket; empty: none. A reload doesn't change it
  std::string config;       // path of the file BALANCER_CONFIG
  std::string limits;       // path of the operator file; empty: `operatorFile` in the configuration, or none
  std::string fleet;        // path of the fleet file; empty: `fleetFile` in the configuration, or none
  std::string fleet_store;  // directory of a keeper's store; empty: `store` in the fleet file
  std::string intents;      // directory of the store of queries that must not run twice; empty: none
  std::string log_level;    // empty: as in the operator file, else info
  std::string log_format;   // empty: as in the operator file, else text
};

struct Configuration {
  config::ControllerConfig controller;
  std::shared_ptr<const limits::LimitSet> limits;          // null: no operator file
  std::shared_ptr<const service_level::LevelFile> levels;  // null: no operator file
  std::optional<fleet::FleetConfig> fleet;                 // nullopt: this controller is not in a fleet
  log::LogOptions log;
};

// The configuration is invalid. `lines` has one line for each fault; it is never empty.
class ConfigurationError : public std::runtime_error {
 public:
  explicit ConfigurationError(std::vector<std::string> lines)
      : std::runtime_error(lines.front()), lines_(std::move(lines)) {}
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::vector<std::string> lines_;
};

// `running`: the settings of the running controller, which a reload can't change, so that limits and levels
// are checked against them; null at a start. Throws ConfigurationError, or another exception whose message
// says which file or field is at fault.
Configuration load(const Sources& sources, const Settings* running);

// Bounds on the operator file that a memory limit allows (docs/architecture.md adds up all such bounds).
operator_file::FileSizeLimits file_size_limits(std::int64_t memory_mb);
std::size_t max_route_count(std::int64_t memory_mb);

}  // namespace orchidgw::configuration
