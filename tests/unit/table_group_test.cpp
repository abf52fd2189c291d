// The table group of a statement, with names in strings and comments, quoted identifiers, the schema
// `staging`, and aliases that look like a schema.
#include "core/table_group.h"

#include <gtest/gtest.h>

namespace orchidgw::core {
namespace {

TEST(TableGroup, IsTheNumberBehindTheUnderscoreOfTheSchema) {
  EXPECT_EQ(table_group_of("select * from sales_17.orders"), 17);
  EXPECT_EQ(table_group_of("SELECT a FROM Sales_3.Orders WHERE a = 1"), 3);
  EXPECT_EQ(table_group_of("insert into stock_0.levels values (1, 2)"), 0);
  EXPECT_EQ(table_group_of("insert into stock_12.levels (a) select 1"), 12);
  EXPECT_EQ(table_group_of("update sales_8.orders set a = 1"), 8);
  EXPECT_EQ(table_group_of("delete from sales_9.orders"), 9);
  EXPECT_EQ(table_group_of("copy sales_4.orders from stdin"), 4);
}

TEST(TableGroup, TakesTheNumberBehindTheLastUnderscore) {
  EXPECT_EQ(table_group_of("select 1 from north_2_sales_31.orders"), 31);
}

TEST(TableGroup, NamesInStringsDoNotCount) {
  EXPECT_EQ(table_group_of("select 'from sales_1.orders' from sales_2.orders"), 2);
  EXPECT_EQ(table_group_of("select 'it''s from sales_1.orders' from sales_2.orders"), 2);
  EXPECT_EQ(table_group_of("select 'a''' , ' from sales_1.x' from sales_2.orders"), 2);
  EXPECT_EQ(table_group_of("select E'it\\'s from sales_1.x' from sales_2.orders"), 2);
}

TEST(TableGroup, NamesInCommentsDoNotCount) {
  EXPECT_EQ(table_group_of("-- from sales_1.orders\nselect 1 from sales_2.orders"), 2);
  EXPECT_EQ(table_group_of("select 1 /* from sales_1.orders */ from sales_2.orders"), 2);
  EXPECT_EQ(table_group_of("select 1 /* it's -- */ from sales_2.orders -- sales_3.x"), 2);
  EXPECT_EQ(table_group_of("select '/*' from sales_2.orders where a = '*/'"), 2);
  EXPECT_EQ(table_group_of("select '--' from sales_2.orders"), 2);
}

TEST(TableGroup, StagingDoesNotCount) {
  EXPECT_EQ(table_group_of("insert into sales_5.orders select * from staging.orders_9"), 5);
  EXPECT_EQ(table_group_of("select * from staging.load_7 join sales_6.orders on true"), 6);
  EXPECT_EQ(table_group_of("select * from Staging.load_7, sales_6.orders"), 6);
  EXPECT_EQ(table_group_of("select * from staging.load_7"), 0);
}

TEST(TableGroup, LoadsAndNamedSubqueries) {
  EXPECT_EQ(
      table_group_of("merge into shop_12.stock t using staging.new_3 n on t.id = n.id when matched then "
                     "update set amount = n.amount"),
      12);
  EXPECT_EQ(table_group_of("with part_9 as (select * from shop_4.stock) select * from part_9"), 4);
  EXPECT_EQ(table_group_of("select id -- once: from shop_1.old\nfrom shop_4.stock limit 5"), 4);
}

TEST(TableGroup, QuotedIdentifiersCount) {
  EXPECT_EQ(table_group_of("select * from \"sales_17\".\"orders\""), 17);
  EXPECT_EQ(table_group_of("select * from `sales_18`.`orders`"), 18);
  EXPECT_EQ(table_group_of("select \"from sales_1.x\" from sales_2.orders"), 2);
}

TEST(TableGroup, SpaceRoundTheDotIsNoMatter) {
  EXPECT_EQ(table_group_of("select * from sales_17 . orders"), 17);
  EXPECT_EQ(table_group_of("select * from sales_17/* a */./* b */orders"), 17);
}

TEST(TableGroup, OfSeveralSchemasTheFirstWithANumberCounts) {
  EXPECT_EQ(table_group_of("select * from plain.t join sales_4.orders on true join sales_5.x on true"), 4);
  EXPECT_EQ(table_group_of("select * from a_1.t, b_2.t"), 1);
}

TEST(TableGroup, AliasesAndColumnsThatLookLikeASchemaDoNotCount) {
  EXPECT_EQ(table_group_of("select o_3.id, o_3.day_4 from sales_17.orders as o_3"), 17);
  EXPECT_EQ(table_group_of("select o_3.id from sales_17.orders o_3 where o_3.id = 1"), 17);
  EXPECT_EQ(table_group_of("select extract(year from o_3.day) from sales_17.orders o_3"), 17);
  EXPECT_EQ(table_group_of("update sales_17.orders set day_4 = 1"), 17);
  EXPECT_EQ(table_group_of("select count_5 from sales_17.orders"), 17);
  EXPECT_EQ(table_group_of("select * from (select t_9.a from sales_17.x t_9) s_8 where s_8.a = 1"), 17);
}

TEST(TableGroup, IsZeroWhereNoneIsNamed) {
  EXPECT_EQ(table_group_of(""), 0);
  EXPECT_EQ(table_group_of("select 1"), 0);
  EXPECT_EQ(table_group_of("select * from orders"), 0);
  EXPECT_EQ(table_group_of("select 1.5 from orders_3"), 0);
  EXPECT_EQ(table_group_of("select * from sales_x.orders"), 0);
  EXPECT_EQ(table_group_of("select * from sales_99999999999999999999.orders"), 0);
}

TEST(TableGroup, BrokenStatementsDoNoHarm) {
  for (const char* broken : {"select 'open", "select \"open", "/* open", "--", "from", "from .", "from a_1.",
                             "E'", "\"", "'", "from a_1.b,"}) {
    EXPECT_GE(table_group_of(broken), 0) << broken;
  }
}

}  // namespace
}  // namespace orchidgw::core
