#include "configuration/configuration.h"

#include <utility>

namespace orchidgw::configuration {
namespace {

// Runs `read` and gathers the faults of the file that it reads. Other exceptions are passed on.
template <typename Read>
void gather_faults(std::vector<std::string>& faults, Read read) {
  try {
    read();
  } catch (const ConfigurationError& error) {
    faults.insert(faults.end(), error.lines().begin(), error.lines().end());
  }
}

}  // namespace

Configuration load(const Sources& sources) {
  Configuration out;
  out.controller = config::load_controller_config(sources.config);
  const config::ControllerConfig& controller = out.controller;
  const std::string fleet_path = choose_path(sources.fleet, controller.fleet_file);
  const std::string operator_path = choose_path(sources.limits, controller.operator_file);
  std::vector<std::string> faults;
  gather_faults(faults, [&] {
    if (fleet_path.empty()) return;
    out.fleet = load_fleet_file(fleet_path, sources, controller.memory_mb);
    auto start_faults = fleet_start_faults(fleet_path, *out.fleet, controller.name);
    if (!start_faults.empty()) throw ConfigurationError(std::move(start_faults));
  });
  gather_faults(faults, [&] {
    const bool in_fleet = !fleet_path.empty();
    out.operators =
        load_operator_file(operator_path, sources, {controller.settings, controller.memory_mb, in_fleet});
  });
  if (!faults.empty()) throw ConfigurationError(std::move(faults));
  return out;
}

}  // namespace orchidgw::configuration
