// Which allowances a fleet divides, what their parts are worth to the module and to the limits, and how much
// of each a controller asks for. No I/O, no clock.
//
//   cpu/TENANT           millionths of the tenant's CPU budget; without tenants "cpu/" bounds threads and
//   memory cold                 millionths of what cold engines may be sent (rule 4) further_attempts
//   attempts beyond each query's first, in the rules' window (rule 7) rate/ROUTE           thousandths of a
//   query a second, of limits with `scope: fleet` concurrency/ROUTE    queries under way, of limits with
//   `scope: fleet`
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "budget/holder.h"
#include "decision/decision.h"
#include "fleet/fleet_config.h"
#include "limits/fleet_share.h"
#include "limits/limit_set.h"

namespace orchidgw::fleet {

inline constexpr budget::Parts kMillion = 1'000'000;
inline constexpr budget::Parts kMilli = 1'000;

// Terms of the file, for these settings and limits (null: none are in force). Throws std::invalid_argument
// naming the field where the parts set aside leave nothing to lease.
budget::Terms terms_of(const FleetConfig& config, const Settings& settings, const limits::LimitSet* limits);

// What a holder's parts are worth now.
struct Shares {
  FleetShare module;
  limits::FleetLimits limits;
  bool operator==(const Shares&) const = default;
};
Shares shares_of(const budget::Holder& holder, const Settings& settings, TimeUs now);

// How much of each allowance this controller's own traffic asks for, over the last seconds.
class Demand {
 public:
  explicit Demand(const Settings& settings) : settings_(settings) {}

  void taken(TimeUs now, const std::string& tenant, TimeUs cost);  // a query, its work
  void engines(double cores) { cores_ = cores; }                   // of all listed engines
  std::vector<budget::Parts> parts(TimeUs now, const budget::Terms& terms, const limits::FleetUse& use);

  // What of each allowance is in use beyond the cut-off part and can't be given back yet: queries under way,
  // and for a window after it was last so large, a part of a CPU budget.
  std::vector<budget::Parts> in_use(TimeUs now, const budget::Holder& holder, const limits::FleetUse& use);

 private:
  struct Work {
    TimeUs at = 0;
    std::string tenant;
    TimeUs cost = 0;
  };
  void drop_old(TimeUs now);

  Settings settings_;
  double cores_ = 0;
  std::deque<Work> work_;
  std::map<std::string, double> sums_;                                         // us of work by tenant
  std::map<std::string, std::deque<std::pair<TimeUs, budget::Parts>>> peaks_;  // falling, by allowance
};

}  // namespace orchidgw::fleet
