// The system's clocks.
#pragma once

#include <time.h>

#include <chrono>

#include "base/time.h"

namespace orchidgw::net {

// Microseconds since the machine's start, its sleep included; nobody can set it. The one clock for deadlines,
// windows, leases, timers and every other span.
inline TimeUs monotonic_now() {
  constexpr TimeUs kUsPerSecond = 1'000'000;
  constexpr TimeUs kNsPerUs = 1000;
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return static_cast<TimeUs>(at.tv_sec) * kUsPerSecond + at.tv_nsec / kNsPerUs;
}

// For what is published in wall-clock time and for nothing else: it may be stepped by any amount at any
// moment.
inline WallTime wall_now() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::microseconds>(since).count()};
}

}  // namespace orchidgw::net
