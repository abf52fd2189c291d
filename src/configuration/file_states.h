// Keeps which configuration files are in force and which were refused, why and since when; for operators. No
// I/O, no clock.
#pragma once

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "base/time.h"

namespace orchidgw::configuration {

// The files, each of which is written by someone else.
enum class ConfigFile { kPlatform, kOperators, kFleet };
inline constexpr std::array kConfigFiles = {ConfigFile::kPlatform, ConfigFile::kOperators,
                                            ConfigFile::kFleet};

// "platform", "operators" or "fleet".
const char* name_of(ConfigFile file);

// Why a file, or some of its fields, are not taken over.
struct Refusal {
  std::vector<std::string> faults;  // a line each, with the file, the field and the reason; never empty
  bool may_pass = false;            // a system resource was missing: the file may be good
};

// The time of a reload, by both clocks.
struct ReloadTime {
  TimeUs monotonic = 0;
  WallTime wall;  // for operators
};

class FileStates {
 public:
  // The file at `path` was read; empty: none is named. `warnings`: lines on what of it has no effect yet, or
  // what a start would refuse.
  void set_in_force(ConfigFile file, std::string path, std::vector<std::string> warnings = {});
  // The last good version stays in force. A file that was refused before stays refused since then.
  void set_refused(ConfigFile file, std::string path, Refusal refusal, const ReloadTime& now);

  bool is_refused(ConfigFile file) const { return state_of(file).refused_since.has_value(); }
  bool any_refused() const;
  // Whether reading the file again may help although nobody has changed it.
  bool may_pass(ConfigFile file) const { return is_refused(file) && state_of(file).refusal.may_pass; }
  const std::vector<std::string>& faults(ConfigFile file) const { return state_of(file).refusal.faults; }
  const std::vector<std::string>& warnings(ConfigFile file) const { return state_of(file).warnings; }

  // A line for each file: "file NAME in_force PATH" (and "; WARNING"), "file NAME none", or
  // "file NAME refused since TIME for N s: FAULT"; `now` is monotonic.
  std::string status(TimeUs now) const;
  // A line for each file: "counter config.refused.NAME 0", or "... 1 since_unix_s N".
  void print_counters(std::ostream& out) const;

 private:
  struct State {
    std::string path;
    Refusal refusal;                          // the last; of no meaning if the file is not refused
    std::optional<ReloadTime> refused_since;  // nullopt: the last version that was read is in force
    std::vector<std::string> warnings;
  };
  const State& state_of(ConfigFile file) const { return states_[static_cast<std::size_t>(file)]; }
  State& state_of(ConfigFile file) { return states_[static_cast<std::size_t>(file)]; }

  std::array<State, kConfigFiles.size()> states_;
};

}  // namespace orchidgw::configuration
