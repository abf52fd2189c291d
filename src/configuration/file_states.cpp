#include "configuration/file_states.h"

#include <time.h>

#include <algorithm>
#include <utility>

namespace orchidgw::configuration {
namespace {

constexpr std::int64_t kUsPerSecond = 1'000'000;

std::string format_utc(WallTime at) {
  const time_t seconds = at.unix_us / kUsPerSecond;
  tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length = strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text.data(), length};
}

// The first line, and how many more there are.
std::string summarize(const std::vector<std::string>& lines) {
  if (lines.size() <= 1) return lines.empty() ? "" : lines.front();
  return lines.front() + " (and " + std::to_string(lines.size() - 1) + " more)";
}

}  // namespace

const char* name_of(ConfigFile file) {
  constexpr std::array<const char*, kConfigFiles.size()> kNames = {"platform", "operators", "fleet"};
  return kNames[static_cast<std::size_t>(file)];
}

void FileStates::set_in_force(ConfigFile file, std::string path, std::vector<std::string> warnings) {
  state_of(file) = {std::move(path), {}, std::nullopt, std::move(warnings)};
}

void FileStates::set_refused(ConfigFile file, std::string path, Refusal refusal, const ReloadTime& now) {
  State& state = state_of(file);
  state.path = std::move(path);
  state.refusal = std::move(refusal);
  state.warnings.clear();
  if (!state.refused_since) state.refused_since = now;
}

bool FileStates::any_refused() const {
  return std::any_of(kConfigFiles.begin(), kConfigFiles.end(),
                     [this](ConfigFile file) { return is_refused(file); });
}

std::string FileStates::status(TimeUs now) const {
  std::string out;
  for (const ConfigFile file : kConfigFiles) {
    const State& state = state_of(file);
    out += std::string("file ") + name_of(file) + ' ';
    if (state.refused_since) {
      const TimeUs seconds = (now - state.refused_since->monotonic) / kUsPerSecond;
      out += "refused since " + format_utc(state.refused_since->wall) + " for " + std::to_string(seconds) +
             " s: " + summarize(state.refusal.faults);
    } else if (state.path.empty()) {
      out += "none";
    } else {
      out += "in_force " + state.path;
      if (!state.warnings.empty()) out += "; " + summarize(state.warnings);
    }
    out += '\n';
  }
  return out;
}

void FileStates::print_counters(std::ostream& out) const {
  for (const ConfigFile file : kConfigFiles) {
    const State& state = state_of(file);
    out << "counter config.refused." << name_of(file) << ' ' << (state.refused_since ? 1 : 0);
    if (state.refused_since) out << " since_unix_s " << state.refused_since->wall.unix_us / kUsPerSecond;
    out << '\n';
  }
}

}  // namespace orchidgw::configuration
