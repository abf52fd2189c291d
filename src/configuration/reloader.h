// Reads the configuration files again while the controller runs. The platform's, the operators' and the
// fleet's file are written by different people, so each is read and checked by itself: a fault in one, or a
// system call that fails for it, keeps no other from being taken over. A refused file stays at its last good
// version.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/file_readers.h"
#include "configuration/file_states.h"

namespace orchidgw::configuration {

// What a reload has read and the controller has to put into force; nullopt: nothing new of that file.
struct ReloadedFiles {
  std::optional<config::ReloadedConfig> platform;
  std::optional<OperatorConfiguration> operators;  // without limits and levels: no operator file is named
  std::optional<fleet::FleetConfig> fleet;
  std::vector<std::string> errors;    // lines for the log: what is not taken over
  std::vector<std::string> warnings;  // lines for the log: what a start would refuse, or has no effect yet
};

class Reloader {
 public:
  // `started_with`: the configuration in force. Its settings, memory limit, name and fleet stay in force
  // until the process ends: each file is checked against them.
  Reloader(Sources sources, const Configuration& started_with);

  // Reads all files again, as on SIGHUP.
  ReloadedFiles reload(const ReloadTime& now);
  // Reads again those files alone that could not be read for a reason that may pass, and the files whose path
  // one of them has changed. Faults that are already known are not reported again.
  ReloadedFiles retry(const ReloadTime& now);
  bool retry_needed() const;

  const FileStates& states() const { return states_; }

 private:
  using Selection = std::array<bool, kConfigFiles.size()>;  // by ConfigFile

  ReloadedFiles read(Selection selected, const ReloadTime& now);
  std::optional<config::ReloadedConfig> read_platform_file(const ReloadTime& now);
  std::optional<OperatorConfiguration> read_operator_file(const ReloadTime& now);
  std::optional<fleet::FleetConfig> read_fleet_file(const ReloadTime& now);
  std::vector<std::string> fleet_file_warnings(const std::string& path,
                                               const fleet::FleetConfig& fleet) const;
  const std::string& path_of(ConfigFile file) const;

  Sources sources_;
  std::string name_;
  Settings settings_;
  std::int64_t memory_mb_;
  bool in_fleet_;
  std::string configured_operator_path_;  // as the platform's file stated it last
  std::string configured_fleet_path_;
  FileStates states_;
};

}  // namespace orchidgw::configuration
