// When engines started, as instants of this process. The engine list publishes starts in wall-clock time, and
// a wall clock may be wrong by any amount, here or there: it is asked once for each start, when it is heard,
// and believed only within a bound.
#pragma once

#include <map>
#include <set>

#include "base/time.h"
#include "decision/decision.h"

namespace orchidgw {

class EngineStarts {
 public:
  explicit EngineStarts(const Rules& rules);

  // The instant of the start that is published as `up_since`: `now` less its age by the wall clock, which
  // counts as 0 at least and `trusted_age()` at most. The same start has the same instant ever after. So a
  // wall clock that is wrong makes an engine neither warmer than the margin of the slow-start allowance
  // covers, nor cold for longer than `Rules::cold_for` after it was heard of.
  TimeUs instant_of(const EngineId& engine, WallTime up_since, WallTime wall_now, TimeUs now);
  void forget(const EngineId& engine) { known_.erase(engine); }
  void keep_only(const std::set<EngineId>& listed);
  std::size_t size() const { return known_.size(); }

  TimeUs trusted_age() const { return trusted_age_; }

 private:
  struct Start {
    WallTime up_since;
    TimeUs instant = 0;
  };

  TimeUs trusted_age_;
  std::map<EngineId, Start> known_;
};

}  // namespace orchidgw
