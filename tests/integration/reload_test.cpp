// The program reloads its files on SIGHUP, each by itself: a bad file of one hand, or a system call that
// fails for it, keeps no good file of another from being taken over (issue 67, review/9).
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <sstream>

#include "faults/fault_switch.h"
#include "front_client.h"
#include "net/admin_socket.h"
#include "running_fixture.h"

namespace orchidgw::integration {
namespace {

using Kind = FrontAnswer::Kind;

constexpr std::uint32_t kEveryCall = 1'000'000;

const std::string kNoLimits = "version: 1\n...\n";

// Refuses each lookup: its route admits none.
const std::string kNoLookups =
    "version: 1\nroutes:\n- name: lookups\n  match: {class: lookup}\n  rate: {per_second: 0.001, burst: 1}\n"
    "  line: 0\n...\n";
const std::string kMisspelt =
    "version: 1\nroutes:\n- name: r\n  match: {class: lookup}\n  concurency: 9\n...\n";

class Reloaded : public RunningFixture {
 protected:
  Reloaded() { options.environment = faults.environment(); }

  void start_with(const std::string& limits) {
    add_engine(serve_all);
    add_engine(serve_all);
    options.limits = limits;
    options.arguments = {"--admin", admin_path};
    start();
  }

  // Names the other change log in the configuration.
  void move_change_log() {
    options.change_log = moved.address();
    controller->configure(options);
  }

  void reload() {
    controller->signal(SIGHUP);
    ASSERT_TRUE(controller->wait_for_counter("config.reloads", ++reloads));
  }

  Kind ask() {
    FrontClient client(controller->address());
    client.invoke(1);
    return client.receive().kind;
  }

  std::string status() const { return net::ask_admin(admin_path, "status\n"); }

  std::string admin_path = "/tmp/orchidgw-reload-admin-" + std::to_string(::getpid());
  faults::FaultInjector faults;
  ChangeLogStandIn moved;  // the change log at its next address
  long reloads = 0;
};

// Guards against work for engines that drain: the change log's new address was in the platform's good file,
// and a misspelt field in the operators' file kept it from being called (review/9).
TEST_F(Reloaded, ADrainAtTheNewChangeLogIsHeardWhereTheOperatorsFileIsBad) {
  start_with(kNoLookups);
  ASSERT_EQ(ask(), Kind::kServed);   // takes the one token
  ASSERT_EQ(ask(), Kind::kRefused);  // by the limits that stay in force
  controller->replace_limits(kMisspelt);
  move_change_log();
  reload();
  ASSERT_TRUE(moved.server().wait_for("GET", "/changes?since=1&"));
  moved.publish(member_json("s-0", engines[0]->address(), "terminating"));
  ASSERT_TRUE(controller->wait_for_counter("list.changes", 2));
  EXPECT_EQ(ask(), Kind::kRefused);
  controller->replace_limits(kNoLimits);
  reload();
  const long before = engines[0]->count("POST");
  for (int i = 0; i < 6; ++i) EXPECT_EQ(ask(), Kind::kServed);
  EXPECT_EQ(engines[0]->count("POST"), before);
}

TEST_F(Reloaded, TheOperatorsFileIsTakenOverWhereThePlatformsIsBad) {
  start_with(kNoLimits);
  ASSERT_EQ(ask(), Kind::kServed);
  controller->configure("{\"changelog\":\"127.0.0.1:1\",");
  controller->replace_limits(kNoLookups);
  reload();
  EXPECT_EQ(ask(), Kind::kServed);
  EXPECT_EQ(ask(), Kind::kRefused);
  change_log.publish(member_json("s-0", engines[0]->address(), "terminating"));
  EXPECT_TRUE(controller->wait_for_counter("list.changes", 2));  // from the address that stays in force
  EXPECT_TRUE(controller->wait_for_line("configuration not taken over: " + controller->config_path() +
                                        ": field 'BALANCER_CONFIG': a JSON object is needed"));
}

TEST_F(Reloaded, StatusAndAMetricShowWhichFileIsRefusedAndSinceWhen) {
  start_with(kNoLimits);
  EXPECT_NE(status().find("file operators in_force " + controller->limits_path()), std::string::npos);
  controller->replace_limits(kMisspelt);
  reload();
  EXPECT_TRUE(controller->wait_for_line("configuration not taken over: " + controller->limits_path() +
                                        ":5:3: routes[0].concurency: unknown field"));
  const std::string refused = status();
  EXPECT_NE(refused.find("file platform in_force " + controller->config_path()), std::string::npos)
      << refused;
  EXPECT_NE(refused.find("file operators refused since 20"), std::string::npos) << refused;
  EXPECT_NE(refused.find(" s: " + controller->limits_path() + ":5:3: routes[0].concurency: unknown field\n"),
            std::string::npos)
      << refused;
  auto counters = controller->counters();
  EXPECT_EQ(counters.at("config.refused.operators"), 1);
  EXPECT_EQ(counters.at("config.refused.platform"), 0);
  EXPECT_EQ(counters.at("config.refused.fleet"), 0);
  EXPECT_EQ(counters.at("config.reloads_failed"), 1);
  EXPECT_TRUE(controller->wait_for_line("counter config.refused.operators 1 since_unix_s "));
  controller->replace_limits(kNoLimits);
  reload();
  EXPECT_EQ(controller->counters().at("config.refused.operators"), 0);
  EXPECT_NE(status().find("file operators in_force " + controller->limits_path()), std::string::npos);
}

// Guards against a reload that stops the event loop: opening a named pipe waits for a writer.
TEST_F(Reloaded, ANamedPipeInPlaceOfTheConfigurationHoldsUpNothing) {
  start_with(kNoLimits);
  std::filesystem::remove(controller->config_path());
  ASSERT_EQ(::mkfifo(controller->config_path().c_str(), S_IRUSR | S_IWUSR), 0);
  controller->replace_limits(kNoLookups);
  reload();
  EXPECT_EQ(ask(), Kind::kServed);
  EXPECT_EQ(ask(), Kind::kRefused);
}

// Each of the files can't be opened for a moment; the parameter is the end of its path.
class OpenFailsForOne : public Reloaded, public ::testing::WithParamInterface<const char*> {};

TEST_P(OpenFailsForOne, TheOtherIsTakenOverAtOnceAndThatOneALittleLater) {
  const bool platform_fails = std::string(GetParam()) == "config.json";
  start_with(kNoLimits);
  faults.set_open_path_end(GetParam());
  faults.set_rate(faults::CallFault::kOpenFails, kEveryCall);
  controller->replace_limits(kNoLookups);
  move_change_log();
  reload();
  ASSERT_TRUE(controller->wait_for_line("configuration not taken over: "));
  if (platform_fails) {
    EXPECT_EQ(ask(), Kind::kServed);
    EXPECT_EQ(ask(), Kind::kRefused);
    EXPECT_EQ(moved.server().count("GET"), 0);
  } else {
    EXPECT_TRUE(moved.server().wait_for("GET", "/changes?since=1&"));
    EXPECT_EQ(ask(), Kind::kServed);
    EXPECT_EQ(ask(), Kind::kServed);
  }
  faults.clear_rates();
  if (platform_fails) {
    EXPECT_TRUE(moved.server().wait_for("GET", "/changes?since=1&"));
  } else {
    ASSERT_TRUE(controller->wait_for_line("limits in force component=limits routes=1"));
    EXPECT_EQ(ask(), Kind::kServed);
    EXPECT_EQ(ask(), Kind::kRefused);
  }
  EXPECT_TRUE(controller->wait_for_counter("config.refused.platform", 0));
  EXPECT_TRUE(controller->wait_for_counter("config.refused.operators", 0));
  EXPECT_EQ(controller->counters().at("config.reloads"), 1) << "only a signal counts";
}

INSTANTIATE_TEST_SUITE_P(Files, OpenFailsForOne, ::testing::Values("config.json", "limits.yaml"),
                         [](const auto& tested) {
                           return std::string(tested.param).substr(0, std::string(tested.param).find('.'));
                         });

}  // namespace
}  // namespace orchidgw::integration
