// The system's clocks in microseconds.
#pragma once

#include <time.h>

#include <chrono>

#include "decision/decision.h"

namespace orchidgw::net {

inline TimeUs unix_now() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

// Since the machine's start, its sleep included; nobody sets it. What a lease's term is counted on.
inline TimeUs boot_now() {
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return static_cast<TimeUs>(at.tv_sec) * 1'000'000 + at.tv_nsec / 1000;
}

}  // namespace orchidgw::net
