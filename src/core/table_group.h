// Finds the tables that an SQL statement reads or writes: its table group, which is the number after the last
// underscore of a schema's name, and its first table.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace orchidgw::core {

// 17 for "select * from sales_17.orders". String literals, comments and the schema `staging` are ignored. 0
// if the statement names no group, as the simulator's adapter has it where the group is absent.
std::int64_t table_group_of(std::string_view statement);

struct TableUse {
  std::int64_t group = 0;
  std::string table;  // "schema.table" or "table", in lower case; empty: none found
};

// The group as above, and the first table outside the schema `staging` that a table list names.
TableUse table_use_of(std::string_view statement);

}  // namespace orchidgw::core
