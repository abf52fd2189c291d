// Parses the command line with CLI11: the command and its options. For each option a flag takes precedence
// over the environment, and the environment over the files.
#pragma once

#include <optional>
#include <string>

#include "cli/recover_command.h"
#include "cli/store_command.h"
#include "configuration/configuration.h"

namespace orchidgw::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  // the command failed, or a file is invalid
inline constexpr int kExitUsage = 2;    // the command line is invalid

struct ExplainOptions {
  std::string class_name;
  std::string tenant;
  std::string table;
  bool has_key = false;
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
  ExplainOptions explain;
  std::string signals_path;                     // of kReplay: the path of the recording, - for standard input
  std::string level;                            // of kLevelSet
  std::int64_t duration_s = 0;                  // of kLevelSet, in seconds
  StoreCommand store = StoreCommand::kInspect;  // of kStore
  std::string folder;                           // of kStore
  RecoverOptions recover;                       // of kFleetRecover
};

// Returns nullopt if the process has to exit with `exit_code`: help was asked for, or the command line is
// invalid; the help or the error was printed.
std::optional<CommandLine> parse(int argc, const char* const* argv, int& exit_code);

}  // namespace orchidgw::cli
