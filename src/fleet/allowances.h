// Which allowances a fleet divides, how leased parts translate into shares for the decision module and for
// the limits, and how much of each allowance a controller requests. No I/O, no clock.
//
// Allowances and the unit of their parts:
// - cpu/TENANT: millionths of the tenant's CPU budget; without tenants "cpu/" bounds threads and memory
// - cold: millionths of the load that engines in slow start may be sent (rule 4)
// - further_attempts: attempts beyond each query's first, in the window of the retry budget (rule 7)
// - rate/ROUTE: thousandths of a query per second, of limits with `scope: fleet`
// - concurrency/ROUTE: queries in flight, of limits with `scope: fleet`
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

// The fleet's terms by `config`, with an allowance for each budget and limit that the fleet divides.
// `limits` may be null: no limits are active. Throws std::invalid_argument that names the field where the
// parts set aside leave nothing to lease.
budget::Terms terms_of(const FleetConfig& config, const Settings& settings, const limits::LimitSet* limits);

// This controller's shares of the fleet's budgets and limits.
struct Shares {
  FleetShare module;
  limits::FleetLimits limits;
  bool operator==(const Shares&) const = default;
};
// The shares that `holder` may use at `now`; without a valid lease only the parts set aside for that case.
Shares shares_of(const budget::LeaseHolder& holder, const Settings& settings, TimeUs now);

// Measures how much of each allowance this controller's own traffic needs, over the last seconds.
class Demand {
 public:
  explicit Demand(const Settings& settings) : settings_(settings) {}

  // Counts an accepted query; `cost` is its CPU time in microseconds.
  void query_accepted(TimeUs now, const std::string& tenant, TimeUs cost);
  // Sets the number of cores of all listed engines together.
  void set_engine_cores(double cores) { cores_ = cores; }
  // By allowance, in the order of `terms`: the parts needed beyond the cut-off part, which needs no lease.
  std::vector<budget::Parts> parts(TimeUs now, const budget::Terms& terms, const limits::FleetUsage& use);

  // By allowance: the parts in use beyond the cut-off part that can't be given back yet. For concurrency
  // these are queries in flight, for a rate none; for other allowances the largest part leased within the
  // last window.
  std::vector<budget::Parts> parts_in_use(TimeUs now, const budget::LeaseHolder& holder,
                                          const limits::FleetUsage& use);

 private:
  struct AcceptedQuery {
    TimeUs at = 0;
    std::string tenant;
    TimeUs cost = 0;
  };
  void drop_expired(TimeUs now);

  Settings settings_;
  double cores_ = 0;
  std::deque<AcceptedQuery> accepted_;
  std::map<std::string, double> cost_by_tenant_;  // CPU time in us
  // By allowance: since when a part was leased, and its size; sizes decrease from front to back.
  std::map<std::string, std::deque<std::pair<TimeUs, budget::Parts>>> leased_peaks_;
};

}  // namespace orchidgw::fleet
