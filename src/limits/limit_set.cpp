#include "limits/limit_set.h"

#include <unordered_map>
#include <utility>

namespace orchidgw::limits {

Bounds inherited(const Bounds& own, const Bounds* like, const Bounds& defaults) {
  Bounds out = own;
  const auto fill = [](auto& to, const auto& from, const char*) {
    if (!to) to = from;
  };
  if (like != nullptr) for_each_bound(out, *like, fill);
  for_each_bound(out, defaults, fill);
  return out;
}

LimitSet::LimitSet(const Settings& settings, const LimitFile& file, int version)
    : table_(settings, file.routes), retries_(file.retries), version_(version) {
  std::unordered_map<std::string_view, const Route*> by_name;
  for (const Route& route : file.routes) by_name[route.name] = &route;
  for (const Route& route : file.routes) {
    const auto like = route.like ? by_name.find(route.like->value) : by_name.end();
    const Bounds* like_bounds = like == by_name.end() ? nullptr : &like->second->bounds;
    routes_.push_back(std::make_shared<const RouteLimits>(
        RouteLimits{route.name, route.match, inherited(route.bounds, like_bounds, file.defaults)}));
  }
  routes_.push_back(std::make_shared<const RouteLimits>(RouteLimits{kDefaultRoute, {}, file.defaults}));
}

const std::shared_ptr<const RouteLimits>& LimitSet::find(int class_index, std::string_view tenant,
                                                         std::string_view table, bool keyed) const {
  const int route = table_.find(class_index, tenant, table, keyed);
  return route == RouteTable::kNone ? routes_.back() : routes_[static_cast<std::size_t>(route)];
}

}  // namespace orchidgw::limits
