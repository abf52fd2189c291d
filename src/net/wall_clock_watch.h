// Detects steps of the wall clock, for the log and the counters only: no decision depends on it.
#pragma once

#include <cstdlib>
#include <optional>

#include "base/time.h"

namespace orchidgw::net {

class WallClockStepDetector {
 public:
  // By how much (us) the wall clock was stepped since the last call; 0 if it advanced like the monotonic
  // clock.
  TimeUs step_since_last(WallTime wall, TimeUs monotonic) {
    const TimeUs offset = wall.unix_us - monotonic;
    const TimeUs step = last_offset_ ? offset - *last_offset_ : 0;
    last_offset_ = offset;
    return std::abs(step) < kMinStep ? 0 : step;
  }

 private:
  static constexpr TimeUs kMinStep = 20'000;  // a clock is never slewed by so much between two turns
  std::optional<TimeUs> last_offset_;
};

}  // namespace orchidgw::net
