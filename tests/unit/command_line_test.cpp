// The command line: commands, options, and which source of an option takes precedence.
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

  std::optional<CommandLine> parse_line(std::vector<const char*> words) {
    words.insert(words.begin(), "orchidgw");
    return parse(static_cast<int>(words.size()), words.data(), exit_code);
  }

  int exit_code = -1;
};

TEST_F(CommandLineTest, WithoutACommandItServesAsTheEnvironmentSays) {
  ::setenv("BALANCER_CONFIG", "/a", 1);
  ::setenv("ORCHIDGW_LIMITS", "/l", 1);
  const auto parsed = parse_line({});
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->command, CommandLine::Command::kServe);
  EXPECT_EQ(parsed->sources.config, "/a");
  EXPECT_EQ(parsed->sources.limits, "/l");
}

// Guards against an environment variable that overrides a flag placed before the command.
TEST_F(CommandLineTest, AFlagComesBeforeTheEnvironmentOnEitherSideOfTheCommand) {
  ::setenv("BALANCER_CONFIG", "/environment", 1);
  EXPECT_EQ(parse_line({"--config", "/flag", "check"})->sources.config, "/flag");
  EXPECT_EQ(parse_line({"check", "--config", "/flag"})->sources.config, "/flag");
  EXPECT_EQ(parse_line({"check"})->sources.config, "/environment");
}

TEST_F(CommandLineTest, KnowsItsCommands) {
  EXPECT_EQ(parse_line({"serve"})->command, CommandLine::Command::kServe);
  EXPECT_EQ(parse_line({"version"})->command, CommandLine::Command::kVersion);
  const auto explain =
      parse_line({"explain", "--class", "lookup", "--tenant", "t", "--table", "a.b", "--key"});
  ASSERT_TRUE(explain);
  EXPECT_EQ(explain->command, CommandLine::Command::kExplain);
  EXPECT_EQ(explain->explain.class_name, "lookup");
  EXPECT_TRUE(explain->explain.has_key);
}

TEST_F(CommandLineTest, AWrongLineIsUsage) {
  for (const auto& words : std::vector<std::vector<const char*>>{{"frob"},
                                                                 {"--frob"},
                                                                 {"explain"},
                                                                 {"--log-format", "xml"},
                                                                 {"--log-level", "loud"},
                                                                 {"--config"}}) {
    exit_code = -1;
    EXPECT_FALSE(parse_line(words)) << words[0];
    EXPECT_EQ(exit_code, kExitUsage) << words[0];
  }
}

TEST_F(CommandLineTest, HelpIsGood) {
  EXPECT_FALSE(parse_line({"--help"}));
  EXPECT_EQ(exit_code, kExitSuccess);
}

}  // namespace
}  // namespace orchidgw::cli
