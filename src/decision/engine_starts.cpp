#include "decision/engine_starts.h"

#include <algorithm>

namespace orchidgw {
namespace {

// The module sends an engine in slow start half of what it is allowed. For an engine that has just started
// but is taken to be of the greatest trusted age, the module's estimate of its capacity is at most this
// multiple of the true one.
constexpr double kMaxCapacityError = 1.5;
constexpr TimeUs kEarliestStart = 1;  // 0 stands for a start a long time back

TimeUs max_trusted_age_for(const Rules& rules) {
  // No slow start: nothing depends on its age.
  if (rules.slow_start_initial_capacity >= 1) return rules.slow_start_duration;
  const double slow_start_progress =
      rules.slow_start_initial_capacity * (kMaxCapacityError - 1) / (1 - rules.slow_start_initial_capacity);
  return std::min(rules.slow_start_duration,
                  static_cast<TimeUs>(slow_start_progress * static_cast<double>(rules.slow_start_duration)));
}

}  // namespace

EngineStarts::EngineStarts(const Rules& rules) : max_trusted_age_(max_trusted_age_for(rules)) {}

TimeUs EngineStarts::start_time_of(const EngineId& engine, WallTime up_since, WallTime wall_now, TimeUs now) {
  const auto known = known_.find(engine);
  if (known != known_.end() && known->second.up_since == up_since) return known->second.started_at;
  const TimeUs age_by_wall_clock = wall_now.unix_us - up_since.unix_us;
  const TimeUs age = std::clamp<TimeUs>(age_by_wall_clock, 0, max_trusted_age_);
  const TimeUs started_at = std::max(now - age, kEarliestStart);
  known_[engine] = {up_since, started_at};
  return started_at;
}

void EngineStarts::keep_only(const std::set<EngineId>& listed) {
  std::erase_if(known_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

}  // namespace orchidgw
