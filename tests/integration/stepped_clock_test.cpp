// A controller whose wall clock is stepped, and attempts whose time runs out before they are sent (incident
// 39, docs/incidents/stepped-clock.md): retries, answers and sends have to follow elapsed time, not the wall
// clock.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

#include "faults/fault_switch.h"
#include "front_client.h"
#include "running_fixture.h"

namespace orchidgw::integration {
namespace {

using Clock = std::chrono::steady_clock;
using Kind = FrontAnswer::Kind;
using std::chrono::milliseconds;

constexpr std::int64_t kSecondUs = 1'000'000;
constexpr std::int64_t kHourUs = 3600 * kSecondUs;
constexpr milliseconds kRepeatWindow{1500};
constexpr milliseconds kPollHold{100};

// A class that every engine deduplicates for 1.5 s, and an idempotent one.
constexpr const char* kSettings =
    R"({"balancers":1,"me":0,"myZone":"z","classes":[)"
    R"({"name":"load","aim":8000000,"deadline":10000000,"effect":"deduplicated","keyScope":"all",)"
    R"("repeatWindow":1500000,"value":1},)"
    R"({"name":"lookup","aim":600000,"deadline":10000000,"effect":"idempotent","value":1}],)"
    R"("domain":{"dop":[1,1],"sizeCores":[8],"kindMemoryMb":[16384],"bills":true},"shapes":["std"],)"
    R"("policyLimits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfter":500000,)"
    R"("connectTimeout":3000000},"rules":{"stopSendingWithin":1000000},)"
    R"("tenants":[{"name":"acme","portion":1,"quotaPerS":100}]})";

HttpReply pending_after_hold() {
  std::this_thread::sleep_for(kPollHold);
  return reply(202);
}

std::map<std::string, std::string> load(const std::string& wait_ms, const std::string& effort_ms) {
  return {{"service", "load"},
          {"replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"},
          {"allow", wait_ms},
          {"effort", effort_ms}};
}

class SteppedClock : public RunningFixture {
 protected:
  void start_with_faults() {
    options.settings = kSettings;
    options.environment = faults.environment();
    start();
  }

  void TearDown() override {
    controller.reset();
    engines.clear();  // their scripts use the members below
  }

  std::atomic<bool> window_is_over{false};
  std::atomic<int> lookups_to_serve{0};
  std::mutex mutex;
  std::vector<Clock::time_point> starts_of_load;
  faults::FaultInjector faults;
};

// The incident: after the repeat window has ended, the engine ends the attempt with an error that does not
// say whether the query took effect.
TEST_F(SteppedClock, AKeyedQueryIsNotRepeatedAfterItsWindowThoughTheWallClockWentBack) {
  HttpStandIn& only_engine = add_engine([this](const HttpCall& call) {
    if (call.method == "DELETE") return reply(204);
    return window_is_over ? reply(500) : pending_after_hold();
  });
  start_with_faults();
  FrontClient client(controller->address());
  client.invoke(1, load("8000", "2500"));
  ASSERT_TRUE(only_engine.wait_for("POST", "/v2/q"));
  faults.step_wall_clock(-kHourUs);
  std::this_thread::sleep_for(kRepeatWindow + milliseconds(300));
  window_is_over = true;
  // Refused, not failed: every engine drops a repeat, so a retry by the client is harmless.
  EXPECT_EQ(client.receive().kind, Kind::kRefused);
  EXPECT_EQ(only_engine.count("POST"), 1);
}

TEST_F(SteppedClock, AnAnswerIsGivenByTheDeadlineThoughTheWallClockWentBack) {
  HttpStandIn& only_engine = add_engine(
      [](const HttpCall& call) { return call.method == "DELETE" ? reply(204) : pending_after_hold(); });
  start_with_faults();
  FrontClient client(controller->address());
  const auto sent_at = Clock::now();
  client.invoke(1, load("1000", "2500"));
  ASSERT_TRUE(only_engine.wait_for("POST", "/v2/q"));
  faults.step_wall_clock(-3 * kSecondUs);
  EXPECT_EQ(client.receive().kind, Kind::kRefused);
  EXPECT_LT(Clock::now() - sent_at, milliseconds(1300));
}

// The event loop's wait is interrupted while the wall clock goes back. The change log refuses connections and
// the engine is silent, so that only timers wake the loop up.
TEST_F(SteppedClock, TimersFireThoughTheLoopsWaitIsInterruptedAsTheWallClockGoesBack) {
  HttpStandIn& only_engine = add_engine([](const HttpCall&) {
    HttpReply silent;
    silent.behavior = HttpReply::Behavior::kSilent;
    return silent;
  });
  options.change_log = "127.0.0.1:2";  // nobody listens there
  start_with_faults();
  FrontClient client(controller->address());
  const auto sent_at = Clock::now();
  client.invoke(1, load("1500", "2500"));
  ASSERT_TRUE(only_engine.wait_for("POST", "/v2/q"));
  for (int i = 0; i < 10; ++i) {
    controller->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(10));
    faults.step_wall_clock(-30 * kSecondUs);
    controller->signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(50));
  }
  EXPECT_NE(client.receive().kind, Kind::kClosed);
  EXPECT_LT(Clock::now() - sent_at, milliseconds(1800));
}

// The repeat window ends while the repeat waits for a descriptor: all descriptors for attempts are in use,
// and one more query is queued before it. A start waits for 0.35 s at the most. No clock is stepped.
TEST_F(SteppedClock, ARepeatThatGetsItsConnectionAfterItsWindowIsNotSent) {
  constexpr int kSockets = 32;
  constexpr int kStartsAtOnce = 12;
  constexpr const char* kEffortOverdueAfter1300Ms = "325";  // ms, a fourth of that time
  const auto script = [this](const HttpCall& call) {
    const auto kind = call.headers.find("Call-Kind");
    if (kind != call.headers.end() && kind->second == "load") {
      const std::lock_guard lock(mutex);
      starts_of_load.push_back(Clock::now());
    }
    if (call.method == "DELETE") return reply(204);
    const bool is_load = call.path.find("00000001/") != std::string::npos;
    if (call.method == "GET" && !is_load && lookups_to_serve-- > 0) return served("a\tb\tc\n");
    return call.method == "GET" ? pending_after_hold() : reply(202);
  };
  HttpStandIn& first = add_engine(script);
  HttpStandIn second(script);
  options.sockets = kSockets;
  start_with_faults();
  FrontClient client(controller->address());
  client.invoke(1, load("8000", kEffortOverdueAfter1300Ms));
  ASSERT_TRUE(first.wait_for("POST", "/v2/q"));
  const auto sent = Clock::now();
  change_log.publish(member_json("s-second", second.address()));
  ASSERT_TRUE(controller->wait_for_counter("list.changes", 2));
  const auto lookup = [&](int tag) { client.invoke(tag, {{"allow", "8000"}, {"effort", "2500"}}); };
  for (int tag = 2; tag <= kStartsAtOnce; ++tag) lookup(tag);
  std::this_thread::sleep_until(sent + milliseconds(1200));
  lookup(kStartsAtOnce + 1);
  ASSERT_TRUE(first.wait_for("DELETE", client.reference_of(1)));
  std::this_thread::sleep_until(sent + kRepeatWindow + milliseconds(50));
  EXPECT_EQ(controller->counters()["attempts.sent"], kStartsAtOnce + 2) << "the repeat was not asked for";
  lookups_to_serve = 2;
  FrontAnswer answer;
  do {
    answer = client.receive();
  } while (answer.kind != Kind::kClosed && answer.sequence != 1);
  EXPECT_EQ(answer.kind, Kind::kRefused);
  const std::lock_guard lock(mutex);
  EXPECT_EQ(starts_of_load.size(), 1U) << "sent after its window";
  for (const auto& started_at : starts_of_load) EXPECT_LT(started_at - starts_of_load.front(), kRepeatWindow);
}

}  // namespace
}  // namespace orchidgw::integration
