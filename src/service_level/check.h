// Checks service levels against the settings and the rules: a level that could not be entered or left, has no
// effect, or promises what the rules forbid is a fault.
#pragma once

#include <vector>

#include "service_level/level.h"

namespace orchidgw::service_level {

inline constexpr std::size_t kMaxLevels = 16;
inline constexpr std::size_t kMaxSignals = 32;  // distinct ones, in all conditions together

// Returns all faults, not only the first; empty: the levels are valid.
std::vector<Fault> check(const Settings& settings, const LevelFile& file);

}  // namespace orchidgw::service_level
