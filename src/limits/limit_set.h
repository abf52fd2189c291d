// The limits of one operator file in the form in which they are applied: inheritance resolved, indexed by
// what routes match, immutable.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "limits/route.h"
#include "limits/route_table.h"

namespace orchidgw::limits {

// The limits of one route after inheritance.
struct RouteLimits {
  std::string name;
  Match match;
  Bounds bounds;
};

class LimitSet {
 public:
  // `file` must have passed check(); `version` rises with each file. Throws only what allocations throw.
  LimitSet(const Settings& settings, const LimitFile& file, int version);

  // The limits of the most specific route that matches such a query; those of the defaults if none does.
  const std::shared_ptr<const RouteLimits>& find(int class_index, std::string_view tenant,
                                                 std::string_view table, bool keyed) const;

  const std::vector<std::shared_ptr<const RouteLimits>>& routes() const { return routes_; }  // defaults last
  // The budget over all routes.
  const OptionalLocated<RetryBudgetSettings>& retries() const { return retries_; }
  int version() const { return version_; }

 private:
  std::vector<std::shared_ptr<const RouteLimits>> routes_;
  RouteTable table_;
  OptionalLocated<RetryBudgetSettings> retries_;
  int version_;
};

// Resolves inheritance: the own limits, then those of the route it is like (null: none), then `defaults`.
Bounds inherited(const Bounds& own, const Bounds* like, const Bounds& defaults);

}  // namespace orchidgw::limits
