// The operators' file: limits by route, and the log. Read from YAML strictly; every fault names its line.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limits/route.h"
#include "service_level/level.h"

namespace orchidgw::operator_file {

inline constexpr int kFormatVersion = 1;
inline constexpr std::size_t kMaxFaults = 100;  // reported of one file

// What a file may have at the most: a deployment's memory sets it.
struct FileSizeLimits {
  std::size_t bytes = std::size_t{1024} * 1024;
  std::size_t nodes = 400'000;
};

// What the file says of the log; empty: as the command line and the environment say.
struct LogChoice {
  std::string level;
  std::string format;
  std::map<std::string, std::string> components;  // level by component
};

struct OperatorFile {
  LogChoice log;
  limits::LimitFile limits;
  service_level::LevelFile levels;
};

struct OperatorFileResult {
  OperatorFile file;
  std::vector<limits::Fault> faults;  // none: the file may be checked
};

// Reads a text, of whatever form: it never throws on one.
OperatorFileResult read_operator_file(std::string_view text, const FileSizeLimits& size_limits = {});

// The file at `path`, whole and from one moment. Guards against a file that is replaced or written to while
// it is read: such a reading is begun anew, a few times, then refused. Throws std::runtime_error with a clear
// reason.
// Of a larger one than `max_bytes` some more than that is read.
std::string load_file(const std::string& path, std::size_t max_bytes = FileSizeLimits().bytes);

// "FILE:LINE:COLUMN: PATH: why"; a file without a line has the fault as a whole.
std::string fault_line(const std::string& path, const limits::Fault& fault);

}  // namespace orchidgw::operator_file
