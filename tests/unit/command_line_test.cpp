// The command line: commands, options, and what comes before what.
#include "cli/command_line.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <vector>

namespace orchidgw::cli {
namespace {

class CommandLineTest : public ::testing::Test {
 protected:
  void SetUp() override {
    for (const char* name : {"BALANCER_CONFIG", "ORCHIDGW_LIMITS", "ORCHIDGW_LOG", "ORCHIDGW_LOG_FORMAT"})
      ::unsetenv(name);
  }
  void TearDown() override { SetUp(); }

  std::optional<CommandLine> line(std::vector<const char*> words) {
    words.insert(words.begin(), "orchidgw");
    return parse(static_cast<int>(words.size()), words.data(), exit_code);
  }

  int exit_code = -1;
};

TEST_F(CommandLineTest, WithoutACommandItServesAsTheEnvironmentSays) {
  ::setenv("BALANCER_CONFIG", "/a", 1);
  ::setenv("ORCHIDGW_LIMITS", "/l", 1);
  const auto parsed = line({});
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->command, CommandLine::Command::kServe);
  EXPECT_EQ(parsed->sources.config, "/a");
  EXPECT_EQ(parsed->sources.limits, "/l");
}

// Guards against the environment of a command that undoes a flag before it.
TEST_F(CommandLineTest, AFlagComesBeforeTheEnvironmentOnEitherSideOfTheCommand) {
  ::setenv("BALANCER_CONFIG", "/environment", 1);
  EXPECT_EQ(line({"--config", "/flag", "check"})->sources.config, "/flag");
  EXPECT_EQ(line({"check", "--config", "/flag"})->sources.config, "/flag");
  EXPECT_EQ(line({"check"})->sources.config, "/environment");
}

TEST_F(CommandLineTest, KnowsItsCommands) {
  EXPECT_EQ(line({"serve"})->command, CommandLine::Command::kServe);
  EXPECT_EQ(line({"version"})->command, CommandLine::Command::kVersion);
  const auto explain = line({"explain", "--class", "lookup", "--tenant", "t", "--table", "a.b", "--key"});
  ASSERT_TRUE(explain);
  EXPECT_EQ(explain->command, CommandLine::Command::kExplain);
  EXPECT_EQ(explain->explain.class_name, "lookup");
  EXPECT_TRUE(explain->explain.keyed);
}

TEST_F(CommandLineTest, AWrongLineIsUsage) {
  for (const auto& words : std::vector<std::vector<const char*>>{{"frob"},
                                                                 {"--frob"},
                                                                 {"explain"},
                                                                 {"--log-format", "xml"},
                                                                 {"--log-level", "loud"},
                                                                 {"--config"}}) {
    exit_code = -1;
    EXPECT_FALSE(line(words)) << words[0];
    EXPECT_EQ(exit_code, kUsage) << words[0];
  }
}

TEST_F(CommandLineTest, HelpIsGood) {
  EXPECT_FALSE(line({"--help"}));
  EXPECT_EQ(exit_code, kGood);
}

}  // namespace
}  // namespace orchidgw::cli
