// Time as all packages count it. Instants and spans are microseconds on a clock that nobody sets; the wall
// clock has a type of its own that does not convert to them, since it may be stepped at any moment.
#pragma once

#include <cstdint>

namespace orchidgw {

using TimeUs = std::int64_t;  // a span, or an instant on the clock of whoever tells it; never wall-clock time

// A time of day as the system's wall clock, an engine's published start or a log line tells it. Without
// arithmetic on purpose: an expression that mixes it with an instant does not compile.
struct WallTime {
  std::int64_t unix_us = 0;  // microseconds since 1970, UTC
  bool operator==(const WallTime&) const = default;
};

}  // namespace orchidgw
