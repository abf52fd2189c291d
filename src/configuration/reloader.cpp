#include "configuration/reloader.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "base/system_call.h"

namespace orchidgw::configuration {
namespace {

// The value that `read` returns; if it throws, nullopt and why.
template <typename Value>
struct ReadResult {
  std::optional<Value> value;
  Refusal refusal;
};

template <typename Read>
auto read_file(const std::string& path, Read read) -> ReadResult<decltype(read())> {
  try {
    return {read(), {}};
  } catch (const SystemCallError& error) {
    return {std::nullopt, {{error.what()}, error.is_transient()}};
  } catch (const ConfigurationError& error) {
    return {std::nullopt, {error.lines(), false}};
  } catch (const std::bad_alloc&) {
    return {std::nullopt, {{path + ": not enough memory to read it"}, false}};
  } catch (const std::exception& error) {
    return {std::nullopt, {{error.what()}, false}};
  }
}

std::vector<std::string> warnings_of(const std::vector<std::string>& start_faults) {
  std::vector<std::string> warnings;
  warnings.reserve(start_faults.size());
  for (const std::string& fault : start_faults) warnings.push_back("a start would refuse " + fault);
  return warnings;
}

void append(std::vector<std::string>& lines, const std::vector<std::string>& more) {
  lines.insert(lines.end(), more.begin(), more.end());
}

}  // namespace

Reloader::Reloader(Sources sources, const Configuration& started_with)
    : sources_(std::move(sources)),
      name_(started_with.controller.name),
      settings_(started_with.controller.settings),
      memory_mb_(started_with.controller.memory_mb),
      in_fleet_(started_with.fleet.has_value()),
      configured_operator_path_(started_with.controller.operator_file),
      configured_fleet_path_(started_with.controller.fleet_file) {
  for (const ConfigFile file : kConfigFiles) states_.set_in_force(file, path_of(file));
}

const std::string& Reloader::path_of(ConfigFile file) const {
  if (file == ConfigFile::kOperators) return choose_path(sources_.limits, configured_operator_path_);
  if (file == ConfigFile::kFleet) return choose_path(sources_.fleet, configured_fleet_path_);
  return sources_.config;
}

ReloadedFiles Reloader::reload(const ReloadTime& now) {
  Selection all{};
  all.fill(true);
  ReloadedFiles out = read(all, now);
  for (const ConfigFile file : kConfigFiles) {
    if (states_.is_refused(file)) append(out.errors, states_.faults(file));
    append(out.warnings, states_.warnings(file));
  }
  return out;
}

ReloadedFiles Reloader::retry(const ReloadTime& now) {
  const FileStates before = states_;
  Selection waiting{};
  for (const ConfigFile file : kConfigFiles) waiting[static_cast<std::size_t>(file)] = states_.may_pass(file);
  ReloadedFiles out = read(waiting, now);
  for (const ConfigFile file : kConfigFiles) {
    if (states_.is_refused(file) && states_.faults(file) != before.faults(file))
      append(out.errors, states_.faults(file));
    if (states_.warnings(file) != before.warnings(file)) append(out.warnings, states_.warnings(file));
  }
  return out;
}

bool Reloader::retry_needed() const {
  return std::any_of(kConfigFiles.begin(), kConfigFiles.end(),
                     [this](ConfigFile file) { return states_.may_pass(file); });
}

// The platform's file first: it names the others.
ReloadedFiles Reloader::read(Selection selected, const ReloadTime& now) {
  const auto is_selected = [&](ConfigFile file, const std::string& path_before) {
    return selected[static_cast<std::size_t>(file)] || path_of(file) != path_before;
  };
  const std::string operator_path = path_of(ConfigFile::kOperators);
  const std::string fleet_path = path_of(ConfigFile::kFleet);
  ReloadedFiles out;
  if (is_selected(ConfigFile::kPlatform, sources_.config)) out.platform = read_platform_file(now);
  if (is_selected(ConfigFile::kOperators, operator_path)) out.operators = read_operator_file(now);
  if (is_selected(ConfigFile::kFleet, fleet_path)) out.fleet = read_fleet_file(now);
  return out;
}

std::optional<config::ReloadedConfig> Reloader::read_platform_file(const ReloadTime& now) {
  auto read = read_file(sources_.config,
                        [this] { return config::load_reloaded_config(sources_.config, memory_mb_); });
  if (!read.value) {
    states_.set_refused(ConfigFile::kPlatform, sources_.config, std::move(read.refusal), now);
    return std::nullopt;
  }
  const config::ReloadedConfig& loaded = *read.value;
  if (loaded.operator_file) configured_operator_path_ = *loaded.operator_file;
  if (loaded.fleet_file) configured_fleet_path_ = *loaded.fleet_file;
  if (loaded.faults.empty()) {
    states_.set_in_force(ConfigFile::kPlatform, sources_.config, warnings_of(loaded.start_faults));
  } else {
    states_.set_refused(ConfigFile::kPlatform, sources_.config, {loaded.faults, false}, now);
  }
  return std::move(read.value);
}

std::optional<OperatorConfiguration> Reloader::read_operator_file(const ReloadTime& now) {
  const std::string& path = path_of(ConfigFile::kOperators);
  auto read = read_file(path, [&] {
    return load_operator_file(path, sources_, {settings_, memory_mb_, in_fleet_});
  });
  if (read.value) {
    states_.set_in_force(ConfigFile::kOperators, path);
  } else {
    states_.set_refused(ConfigFile::kOperators, path, std::move(read.refusal), now);
  }
  return std::move(read.value);
}

std::optional<fleet::FleetConfig> Reloader::read_fleet_file(const ReloadTime& now) {
  const std::string& path = path_of(ConfigFile::kFleet);
  if (path.empty()) {
    states_.set_in_force(ConfigFile::kFleet, path);
    return std::nullopt;
  }
  auto read = read_file(path, [&] { return load_fleet_file(path, sources_, memory_mb_); });
  if (read.value) {
    states_.set_in_force(ConfigFile::kFleet, path, fleet_file_warnings(path, *read.value));
  } else {
    states_.set_refused(ConfigFile::kFleet, path, std::move(read.refusal), now);
  }
  return std::move(read.value);
}

std::vector<std::string> Reloader::fleet_file_warnings(const std::string& path,
                                                       const fleet::FleetConfig& fleet) const {
  std::vector<std::string> warnings = warnings_of(fleet_start_faults(path, fleet, name_));
  if (!in_fleet_) warnings.push_back(path + ": a controller joins a fleet at its start only");
  return warnings;
}

}  // namespace orchidgw::configuration
