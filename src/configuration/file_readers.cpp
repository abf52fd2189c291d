#include "configuration/file_readers.h"

#include <algorithm>
#include <utility>

#include "config/load_file.h"
#include "limits/check.h"
#include "operator_file/fleet_file.h"
#include "service_level/check.h"

namespace orchidgw::configuration {
namespace {

// 1/32 of the memory is for the operator file: for reading it, and for its routes with their state. Old and
// new routes exist together during a reload, so that a route takes up to 6 KB.
constexpr std::size_t kMaxRoutesPerMb = 6;
constexpr std::size_t kMaxNodesPerMb = 200;
constexpr std::size_t kMaxBytesPerMb = std::size_t{2} * 1024;

int last_limits_version = 0;  // number of the last limits that this process has read

log::LogOptions log_choice(const Sources& sources, const operator_file::LogChoice& file) {
  log::LogOptions choice;
  const std::string& level = sources.log_level.empty() ? file.level : sources.log_level;
  const std::string& format = sources.log_format.empty() ? file.format : sources.log_format;
  choice.level = log::level_named(level, log::Level::kInfo);
  choice.format = format == "json" ? log::Format::kJson : log::Format::kText;
  for (const auto& [name, word] : file.components)
    if (const auto component = log::component_named(name))
      choice.components[static_cast<std::size_t>(*component)] = log::level_named(word, choice.level);
  return choice;
}

void throw_if_any(const std::string& path, const std::vector<limits::Fault>& faults) {
  if (faults.empty()) return;
  std::vector<std::string> lines;
  for (const limits::Fault& fault : faults) {
    if (lines.size() >= operator_file::kMaxFaults) break;
    lines.push_back(operator_file::fault_line(path, fault));
  }
  throw ConfigurationError(std::move(lines));
}

}  // namespace

operator_file::FileSizeLimits file_size_limits(std::int64_t memory_mb) {
  const auto mb = static_cast<std::size_t>(memory_mb);
  const operator_file::FileSizeLimits defaults;
  return {std::min(defaults.bytes, mb * kMaxBytesPerMb), std::min(defaults.nodes, mb * kMaxNodesPerMb)};
}

std::size_t max_route_count(std::int64_t memory_mb) {
  return static_cast<std::size_t>(memory_mb) * kMaxRoutesPerMb;
}

OperatorConfiguration load_operator_file(const std::string& path, const Sources& sources,
                                         const OperatorFileChecks& checks) {
  OperatorConfiguration out;
  if (path.empty()) {
    out.log = log_choice(sources, {});
    return out;
  }
  const operator_file::FileSizeLimits max_size = file_size_limits(checks.memory_mb);
  operator_file::OperatorFileResult read =
      operator_file::read_operator_file(config::load_file(path, max_size.bytes), max_size);
  throw_if_any(path, read.faults);
  auto faults = limits::check(checks.settings, read.file.limits, max_route_count(checks.memory_mb));
  if (!checks.in_fleet) limits::check_no_fleet_scope(read.file.limits, faults);
  throw_if_any(path, faults);
  throw_if_any(path, service_level::check(checks.settings, read.file.levels));
  out.levels = std::make_shared<const service_level::LevelFile>(std::move(read.file.levels));
  out.limits =
      std::make_shared<const limits::LimitSet>(checks.settings, read.file.limits, ++last_limits_version);
  out.log = log_choice(sources, read.file.log);
  return out;
}

fleet::FleetConfig load_fleet_file(const std::string& path, const Sources& sources, std::int64_t memory_mb) {
  const operator_file::FileSizeLimits max_size = file_size_limits(memory_mb);
  operator_file::FleetFileResult read =
      operator_file::read_fleet_file(config::load_file(path, max_size.bytes), max_size);
  throw_if_any(path, read.faults);
  if (!sources.fleet_store.empty()) read.fleet.store = sources.fleet_store;
  return read.fleet;
}

std::vector<std::string> fleet_start_faults(const std::string& path, const fleet::FleetConfig& fleet,
                                            const std::string& controller_name) {
  if (controller_name.empty())
    return {
        operator_file::fault_line(path, {{}, "", "a controller of a fleet needs a name (BALANCER_NAME)"})};
  if (fleet.find_keeper(controller_name) == nullptr || !fleet.store.empty()) return {};
  const std::string why = "'" + controller_name + "' keeps, which needs a folder: here, or --fleet-store";
  return {operator_file::fault_line(path, {{}, "store", why})};
}

}  // namespace orchidgw::configuration
