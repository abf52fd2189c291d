// The program with an operators' file of limits: reloads under load, invalid files, files that are replaced
// while they are read, and the commands that check and explain a file.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

#include "change_log_stand_in.h"
#include "controller_process.h"
#include "front_client.h"
#include "http_stand_in.h"

namespace orchidgw::integration {
namespace {

using Kind = FrontAnswer::Kind;

const std::string kNoLimits = "version: 1\n...\n";

// A file with one route, for class "lookup", with these limits.
std::string limits_for_lookups(const std::string& limits) {
  return "version: 1\nroutes:\n- name: lookups\n  match: {class: lookup}\n" + limits + "...\n";
}

HttpReply serve_soon(const HttpCall& call) {
  HttpReply result;
  if (call.method == "DELETE") {
    result.status = 204;
    return result;
  }
  if (call.method == "POST") std::this_thread::sleep_for(std::chrono::milliseconds(3));
  result.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "5"}, {"X-Needed-Mb", "4"}};
  result.body = "a\tb\tc\n";
  return result;
}

class Limited : public ::testing::Test {
 protected:
  void start(const std::string& limits, HttpStandIn::Script script = serve_soon) {
    for (int i = 0; i < 2; ++i) {
      engines.push_back(std::make_unique<HttpStandIn>(script));
      options.members.push_back(member_json("s-" + std::to_string(i), engines.back()->address()));
    }
    options.change_log = change_log.address();
    options.limits = limits;
    controller = std::make_unique<ControllerProcess>(options);
  }

  // Sends SIGHUP and waits until the reload has ended; returns how many reloads have failed so far.
  long reload() {
    controller->signal(SIGHUP);
    EXPECT_TRUE(controller->wait_for_counter("config.reloads", ++reloads));
    return controller->counters()["config.reloads_failed"];
  }

  long attempts_seen() const {
    long n = 0;
    for (const auto& engine : engines) n += engine->count("POST");
    return n;
  }

  ChangeLogStandIn change_log;
  std::vector<std::unique_ptr<HttpStandIn>> engines;
  ControllerOptions options;
  std::unique_ptr<ControllerProcess> controller;
  long reloads = 0;
};

// 50 reloads, a third of them with an invalid file, while four clients send queries: each query has to get
// one answer, and the engines and clients have to count the same as the controller.
TEST_F(Limited, FiftyReloadsUnderLoadLoseAndDoubleNothing) {
  constexpr int kClients = 4;
  constexpr int kQueries = 250;
  start(limits_for_lookups("  concurrency: 3\n"));
  std::atomic<long> served{0}, refused{0}, failed{0}, others{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&] {
      FrontClient client(controller->address());
      for (std::int32_t n = 1; n <= kQueries; ++n) {
        client.invoke(n);
        const FrontAnswer answer = client.receive();
        const bool in_sequence = answer.sequence == n;
        ++(!in_sequence                    ? others
           : answer.kind == Kind::kServed  ? served
           : answer.kind == Kind::kRefused ? refused
           : answer.kind == Kind::kFailed  ? failed
                                           : others);
      }
    });
  }
  const std::vector<std::string> files = {
      limits_for_lookups("  concurrency: 2\n  longest_hold: 40ms\n"), limits_for_lookups("  concurrncy: 2\n"),
      limits_for_lookups("  rate: {per_second: 300, burst: 20}\n  attempts: 1\n")};
  long bad_files = 0;
  for (int i = 0; i < 50; ++i) {
    bad_files += i % 3 == 1 ? 1 : 0;
    controller->replace_limits(files[static_cast<std::size_t>(i % 3)]);
    EXPECT_EQ(reload(), bad_files);
  }
  for (auto& client : clients) client.join();
  EXPECT_EQ(others, 0);
  EXPECT_EQ(served + refused + failed, kClients * kQueries);
  EXPECT_GT(served, 0);
  EXPECT_TRUE(controller->wait_for_counter("queries.open", 0));
  EXPECT_TRUE(controller->wait_for_counter("connections.engines", 0));
  auto counters = controller->counters();
  EXPECT_EQ(counters["queries.taken"], kClients * kQueries);
  EXPECT_EQ(counters["queries.served"], served);
  EXPECT_EQ(counters["queries.refused"], refused);
  EXPECT_EQ(counters["queries.failed"], failed);
  EXPECT_EQ(counters["queries.waiting"], 0);
  EXPECT_EQ(counters["attempts.sent"], attempts_seen());
  std::set<std::string> ids;
  for (const auto& engine : engines) {
    for (const HttpCall& call : engine->calls()) {
      if (call.method != "POST") continue;
      EXPECT_TRUE(ids.insert(call.headers.at("Call-Id")).second);
    }
  }
}

TEST_F(Limited, ABadFileNamesEachFaultAndTheOldOneStays) {
  start(limits_for_lookups("  attempts: 1\n"), [](const HttpCall&) {
    HttpReply result;
    result.status = 500;
    return result;
  });
  controller->replace_limits(limits_for_lookups("  timeout: 1\n  attempts: 9\n"));
  EXPECT_EQ(reload(), 1);
  EXPECT_TRUE(
      controller->wait_for_line("limits.yaml:5:12: routes[0].timeout: a time with its unit is wanted, like "
                                "250ms, 2s or 5m, an hour at most"));
  controller->replace_limits(limits_for_lookups("  attempts: 9\n"));
  EXPECT_EQ(reload(), 2);
  EXPECT_TRUE(
      controller->wait_for_line("limits.yaml:5:13: routes[0].attempts: over the settings' most of 3"));
  FrontClient client(controller->address());
  client.invoke(1);
  EXPECT_EQ(client.receive().kind, Kind::kRefused);
  EXPECT_EQ(attempts_seen(), 1);
}

TEST_F(Limited, AFileWrittenInPlaceIsTakenWholeOrNotAtAll) {
  start(kNoLimits);
  const std::string valid_file = limits_for_lookups("  attempts: 1\n");
  controller->write_limits(valid_file.substr(0, valid_file.size() / 2));
  EXPECT_EQ(reload(), 1);
  controller->write_limits(valid_file);
  EXPECT_EQ(reload(), 1);
}

TEST_F(Limited, AReloadInAStopIsTakenAndTheStopGoesOn) {
  start(limits_for_lookups("  concurrency: 1\n"), [](const HttpCall& call) {
    if (call.method == "POST") std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return serve_soon(call);
  });
  FrontClient client(controller->address());
  for (std::int32_t n = 1; n <= 3; ++n) client.invoke(n);
  ASSERT_TRUE(controller->wait_for_counter("queries.taken", 3));
  controller->signal(SIGTERM);
  ASSERT_TRUE(controller->wait_for_line("asked to stop"));
  controller->replace_limits(limits_for_lookups("  concurrency: 9\n"));
  EXPECT_EQ(reload(), 0);
  for (int n = 0; n < 3; ++n) EXPECT_EQ(client.receive().kind, Kind::kServed);
  client.close();
  EXPECT_EQ(controller->wait_exit(), 0);
}

// Signals that arrive while a file is read merge into one: the last file still has to be the active one.
TEST_F(Limited, ReloadsOnTopOfEachOtherAndOfADrainEndWithTheLastFile) {
  start(kNoLimits, [](const HttpCall&) {
    HttpReply result;
    result.status = 500;
    return result;
  });
  for (int i = 0; i < 20; ++i) {
    controller->replace_limits(i % 2 == 0 ? limits_for_lookups("  attempts: 3\n") : "version: 1\n");
    controller->signal(SIGHUP);
    if (i == 10) change_log.publish(member_json("s-1", engines[1]->address(), "terminating"));
  }
  controller->replace_limits(limits_for_lookups("  attempts: 1\n"));
  controller->signal(SIGHUP);
  ASSERT_TRUE(controller->wait_for_counter("list.changes", 2));
  controller->signal(SIGHUP);
  ASSERT_TRUE(controller->wait_for_counter("queries.open", 0));
  FrontClient client(controller->address());
  client.invoke(1);
  EXPECT_EQ(client.receive().kind, Kind::kRefused);
  EXPECT_EQ(attempts_seen(), 1);
  EXPECT_EQ(engines[1]->count("POST"), 0);
}

TEST_F(Limited, ABadFileAtTheStartEndsItWithEveryFault) {
  start(kNoLimits);
  ControllerProcess second({{"BALANCER_CONFIG", controller->config_path()}},
                           {"--limits", "/nowhere/limits.yaml"});
  EXPECT_EQ(second.wait_exit(), 1);
  EXPECT_TRUE(second.wait_for_line("orchidgw: /nowhere/limits.yaml: No such file or directory"));
}

TEST_F(Limited, CheckSaysGoodOrEveryFault) {
  start(limits_for_lookups("  attempts: 2\n"));
  const std::map<std::string, std::string> environment = {{"BALANCER_CONFIG", controller->config_path()}};
  ControllerProcess good(environment, {"check", "--limits", controller->limits_path()});
  EXPECT_EQ(good.wait_exit(), 0);
  EXPECT_TRUE(good.wait_for_line("good: 1 routes and the defaults"));
  controller->replace_limits(limits_for_lookups("  attempts: 0\n  timeout: 61s\n"));
  ControllerProcess bad(environment, {"check", "--limits", controller->limits_path()});
  EXPECT_EQ(bad.wait_exit(), 1);
  EXPECT_TRUE(bad.wait_for_line(":5:13: routes[0].attempts: a whole number from 1 to 100 is wanted"));
  ControllerProcess usage(environment, {"chekc"});
  EXPECT_EQ(usage.wait_exit(), 2);
}

TEST_F(Limited, ExplainNamesWhatSetEachLimit) {
  start(limits_for_lookups("  attempts: 2\n  timeout: 2s\n"));
  ControllerProcess explain({{"BALANCER_CONFIG", controller->config_path()}},
                            {"explain", "--limits", controller->limits_path(), "--class", "lookup"});
  EXPECT_EQ(explain.wait_exit(), 0);
  EXPECT_TRUE(explain.wait_for_line("route: lookups"));
  const std::string explanation = explain.log();
  EXPECT_NE(explanation.find("file, line 6, for route 'lookups'"), std::string::npos) << explanation;
  EXPECT_NE(explanation.find("settings: policyLimits.secondCopies"), std::string::npos) << explanation;
}

// The sample files are the first that a new user tries: they have to pass the program's own check.
TEST_F(Limited, TheSampleIsGood) {
  start(kNoLimits);
  std::ostringstream text;
  text << std::ifstream(ORCHIDGW_SAMPLE "/config.json").rdbuf();
  const std::string config = std::regex_replace(text.str(), std::regex("@[A-Z0-9]+@"), "127.0.0.1:7001");
  controller->configure(config);
  ControllerProcess check({{"BALANCER_CONFIG", controller->config_path()}},
                          {"check", "--limits", ORCHIDGW_SAMPLE "/limits.yaml"});
  EXPECT_EQ(check.wait_exit(), 0);
  EXPECT_TRUE(check.wait_for_line("good: 4 routes and the defaults")) << check.log();
}

// Guards against an event loop that blocks because nobody reads the program's log.
TEST_F(Limited, NobodyReadsTheLogAndItServesAllTheSame) {
  options.arguments = {"--log-level", "debug", "--log-format", "json"};
  start(kNoLimits);
  controller->pause_log_reading();
  FrontClient client(controller->address());
  constexpr std::int32_t kQueries = 900;  // they log more than the pipe and the controller can buffer
  for (std::int32_t n = 1; n <= kQueries; ++n) {
    client.invoke(n);
    ASSERT_EQ(client.receive().kind, Kind::kServed) << n;
  }
  controller->resume_log_reading();
  // Counters requested before the buffered lines have been read would be dropped like any other line, and the
  // test would wait for them in vain.
  ASSERT_TRUE(controller->wait_for_line("lines dropped: nobody read them"));
  EXPECT_TRUE(controller->wait_for_counter("queries.served", kQueries));
}

}  // namespace
}  // namespace orchidgw::integration
