// The system's clocks.
#pragma once

#include <time.h>

#include <chrono>

#include "base/time.h"

namespace orchidgw::net {

// Microseconds since the machine booted, including suspended time; nobody can set this clock. The only clock
// for deadlines, windows, leases, timers and all other time spans.
inline TimeUs monotonic_now() {
  constexpr TimeUs kUsPerSecond = 1'000'000;
  constexpr TimeUs kNsPerUs = 1000;
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return static_cast<TimeUs>(at.tv_sec) * kUsPerSecond + at.tv_nsec / kNsPerUs;
}

// Only for values that are published as wall-clock time: this clock can be stepped by any amount at any
// moment.
inline WallTime wall_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()};
}

}  // namespace orchidgw::net
