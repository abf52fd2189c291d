#include "configuration/configuration.h"

#include <algorithm>
#include <utility>

#include "limits/check.h"
#include "operator_file/fleet_file.h"
#include "operator_file/operator_file.h"
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

[[noreturn]] void throw_faults(const std::string& path, const std::vector<limits::Fault>& faults) {
  std::vector<std::string> lines;
  for (const limits::Fault& fault : faults) {
    if (lines.size() >= operator_file::kMaxFaults) break;
    lines.push_back(operator_file::fault_line(path, fault));
  }
  throw ConfigurationError(std::move(lines));
}

fleet::FleetConfig load_fleet(const std::string& path, const Sources& sources,
                              const config::ControllerConfig& controller) {
  const operator_file::FileSizeLimits max_size = file_size_limits(controller.memory_mb);
  operator_file::FleetFileResult read =
      operator_file::read_fleet_file(operator_file::load_file(path, max_size.bytes), max_size);
  if (!sources.fleet_store.empty()) read.fleet.store = sources.fleet_store;
  const bool is_keeper = read.fleet.find_keeper(controller.name) != nullptr;
  if (read.faults.empty() && is_keeper && read.fleet.store.empty())
    read.faults.push_back(
        {{}, "store", "'" + controller.name + "' keeps, which needs a folder: here, or --fleet-store"});
  if (read.faults.empty() && controller.name.empty())
    read.faults.push_back({{}, "", "a controller of a fleet needs a name (BALANCER_NAME)"});
  if (!read.faults.empty()) throw_faults(path, read.faults);
  return read.fleet;
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

Configuration load(const Sources& sources, const Settings* running) {
  Configuration out;
  out.controller = config::load_controller_config(sources.config);
  const std::string path = sources.limits.empty() ? out.controller.operator_file : sources.limits;
  const std::string fleet_path = sources.fleet.empty() ? out.controller.fleet_file : sources.fleet;
  if (!fleet_path.empty()) out.fleet = load_fleet(fleet_path, sources, out.controller);
  if (path.empty()) {
    out.log = log_choice(sources, {});
    return out;
  }
  const operator_file::FileSizeLimits max_size = file_size_limits(out.controller.memory_mb);
  operator_file::OperatorFileResult read =
      operator_file::read_operator_file(operator_file::load_file(path, max_size.bytes), max_size);
  if (!read.faults.empty()) throw_faults(path, read.faults);
  const Settings& settings = running != nullptr ? *running : out.controller.settings;
  auto faults = limits::check(settings, read.file.limits, max_route_count(out.controller.memory_mb));
  if (!out.fleet) limits::check_no_fleet_scope(read.file.limits, faults);
  if (!faults.empty()) throw_faults(path, faults);
  const auto level_faults = service_level::check(settings, read.file.levels);
  if (!level_faults.empty()) throw_faults(path, level_faults);
  out.levels = std::make_shared<const service_level::LevelFile>(std::move(read.file.levels));
  out.limits = std::make_shared<const limits::LimitSet>(settings, read.file.limits, ++last_limits_version);
  out.log = log_choice(sources, read.file.log);
  return out;
}

}  // namespace orchidgw::configuration
