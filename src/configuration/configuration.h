// All that a controller is told, as one value: BALANCER_CONFIG and the operators' file, both read whole and
// checked together. Either all of it is right or none is put in force.
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

// Where from, as the command line and the environment say; for each setting the flag comes before the
// environment, and both before the files.
struct Sources {
  std::string admin;   // the path of the administration socket; empty: none. It stays until the next start
  std::string config;  // the path of BALANCER_CONFIG
  std::string limits;  // the path of the operators' file; empty: `operatorFile` in the configuration, or none
  std::string fleet;   // the path of the fleet's file; empty: `fleetFile` in the configuration, or none
  std::string fleet_store;  // a keeper's folder; empty: `store` in the fleet's file
  std::string intents;      // the folder of what must not run twice; empty: none is kept
  std::string log_level;    // empty: the operators' file, else info
  std::string log_format;   // empty: the operators' file, else text
};

struct Configuration {
  config::ControllerConfig controller;
  std::shared_ptr<const limits::LimitSet> limits;          // null: no operators' file
  std::shared_ptr<const service_level::LevelFile> levels;  // null: no operators' file
  std::optional<fleet::FleetConfig> fleet;                 // none: this controller is alone
  log::Choice log;
};

// All that is wrong, a line each.
class ConfigurationError : public std::runtime_error {
 public:
  explicit ConfigurationError(std::vector<std::string> lines)
      : std::runtime_error(lines.front()), lines_(std::move(lines)) {}
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::vector<std::string> lines_;
};

// `running`: the settings in force, where a reload can't change them; null at a start. Throws
// ConfigurationError, or what names the reason.
Configuration load(const Sources& sources, const Settings* running);

// What a memory limit allows of the operators' file (docs/architecture.md adds the bounds up).
operator_file::FileSizeLimits file_size_limits(std::int64_t memory_mb);
std::size_t max_route_count(std::int64_t memory_mb);

}  // namespace orchidgw::configuration
