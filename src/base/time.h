// Types for time. Instants and durations are microseconds of a monotonic clock. Wall-clock time has a
// separate type that does not convert to them, since the wall clock may be stepped at any moment.
#pragma once

#include <cstdint>

namespace orchidgw {

using TimeUs = std::int64_t;  // a duration, or an instant on the clock of its source; never wall-clock time

// Wall-clock time, as read from the system's clock, an engine's published start time or a log line. It has no
// arithmetic, so that an expression that mixes it with an instant does not compile.
struct WallTime {
  std::int64_t unix_us = 0;  // microseconds since 1970, UTC
  bool operator==(const WallTime&) const = default;
};

}  // namespace orchidgw
