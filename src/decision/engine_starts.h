// Start times of engines on this process's monotonic clock. The engine list publishes them in wall-clock
// time, and the wall clock of either machine may be wrong by any amount: it is read once per start, when the
// start is first seen, and the age computed from it is trusted only up to a bound.
#pragma once

#include <map>
#include <set>

#include "base/time.h"
#include "decision/decision.h"

namespace orchidgw {

class EngineStarts {
 public:
  explicit EngineStarts(const Rules& rules);

  // When an engine started whose start is published as `up_since`: `now` less its age by the wall clock,
  // which is taken as at least 0 and at most `max_trusted_age()`. Never 0, and the same for each call with
  // the same start. So a wrong wall clock neither makes an engine look further through its slow start than
  // the margin in the slow-start allowance covers, nor keeps it in slow start for longer than
  // `Rules::slow_start_duration` after it was first seen.
  TimeUs start_time_of(const EngineId& engine, WallTime up_since, WallTime wall_now, TimeUs now);
  void forget(const EngineId& engine) { known_.erase(engine); }
  // Forgets all engines but those `listed`.
  void keep_only(const std::set<EngineId>& listed);
  std::size_t size() const { return known_.size(); }

  TimeUs max_trusted_age() const { return max_trusted_age_; }

 private:
  struct Start {
    WallTime up_since;
    TimeUs started_at = 0;
  };

  TimeUs max_trusted_age_;
  std::map<EngineId, Start> known_;
};

}  // namespace orchidgw
