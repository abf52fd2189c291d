#include "limits/route_table.h"

#include <algorithm>

namespace orchidgw::limits {

int RouteTable::RoutesByKey::select(bool keyed) const {
  const int exact = keyed ? given : absent;
  return exact != kNone ? exact : any;
}

void RouteTable::RoutesByKey::set(KeyMatch key, int route) {
  (key == KeyMatch::kAny ? any : key == KeyMatch::kGiven ? given : absent) = route;
}

RouteTable::RouteTable(const Settings& settings, const std::vector<Route>& routes) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    classes_[settings.classes[i].name] = static_cast<int>(i);
  for (const Route& route : routes) {
    if (!route.match.tenant) continue;
    has_tenant_routes_ = true;
    tenants_.try_emplace(route.match.tenant->value, static_cast<int>(tenants_.size()));
  }
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Match& match = routes[i].match;
    Bucket& bucket = bucket_for(routes[i]);
    const int number = static_cast<int>(i);
    if (!match.table) {
      bucket.any_table.set(match.key_or_any(), number);
      continue;
    }
    TableEntry& entry = bucket.tables.emplace_back();
    entry.text = match.table->value.text;
    (match.table->value.prefix ? entry.prefix : entry.whole).set(match.key_or_any(), number);
  }
  for (auto& [key, bucket] : buckets_) link_prefixes(bucket);
}

RouteTable::Bucket& RouteTable::bucket_for(const Route& route) {
  const Match& match = route.match;
  const int class_index = match.class_name ? classes_.at(match.class_name->value) : kNone;
  const int tenant = match.tenant ? tenants_.at(match.tenant->value) : kNone;
  return buckets_[bucket_key(class_index, tenant)];
}

std::uint64_t RouteTable::bucket_key(int class_index, int tenant) const {
  return static_cast<std::uint64_t>(class_index + 1) << 32 | static_cast<std::uint32_t>(tenant + 1);
}

// Merges entries of the same text, and links each entry to the longest other one that is a prefix of it.
void RouteTable::link_prefixes(Bucket& bucket) {
  std::vector<TableEntry>& all = bucket.tables;
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.text < b.text; });
  std::vector<TableEntry> merged;
  const auto merge = [](RoutesByKey& to, const RoutesByKey& from) {
    if (from.any != kNone) to.any = from.any;
    if (from.given != kNone) to.given = from.given;
    if (from.absent != kNone) to.absent = from.absent;
  };
  for (TableEntry& entry : all) {
    if (merged.empty() || merged.back().text != entry.text) {
      merged.push_back(std::move(entry));
      continue;
    }
    merge(merged.back().whole, entry.whole);
    merge(merged.back().prefix, entry.prefix);
  }
  all = std::move(merged);
  // The entries are sorted: each prefix of an entry comes before it, and is the entry right before it or one
  // of that entry's parents.
  for (std::size_t i = 1; i < all.size(); ++i) {
    int at = static_cast<int>(i) - 1;
    while (at != kNone && !all[i].text.starts_with(all[static_cast<std::size_t>(at)].text))
      at = all[static_cast<std::size_t>(at)].parent;
    all[i].parent = at;
  }
}

int RouteTable::find(int class_index, std::string_view tenant, std::string_view table, bool keyed) const {
  if (buckets_.empty()) return kNone;
  int tenant_number = kNone;
  if (has_tenant_routes_) {
    if (const auto it = tenants_.find(tenant); it != tenants_.end()) tenant_number = it->second;
  }
  const int classes[2] = {class_index, kNone};
  const int tenants[2] = {tenant_number, kNone};
  for (const int c : classes) {
    for (const int t : tenants) {
      if (t == kNone && &t == &tenants[0]) continue;  // no route states this tenant
      const auto it = buckets_.find(bucket_key(c, t));
      if (it == buckets_.end()) continue;
      if (const int route = find_in(it->second, table, keyed); route != kNone) return route;
    }
  }
  return kNone;
}

int RouteTable::find_in(const Bucket& bucket, std::string_view table, bool keyed) {
  const std::vector<TableEntry>& all = bucket.tables;
  // The last entry that is not greater than the table's name: the table itself, or an entry that has all
  // prefixes of the table among itself and its parents.
  auto it =
      std::upper_bound(all.begin(), all.end(), table,
                       [](std::string_view text, const TableEntry& entry) { return text < entry.text; });
  int at = table.empty() ? kNone : static_cast<int>(it - all.begin()) - 1;
  while (at != kNone) {
    const TableEntry& entry = all[static_cast<std::size_t>(at)];
    if (entry.text == table)
      if (const int route = entry.whole.select(keyed); route != kNone) return route;
    if (table.starts_with(entry.text))
      if (const int route = entry.prefix.select(keyed); route != kNone) return route;
    at = entry.parent;
  }
  return bucket.any_table.select(keyed);
}

}  // namespace orchidgw::limits
