// A file's limits in the form in which they are put in force: inherited, indexed, never changed again.
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
  // `file` passed check(); `version` only rises. Throws nothing of its own.
  LimitSet(const Settings& settings, const LimitFile& file, int version);

  // The limits of such a query; those of the defaults where no route matches.
  const std::shared_ptr<const RouteLimits>& find(int class_index, std::string_view tenant,
                                                 std::string_view table, bool keyed) const;

  const std::vector<std::shared_ptr<const RouteLimits>>& routes() const { return routes_; }  // defaults last
  const Maybe<RetryShare>& retries() const { return retries_; }
  int version() const { return version_; }

 private:
  std::vector<std::shared_ptr<const RouteLimits>> routes_;
  RouteTable table_;
  Maybe<RetryShare> retries_;
  int version_;
};

// Limits of a route, of the one that it is like, and the defaults, made into one.
Bounds inherited(const Bounds& own, const Bounds* like, const Bounds& defaults);

}  // namespace orchidgw::limits
