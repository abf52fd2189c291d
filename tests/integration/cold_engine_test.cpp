// Rule 4 for the sum of many controllers: an engine in slow start must not get more than its budget from all
// of them together. One stand-in engine that has just started records what they send it, with uneven traffic,
// retries, and controllers that started before it and after it.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <mutex>
#include <thread>

#include "change_log_stand_in.h"
#include "controller_process.h"
#include "faults/fault_switch.h"
#include "front_client.h"
#include "http_stand_in.h"

namespace orchidgw::integration {
namespace {

using Clock = std::chrono::system_clock;
using namespace std::chrono_literals;

constexpr double kCores = 8, kSlowStartInitialCapacity = 0.3, kSlowStartS = 20, kOverloadMultiple = 2,
                 kWindowS = 1, kWorkS = 0.2;
constexpr auto kTrafficTime = 5s;
constexpr const char* kStepHourAhead = "3600000000@0";
constexpr const char* kStepHourBehind = "-3600000000@0";

std::string settings_of(int processes, int self) {
  return R"({"balancers":)" + std::to_string(processes) + R"(,"me":)" + std::to_string(self) +
         R"(,"myZone":"z","classes":[{"name":"lookup","aim":30000000,"deadline":60000000,)"
         R"("effect":"idempotent","value":1}],"domain":{"dop":[1],"sizeCores":[8],"kindMemoryMb":[16384],)"
         R"("bills":true},"shapes":["std"],"policyLimits":{"maxAttempts":3,"cancel":true,"retryAfter":true,)"
         R"("maxRetryAfter":500000,"connectTimeout":250000},"rules":{"stopSendingWithin":1000000,)"
         R"("coldFrom":0.3,"cold":20000000,"fallMultiple":2,"tipAfter":1000000},)"
         R"("tenants":[{"name":"acme","portion":1,"quotaPerS":100}]})";
}

HttpReply served() {
  HttpReply reply;
  reply.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "200"}, {"X-Needed-Mb", "4"}};
  reply.body = "a\tb\tc\n";
  return reply;
}

HttpReply not_begun() {
  HttpReply reply;
  reply.status = 503;
  reply.headers = {{"Not-Begun", "1"}};
  return reply;
}

class ColdEngine : public ::testing::TestWithParam<int> {
 protected:
  // Runs GetParam() controllers; with wrong clocks, two thirds of them are an hour ahead or behind.
  void expect_sum_within_budget(bool wrong_clocks);

  // How many calls, each of kWorkS, the settings allow the engine within kWindowS at that age.
  double budget(double age_s) const {
    const double slow_start_progress = std::clamp(age_s / kSlowStartS, 0.0, 1.0);
    return kOverloadMultiple * kCores *
           (kSlowStartInitialCapacity + (1 - kSlowStartInitialCapacity) * slow_start_progress) * kWindowS /
           kWorkS;
  }

  std::mutex mutex;
  std::vector<double> arrivals;  // of calls at the engine in slow start, seconds after its start
  Clock::time_point started;
};

void ColdEngine::expect_sum_within_budget(bool wrong_clocks) {
  const int processes = GetParam();
  HttpStandIn starting_engine([this](const HttpCall& call) {
    if (call.method == "POST") {
      const std::lock_guard lock(mutex);
      arrivals.push_back(std::chrono::duration<double>(Clock::now() - started).count());
    }
    return served();
  });
  std::atomic<int> posts{0};
  const auto warm_script = [&posts](const HttpCall& call) {
    return call.method == "POST" && ++posts % 5 == 0 ? not_begun() : served();
  };
  HttpStandIn first(warm_script);
  HttpStandIn second(warm_script);
  ChangeLogStandIn log;
  ControllerOptions options;
  options.change_log = log.address();
  options.members = {member_json("s-1", first.address()), member_json("s-2", second.address())};
  std::vector<std::unique_ptr<ControllerProcess>> controllers;
  const auto start_controller = [&] {
    const int self = static_cast<int>(controllers.size());
    options.name = "n" + std::to_string(self);
    options.settings = settings_of(processes, self);
    options.environment.clear();
    if (wrong_clocks && self % 3 != 0) {
      options.environment = faults::preload_environment();
      options.environment[faults::kWallStepVariable] = self % 3 == 1 ? kStepHourAhead : kStepHourBehind;
    }
    controllers.push_back(std::make_unique<ControllerProcess>(options));
  };
  for (int i = 0; i < processes / 2; ++i) start_controller();
  started = Clock::now();
  const long started_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(started.time_since_epoch()).count();
  const std::string starting_member = member_json("s-0", starting_engine.address(), "in_service", started_ms);
  log.publish(starting_member);                // for the controllers that run already
  options.members.push_back(starting_member);  // the ones that start later have it in their configuration
  while (static_cast<int>(controllers.size()) < processes) start_controller();
  for (const auto& controller : controllers) ASSERT_TRUE(controller->wait_for_counter("list.changes", 2));

  std::atomic<int> answered{0};
  const auto traffic_end = Clock::now() + kTrafficTime;
  std::vector<std::thread> clients;
  for (int i = 0; i < processes; ++i) {
    clients.emplace_back([&, i] {
      FrontClient client(controllers[static_cast<std::size_t>(i)]->address());
      const auto pause = i % 10 == 0 ? 5ms : 100ms;  // every tenth controller gets twenty times the traffic
      for (int tag = 1; Clock::now() < traffic_end; ++tag) {
        client.invoke(tag, {{"effort", "200.0"}},
                      "select * from sales_" + std::to_string((tag + i) % 17) + ".orders");
        answered += client.receive().kind == FrontAnswer::Kind::kClosed ? 0 : 1;
        std::this_thread::sleep_for(pause);
      }
    });
  }
  for (auto& client : clients) client.join();

  std::sort(arrivals.begin(), arrivals.end());
  ASSERT_FALSE(arrivals.empty()) << "no controller sent it anything: the test shows nothing";
  EXPECT_GT(answered, 20 * processes);
  double worst = 0;
  for (std::size_t from = 0, to = 0; to < arrivals.size(); ++to) {
    while (arrivals[from] <= arrivals[to] - kWindowS) ++from;
    const double allowed = budget(arrivals[to]);
    const double bound = allowed + 2 * std::sqrt(allowed) + 2;
    const auto sent = static_cast<double>(to - from + 1);
    worst = std::max(worst, sent / allowed);
    ASSERT_LE(sent, bound) << "of " << allowed << " after " << arrivals[to] << " s";
  }
  RecordProperty("worst_of_budget", std::to_string(worst));
  RecordProperty("sent", static_cast<int>(arrivals.size()));
}

TEST_P(ColdEngine, TheSumOfAllProcessesStaysWithinItsBudget) { expect_sum_within_budget(false); }

TEST_P(ColdEngine, TheSumStaysWithinItsBudgetWhereWallClocksAreAnHourWrong) {
  expect_sum_within_budget(true);
}

INSTANTIATE_TEST_SUITE_P(Processes, ColdEngine, ::testing::Values(20, 30));

}  // namespace
}  // namespace orchidgw::integration
