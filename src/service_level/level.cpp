#include "service_level/level.h"

#include <array>

namespace orchidgw::service_level {
namespace {

constexpr std::array<const char*, kSignalCount> kSignalNames = {
    "line_length", "line_age",       "refused_share", "late_share", "arrivals",
    "slowdown",    "slowest_engine", "in_service",    "loop_lag",   "buffers"};

}  // namespace

const char* name_of(Signal signal) { return kSignalNames[static_cast<std::size_t>(signal)]; }

std::optional<Signal> signal_named(std::string_view name) {
  for (std::size_t i = 0; i < kSignalCount; ++i)
    if (name == kSignalNames[i]) return static_cast<Signal>(i);
  return std::nullopt;
}

bool is_time(Signal signal) { return signal == Signal::kQueueAge || signal == Signal::kLoopLag; }

bool can_filter_by_class_or_tenant(Signal signal) {
  return signal == Signal::kRefusedShare || signal == Signal::kLateShare || signal == Signal::kArrivals;
}

bool changed_by_shedding(Signal signal) {
  return signal == Signal::kQueueLength || signal == Signal::kQueueAge || signal == Signal::kRefusedShare;
}

}  // namespace orchidgw::service_level
