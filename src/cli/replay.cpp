#include "cli/replay.h"

#include <fstream>
#include <iostream>
#include <map>
#include <stdexcept>

#include "cli/commands.h"
#include "service_level/service_level.h"

namespace orchidgw::cli {
namespace {

using service_level::Level;

// One ladder for each tenant and one for the levels without a tenant, as in the controller.
std::vector<service_level::Ladder> ladders_of(const service_level::LevelFile& file) {
  std::map<std::string, std::vector<const Level*>> by_tenant;
  for (const Level& level : file.levels) by_tenant[level.tenant].push_back(&level);
  std::vector<service_level::Ladder> out;
  out.reserve(by_tenant.size());
  for (auto& [tenant, levels] : by_tenant) out.emplace_back(std::move(levels), file.trial, file.changes);
  return out;
}

void replay_recording(const service_level::LevelFile& file, service_level::Recording& recording,
                      std::ostream& out) {
  std::vector<service_level::Ladder> ladders = ladders_of(file);
  std::map<std::string, TimeUs> time_by_level;
  TimeUs first = 0;
  TimeUs last = 0;
  int changes = 0;
  while (recording.next()) {
    const TimeUs now = recording.at();
    if (first == 0) first = last = now;
    for (service_level::Ladder& ladder : ladders) {
      time_by_level[ladder.level() ? ladder.level()->name : service_level::kFullService] += now - last;
      const auto change = ladder.sample(now, recording);
      if (!change) continue;
      changes += change->trial ? 0 : 1;
      out << static_cast<double>(now - first) / 1e6 << " s: " << change->from;
      if (!change->trial) out << " -> " << change->to;
      out << ": " << change->reason << '\n';
    }
    last = now;
  }
  out << changes << " changes in " << static_cast<double>(last - first) / 1e6 << " s\n";
  for (const auto& [level, time] : time_by_level)
    out << level << ": " << static_cast<double>(time) / 1e6 << " s\n";
}

}  // namespace

int run_replay(const configuration::Sources& sources, const std::string& signals_path, std::ostream& out,
               std::ostream& err) {
  const auto loaded = load(sources, err);
  if (!loaded) return kExitFailure;
  try {
    if (!loaded->operators.levels || loaded->operators.levels->levels.empty())
      throw std::runtime_error("the operators' file states no levels");
    std::ifstream file;
    if (signals_path != "-") {
      file.open(signals_path);
      if (!file) throw std::runtime_error(signals_path + ": can't be read");
    }
    try {
      service_level::Recording recording(signals_path == "-" ? std::cin : file);
      for (const service_level::SignalKey& key : service_level::signals_of(*loaded->operators.levels))
        if (!recording.has(key))
          err << "orchidgw: the recording lacks " << column_name(key) << ": its value is unknown\n";
      replay_recording(*loaded->operators.levels, recording, out);
    } catch (const std::runtime_error& e) {
      throw std::runtime_error(signals_path + ": " + e.what());
    }
    return kExitSuccess;
  } catch (const std::exception& e) {
    err << "orchidgw: " << e.what() << '\n';
  }
  return kExitFailure;
}

}  // namespace orchidgw::cli
