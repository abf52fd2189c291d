// What a statement reads or writes: the group of tables, which is the number behind the underscore in its
// schema's name, and its first table.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace orchidgw::core {

// 17 for "select * from sales_17.orders". Strings, comments and the schema `staging` don't count. 0: none
// named, as the simulator's adapter has it where the group is absent.
std::int64_t table_group_of(std::string_view statement);

struct TableUse {
  std::int64_t group = 0;
  std::string table;  // "schema.table" or "table", in lower case; empty: none found
};

// The group as above, and the first table that a table list names outside the schema `staging`.
TableUse table_use_of(std::string_view statement);

}  // namespace orchidgw::core
