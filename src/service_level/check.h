// Checks levels against a deployment's settings and the rules: what could not be entered or left, would act
// on nothing, or promises what the rules forbid is a fault. All faults are found.
#pragma once

#include <vector>

#include "service_level/level.h"

namespace orchidgw::service_level {

inline constexpr std::size_t kLevelsMost = 16;
inline constexpr std::size_t kSignalsMost = 32;  // that all conditions name together

std::vector<Fault> check(const Settings& settings, const LevelFile& file);

}  // namespace orchidgw::service_level
