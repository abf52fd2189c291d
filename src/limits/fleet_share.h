// This controller's share of the limits with `scope: fleet`, and its current usage of them. Plain values.
#pragma once

#include <map>
#include <string>

namespace orchidgw::limits {

// Keyed by route name; a route without an entry has a share of zero.
struct FleetLimits {
  std::map<std::string, double> rates;     // queries per second
  std::map<std::string, int> concurrency;  // queries under way at one time
  bool operator==(const FleetLimits&) const = default;
};

struct RouteUsage {
  int under_way = 0;
  int waiting = 0;
  double rate = 0;  // arrivals per second, exponentially decayed
};
using FleetUsage = std::map<std::string, RouteUsage>;

}  // namespace orchidgw::limits
