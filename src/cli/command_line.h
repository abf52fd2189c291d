// The command line, on CLI11: which command, and its options. For each option the flag comes before the
// environment, and that before the files.
#pragma once

#include <optional>
#include <string>

#include "cli/recover_command.h"
#include "cli/store_command.h"
#include "configuration/configuration.h"

namespace orchidgw::cli {

inline constexpr int kGood = 0;
inline constexpr int kBad = 1;    // what was asked for can't be done, or a file is wrong
inline constexpr int kUsage = 2;  // the command line is wrong

struct Explain {
  std::string class_name;
  std::string tenant;
  std::string table;
  bool keyed = false;
};

struct CommandLine {
  enum class Command {
    kServe,
    kCheck,
    kExplain,
    kReplay,
    kStatus,
    kFleetStatus,
    kFleetRecover,
    kLevelSet,
    kStore,
    kVersion
  };
  Command command = Command::kServe;
  configuration::Sources sources;
  Explain explain;
  std::string signals;  // of kReplay: the recording
  std::string level;    // of kLevelSet
  std::int64_t hold_s = 0;
  StoreCommand store = StoreCommand::kInspect;  // of kStore, as is the one below
  std::string folder;
  Recover recover;  // of kFleetRecover
};

// Nothing where the process is to end with `exit_code`: help was asked for, or the line is wrong, and it was
// said.
std::optional<CommandLine> parse(int argc, const char* const* argv, int& exit_code);

}  // namespace orchidgw::cli
