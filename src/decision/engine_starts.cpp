#include "decision/engine_starts.h"

#include <algorithm>

namespace orchidgw {
namespace {

// The module sends a cold engine half of what it is allowed. An engine that has just started and is taken for
// one of the trusted age has at most this much more capacity in the module's eyes than it has in truth.
constexpr double kCapacityError = 1.5;
constexpr TimeUs kEarliestInstant = 1;  // 0 stands for a start a long time back

TimeUs trusted_age_under(const Rules& rules) {
  if (rules.cold_from >= 1) return rules.cold_for;  // starts warm: nothing depends on its age
  const double warmth = rules.cold_from * (kCapacityError - 1) / (1 - rules.cold_from);
  return std::min(rules.cold_for, static_cast<TimeUs>(warmth * static_cast<double>(rules.cold_for)));
}

}  // namespace

EngineStarts::EngineStarts(const Rules& rules) : trusted_age_(trusted_age_under(rules)) {}

TimeUs EngineStarts::instant_of(const EngineId& engine, WallTime up_since, WallTime wall_now, TimeUs now) {
  const auto it = known_.find(engine);
  if (it != known_.end() && it->second.up_since == up_since) return it->second.instant;
  const TimeUs age_by_wall = wall_now.unix_us - up_since.unix_us;
  const TimeUs age = std::clamp<TimeUs>(age_by_wall, 0, trusted_age_);
  const TimeUs instant = std::max(now - age, kEarliestInstant);
  known_[engine] = {up_since, instant};
  return instant;
}

void EngineStarts::keep_only(const std::set<EngineId>& listed) {
  std::erase_if(known_, [&](const auto& known) { return !listed.contains(known.first); });
}

}  // namespace orchidgw
