// Reads the operator file and the fleet file, each by itself, and checks them against what is in force.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "fleet/fleet_config.h"
#include "limits/limit_set.h"
#include "log/log.h"
#include "operator_file/operator_file.h"
#include "service_level/level.h"

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

// A file is invalid. `lines` has one line for each fault; it is never empty.
class ConfigurationError : public std::runtime_error {
 public:
  explicit ConfigurationError(std::vector<std::string> lines)
      : std::runtime_error(lines.front()), lines_(std::move(lines)) {}
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::vector<std::string> lines_;
};

// What the operator file states, checked.
struct OperatorConfiguration {
  std::shared_ptr<const limits::LimitSet> limits;          // null: no operator file
  std::shared_ptr<const service_level::LevelFile> levels;  // null: no operator file
  log::LogOptions log;
};

// What an operator file is checked against.
struct OperatorFileChecks {
  const Settings& settings;
  std::int64_t memory_mb = 0;
  bool in_fleet = false;  // the controller shares limits with a fleet
};

// The path that `flag` (a flag or the environment) gives, else the one of the configuration.
inline const std::string& choose_path(const std::string& flag, const std::string& configured) {
  return flag.empty() ? configured : flag;
}

// Both throw ConfigurationError if the file is invalid, SystemCallError if it can't be read for a reason that
// may pass, and std::runtime_error with the path and the reason if it can't be read otherwise. An empty path
// of an operator file means that there is none.
OperatorConfiguration load_operator_file(const std::string& path, const Sources& sources,
                                         const OperatorFileChecks& checks);
fleet::FleetConfig load_fleet_file(const std::string& path, const Sources& sources, std::int64_t memory_mb);

// The faults of a fleet file for which a controller of that name can't be started in the fleet.
std::vector<std::string> fleet_start_faults(const std::string& path, const fleet::FleetConfig& fleet,
                                            const std::string& controller_name);

// Bounds on both files that a memory limit allows (docs/architecture.md adds up all such bounds).
operator_file::FileSizeLimits file_size_limits(std::int64_t memory_mb);
std::size_t max_route_count(std::int64_t memory_mb);

}  // namespace orchidgw::configuration
