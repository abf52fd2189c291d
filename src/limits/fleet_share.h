// What a fleet leaves this controller of limits with `scope: fleet`, and what it uses of them. Plain values.
#pragma once

#include <map>
#include <string>

namespace orchidgw::limits {

// By route; a route that is not there has nothing.
struct FleetLimits {
  std::map<std::string, double> rates;  // queries a second
  std::map<std::string, int> places;    // queries under way
  bool operator==(const FleetLimits&) const = default;
};

struct RouteUse {
  int under_way = 0;
  int waiting = 0;
  double rate = 0;  // arrivals a second, fading
};
using FleetUse = std::map<std::string, RouteUse>;

}  // namespace orchidgw::limits
