// At-most-once queries over kills of a real process. Engines record each start by its reference; the client
// sends again every query that was not answered. Guards against a restarted controller that sends a query
// again which the killed process had sent.
#include <gtest/gtest.h>
#include <signal.h>

#include <condition_variable>
#include <filesystem>
#include <memory>
#include <set>

#include "controller_process.h"
#include "front_client.h"
#include "http_stand_in.h"

namespace orchidgw::integration {
namespace {

class Keys : public ::testing::Test {
 protected:
  Keys() : engine([this](const HttpCall& call) { return serve(call); }) {
    std::string path = (std::filesystem::temp_directory_path() / "orchidgw-keys-XXXXXX").string();
    EXPECT_NE(mkdtemp(path.data()), nullptr);
    folder = path;
  }
  ~Keys() override {
    controller.reset();
    release_engine();
    std::filesystem::remove_all(folder);
  }

  HttpReply serve(const HttpCall& call) {
    HttpReply reply;
    if (call.method != "POST") {
      reply.status = 204;
      return reply;
    }
    std::unique_lock lock(mutex);
    ++starts[call.headers.at("Call-Id")];
    ++all_starts;
    changed.notify_all();
    changed.wait(lock, [this] { return !engine_held; });
    reply.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "1"}, {"X-Needed-Mb", "1"}};
    reply.body = "a\tb\tc\n";
    return reply;
  }
  void release_engine() {
    const std::lock_guard lock(mutex);
    engine_held = false;
    changed.notify_all();
  }
  void start() {
    ControllerOptions options;
    options.members = {member_json("s-0", engine.address())};
    options.arguments = {"--intents", folder};
    controller = std::make_unique<ControllerProcess>(options);
  }
  void kill() {
    controller->signal(SIGKILL);
    controller->wait_exit();
  }
  int starts_of(const std::string& reference) {
    const std::lock_guard lock(mutex);
    const auto it = starts.find(reference);
    return it == starts.end() ? 0 : it->second;
  }
  // Sends an at-most-once query.
  static void ask(FrontClient& client, std::int32_t tag, const std::string& reference) {
    client.invoke(tag, {{"service", "once"}, {"ref", reference}});
  }

  std::string folder;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, int> starts;  // by reference
  int all_starts = 0;
  bool engine_held = false;
  HttpStandIn engine;
  std::unique_ptr<ControllerProcess> controller;
};

TEST_F(Keys, WhatWasSentBeforeAKillIsNotSentAgainAndSaysSoAtOnce) {
  engine_held = true;
  start();
  {
    FrontClient client(controller->address());
    ask(client, 1, "00000000000000a1");
    std::unique_lock lock(mutex);
    ASSERT_TRUE(changed.wait_for(lock, std::chrono::seconds(20), [this] { return all_starts == 1; }))
        << controller->log();
  }
  kill();
  release_engine();
  start();
  ASSERT_TRUE(controller->wait_for_line("intents are kept"));
  FrontClient client(controller->address());
  ask(client, 1, "00000000000000a1");
  EXPECT_EQ(client.receive().kind,
            FrontAnswer::Kind::kFailed);  // not a refusal, which would say that a retry is harmless
  ask(client, 2, "00000000000000a2");
  EXPECT_EQ(client.receive().kind, FrontAnswer::Kind::kServed);
  client.invoke(3);  // safe to repeat, so not affected
  EXPECT_EQ(client.receive().kind, FrontAnswer::Kind::kServed);
  EXPECT_EQ(starts_of("00000000000000a1"), 1);
}

// A hundred kills, each after another number of answers; every query without an answer is sent again after
// each restart, without limit.
TEST_F(Keys, NothingRunsTwiceOverAHundredKills) {
  constexpr int kKills = 100;
  constexpr int kInFlight = 8;
  std::set<std::string> unanswered;
  std::set<std::string> served;
  int failed = 0;
  long next = 0;
  for (int n = 0; n < kKills; ++n) {
    start();
    FrontClient client(controller->address());
    std::map<std::int32_t, std::string> asked;
    while (unanswered.size() < kInFlight) unanswered.insert(std::to_string(1'000'000'000'000'000 + ++next));
    std::int32_t tag = 0;
    for (const std::string& reference : unanswered) {
      asked[++tag] = reference;
      ask(client, tag, reference);
    }
    // Kills after n % 8 answers, whatever is still in flight.
    for (int answers = n % kInFlight; answers > 0; --answers) {
      const FrontAnswer answer = client.receive();
      ASSERT_NE(answer.kind, FrontAnswer::Kind::kClosed);
      const std::string reference = asked.at(answer.sequence);
      if (answer.kind == FrontAnswer::Kind::kServed) served.insert(reference);
      if (answer.kind == FrontAnswer::Kind::kFailed) ++failed;
      if (answer.kind != FrontAnswer::Kind::kRefused) unanswered.erase(reference);
    }
    kill();
  }
  for (const auto& [reference, count] : starts) EXPECT_EQ(count, 1) << reference;
  for (const std::string& reference : served) EXPECT_EQ(starts_of(reference), 1) << reference;
  EXPECT_GT(served.size(), 50U);
  EXPECT_GT(failed, 20);
}

TEST_F(Keys, AFolderThatCannotBeUsedEndsTheStartWithALine) {
  start();
  ControllerProcess bad({{"BALANCER_CONFIG", controller->config_path()}, {"BALANCER_LISTEN", free_address()}},
                        {"--intents", folder + "/nowhere"});
  EXPECT_EQ(bad.wait_exit(), 1);
  bad.join_log_reader();
  EXPECT_NE(bad.log().find("orchidgw: " + folder + "/nowhere: No such file or directory"), std::string::npos)
      << bad.log();
}

}  // namespace
}  // namespace orchidgw::integration
