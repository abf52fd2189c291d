// Finds the route of a query. The most specific wins, by an order that is total: class before tenant before
// table before key; a whole table before a prefix, a longer prefix before a shorter one. A route that states
// the class beats every one that does not, whatever else those state, and so on down the order.
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
  // `routes` name classes and tenants of these settings alone, and no two match alike (check.h sees to it).
  RouteTable(const Settings& settings, const std::vector<Route>& routes);

  // The place in `routes`, or kNone. Allocates nothing; logarithmic in the number of routes.
  int find(int class_index, std::string_view tenant, std::string_view table, bool keyed) const;

 private:
  // Routes that differ in the key alone.
  struct ByKey {
    int any = kNone, given = kNone, absent = kNone;
    int pick(bool keyed) const;
    void put(KeyMatch key, int route);
  };
  struct TableEntry {
    std::string text;
    ByKey whole;
    ByKey prefix;
    int parent = kNone;  // the longest other entry that this one begins with
  };
  struct Bucket {
    ByKey any_table;
    std::vector<TableEntry> tables;  // in order of their text
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
  bool states_tenant_ = false;
};

}  // namespace orchidgw::limits
