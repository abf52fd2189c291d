// Checks the limits of one route against the classes that it may meet, the settings and the rules.
#pragma once

#include <string>
#include <vector>

#include "limits/route.h"

namespace orchidgw::limits {

struct RouteToCheck {
  std::string path;   // "defaults" or "routes[3]"
  const Bounds* own;  // what it states by itself: faults are reported where they are stated
  Bounds whole;       // after inheritance
  std::vector<const ClassSettings*> classes;  // which it may meet
};

void check_bounds(const Settings& settings, const RouteToCheck& route, std::vector<Fault>& faults);

std::string time_text(TimeUs time);       // "250ms", "2s"
std::string short_number(double number);  // "0.2", "12"

}  // namespace orchidgw::limits
