// Finds the most specific route that matches a query, by a total order: class before tenant before table
// before key; a full table name before a prefix, a longer prefix before a shorter one. A route that states
// the class beats every route that does not, whatever else that one states; likewise for the next criteria.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limits/route.h"

namespace orchidgw::limits {

class RouteTable {
 public:
  static constexpr int kNone = -1;  // no route matches

  RouteTable() = default;
  // `routes` may name only classes and tenants of these settings; no two may match the same (see check.h).
  RouteTable(const Settings& settings, const std::vector<Route>& routes);

  // Returns the index in `routes`, or kNone. Does not allocate; logarithmic in the number of routes.
  int find(int class_index, std::string_view tenant, std::string_view table, bool keyed) const;

 private:
  // Indices of routes that differ only in the key.
  struct RoutesByKey {
    int any = kNone, given = kNone, absent = kNone;
    int select(bool keyed) const;
    void set(KeyMatch key, int route);
  };
  struct TableEntry {
    std::string text;
    RoutesByKey whole;
    RoutesByKey prefix;
    int parent = kNone;  // index of the longest other entry that is a prefix of this one
  };
  struct Bucket {
    RoutesByKey any_table;
    std::vector<TableEntry> tables;  // sorted by text
  };
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };

  static int find_in(const Bucket& bucket, std::string_view table, bool keyed);
  static void link_prefixes(Bucket& bucket);
  Bucket& bucket_for(const Route& route);
  std::uint64_t bucket_key(int class_index, int tenant) const;

  std::unordered_map<std::string, int, TextHash, std::equal_to<>> classes_, tenants_;
  std::unordered_map<std::uint64_t, Bucket> buckets_;
  bool has_tenant_routes_ = false;
};

}  // namespace orchidgw::limits
