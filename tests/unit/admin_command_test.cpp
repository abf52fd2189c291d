// The line protocol of the administration socket.
#include "admin/admin_command.h"

#include <gtest/gtest.h>

namespace orchidgw::admin {
namespace {

TEST(AdminCommand, WhatIsWrittenIsRead) {
  std::string why;
  for (const AdminCommand& command :
       {AdminCommand{}, AdminCommand{AdminCommand::Kind::kLevelSet, "reduced", 600'000'000}}) {
    std::string line = format_admin_command(command);
    ASSERT_EQ(line.back(), '\n');
    line.pop_back();
    const auto read = parse_admin_command(line, why);
    ASSERT_TRUE(read) << why;
    EXPECT_EQ(read->kind, command.kind);
    EXPECT_EQ(read->level, command.level);
    EXPECT_EQ(read->hold, command.hold);
  }
}

TEST(AdminCommand, AllElseIsRefusedWithAReason) {
  for (const char* line :
       {"", "stat", "status now", "level", "level set x", "level set x 0", "level set x 86401",
        "level set x -5", "level set x 10s", "level unset x 10", "level set x 10 y"}) {
    std::string why;
    EXPECT_FALSE(parse_admin_command(line, why)) << line;
    EXPECT_FALSE(why.empty()) << line;
  }
}

}  // namespace
}  // namespace orchidgw::admin
