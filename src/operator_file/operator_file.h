// The operator file: limits by route, service levels and log settings. The YAML is read strictly; each fault
// has its line and column.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limits/route.h"
#include "service_level/level.h"

namespace orchidgw::operator_file {

inline constexpr int kFormatVersion = 1;
inline constexpr std::size_t kMaxFaults = 100;  // reported for one file

// Upper bounds on a file. Controllers derive smaller ones from their memory limit.
struct FileSizeLimits {
  std::size_t bytes = std::size_t{1024} * 1024;
  std::size_t nodes = 400'000;
};

// The log settings of the file. Empty values are not set in the file; flags and environment precede the file.
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
  std::vector<limits::Fault> faults;  // empty: `file` is well-formed; its values are checked elsewhere
};

// Reads the text of an operator file. Reports bad input as faults and never throws because of it.
OperatorFileResult read_operator_file(std::string_view text, const FileSizeLimits& size_limits = {});

// Formats a fault as "FILE:LINE:COLUMN: PATH: why", without line and column if the fault is in no single
// line.
std::string fault_line(const std::string& path, const limits::Fault& fault);

}  // namespace orchidgw::operator_file
