// Validates the limits of one route against the query classes that it can match, the settings and the rules.
#pragma once

#include <string>
#include <vector>

#include "limits/route.h"

namespace orchidgw::limits {

struct RouteToCheck {
  std::string path;   // "defaults" or "routes[3]"
  const Bounds* own;  // stated by the route itself: a fault is reported where the limit is stated
  Bounds effective;   // after inheritance
  std::vector<const ClassSettings*> classes;  // those that the route can match
};

// Appends what is wrong to `faults`.
void check_bounds(const Settings& settings, const RouteToCheck& route, std::vector<Fault>& faults);

std::string format_time(TimeUs time);      // "250ms", "2s"
std::string format_number(double number);  // "0.2", "12"

}  // namespace orchidgw::limits
