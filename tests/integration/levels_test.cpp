// The program under reduced service levels, which it enters and leaves because of how its stand-in engine
// behaves, or because an operator overrides the level.
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "change_log_stand_in.h"
#include "controller_process.h"
#include "front_client.h"
#include "http_stand_in.h"

namespace orchidgw::integration {
namespace {

using Kind = FrontAnswer::Kind;

// The level is entered while answers, delayed by `slow_ms`, take too long against their estimate. It sheds
// class "lookup"; class "once" takes the part of the load queries, which it keeps.
const std::string kLevels =
    "version: 1\nlevels:\n  list:\n  - name: reduced\n"
    "    enter: {signal: slowdown, above: 3, for: 300ms, over: 1s}\n"
    "    leave: {signal: slowdown, below: 2, for: 300ms, over: 1s}\n"
    "    least_stay: 500ms\n    effects: {shed: [{class: lookup}]}\n"
    "  trial: {parts: [50%], step: 300ms, wait: 300ms}\n  changes: {most: 10, within: 1m}\n...\n";

class Leveled : public ::testing::Test {
 protected:
  void start(const std::string& limits) {
    engine = std::make_unique<HttpStandIn>([this](const HttpCall& call) {
      HttpReply result;
      result.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "5"}, {"X-Needed-Mb", "4"}};
      if (call.method == "DELETE") result.status = 204;
      if (call.method == "POST") std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms));
      result.body = "a\tb\tc\n";
      return result;
    });
    options.members = {member_json("s-0", engine->address())};
    options.change_log = change_log.address();
    options.limits = limits;
    options.arguments = {"--admin", admin_path()};
    controller = std::make_unique<ControllerProcess>(options);
  }

  static std::string admin_path() { return "/tmp/orchidgw-test-admin-" + std::to_string(::getpid()); }

  FrontAnswer ask(const std::string& service) {
    FrontClient client(controller->address());
    client.invoke(1, {{"service", service}, {"effort", "20.0"}});
    return client.receive();
  }

  // Sends queries of class "once" until the log contains the text: the times of their answers drive the
  // signal. False if one of them is not served, or after 2,000.
  bool load_until(const std::string& part) {
    for (int i = 0; i < 2'000; ++i) {
      if (controller->log().find(part) != std::string::npos) return true;
      if (ask("once").kind != Kind::kServed) return false;
    }
    return false;
  }

  // Runs a command of the program against the administration socket; returns its output.
  std::string run(const std::vector<std::string>& arguments, int expected_exit_code) {
    ControllerProcess command({{"ORCHIDGW_ADMIN", admin_path()}}, arguments);
    EXPECT_EQ(command.wait_exit(), expected_exit_code);
    command.wait_for_line("\n");
    return command.log();
  }

  std::atomic<int> slow_ms{0};
  ChangeLogStandIn change_log;
  std::unique_ptr<HttpStandIn> engine;
  ControllerOptions options;
  std::unique_ptr<ControllerProcess> controller;
};

TEST_F(Leveled, ShedsWhileAnswersAreSlowKeepsLoadsAndComesBackByItself) {
  start(kLevels);
  EXPECT_EQ(ask("lookup").kind, Kind::kServed);
  slow_ms = 90;
  ASSERT_TRUE(load_until("service level full -> reduced: slowdown"));
  const FrontAnswer shed = ask("lookup");
  EXPECT_EQ(shed.kind, Kind::kRefused);
  EXPECT_GT(std::stoi(shed.fields.at("cooldown")), 0);
  EXPECT_EQ(ask("once").kind, Kind::kServed);
  slow_ms = 2;
  ASSERT_TRUE(load_until("service level reduced -> full: the trial went well"));
  EXPECT_EQ(ask("lookup").kind, Kind::kServed);
  auto counters = controller->counters();
  EXPECT_GE(counters["queries.refused.shed"], 1);
  EXPECT_EQ(counters["queries.failed"], 0);
  EXPECT_EQ(counters["level.changes"], 2);
  EXPECT_GT(counters["level.reduced.time_ms"], 0);
}

TEST_F(Leveled, AReloadWithoutLevelsEndsTheOneInForce) {
  start(kLevels);
  slow_ms = 90;
  ASSERT_TRUE(load_until("service level full -> reduced"));
  EXPECT_EQ(ask("lookup").kind, Kind::kRefused);
  controller->replace_limits("version: 1\n...\n");
  controller->signal(SIGHUP);
  ASSERT_TRUE(controller->wait_for_counter("config.reloads", 1));
  EXPECT_EQ(ask("lookup").kind, Kind::kServed);
}

TEST_F(Leveled, ALevelIsSetByHandThroughTheAdministrationSocket) {
  start(kLevels);
  EXPECT_NE(run({"status"}, 0).find("level full"), std::string::npos);
  EXPECT_EQ(run({"level", "set", "nothing", "--for", "1m"}, 1), "error: no level of that name\n");
  EXPECT_EQ(run({"level", "set", "reduced", "--for", "10m"}, 0), "set\n");
  ASSERT_TRUE(controller->wait_for_line("service level full -> reduced: set by hand"));
  EXPECT_EQ(ask("lookup").kind, Kind::kRefused);
  EXPECT_NE(run({"status"}, 0).find("level reduced"), std::string::npos);
  EXPECT_EQ(run({"level", "set", "full", "--for", "10m"}, 0), "set\n");
  ASSERT_TRUE(controller->wait_for_line("service level reduced -> full: set by hand"));
  EXPECT_EQ(ask("lookup").kind, Kind::kServed);
}

TEST_F(Leveled, TheSignalsThatWerePrintedCanBeReplayed) {
  start(kLevels);
  slow_ms = 90;
  ASSERT_TRUE(load_until("service level full -> reduced"));
  controller->counters();
  std::istringstream lines(controller->log());
  const std::string path = controller->limits_path() + ".csv";
  {
    std::ofstream csv(path);
    for (std::string line; std::getline(lines, line);)
      if (line.starts_with("signals ")) csv << line.substr(8) << '\n';
  }
  ControllerProcess replay({{"BALANCER_CONFIG", controller->config_path()}},
                           {"level", "replay", path, "--limits", controller->limits_path()});
  EXPECT_EQ(replay.wait_exit(), 0);
  EXPECT_TRUE(replay.wait_for_line("full -> reduced: slowdown"));
}

TEST_F(Leveled, TheAdministrationSocketIsItsOwnersAndGoneWithTheProgram) {
  start(kLevels);
  EXPECT_EQ(std::filesystem::status(admin_path()).permissions(),
            std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  ControllerProcess second({{"BALANCER_CONFIG", controller->config_path()},
                            {"BALANCER_LISTEN", "127.0.0.3:" + std::to_string(20'000 + ::getpid() % 20'000)}},
                           {"--admin", admin_path()});
  EXPECT_EQ(second.wait_exit(), 1);
  EXPECT_TRUE(second.wait_for_line("another process listens there"));
  controller->signal(SIGTERM);
  EXPECT_EQ(controller->wait_exit(), 0);
  EXPECT_FALSE(std::filesystem::exists(admin_path()));
}

}  // namespace
}  // namespace orchidgw::integration
