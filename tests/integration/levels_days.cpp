// Rough days on real sockets, with and without reduced service levels: the program itself, two stand-in
// engines that run eight queries each at a time, and clients that come at planned times. A measurement, no
// test: `make levels-on-sockets`.
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "change_log_stand_in.h"
#include "controller_process.h"
#include "front_client.h"
#include "http_stand_in.h"

namespace {

using namespace orchidgw::integration;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::duration<double, std::milli>;

constexpr double kDayMs = 24'000, kTroubleFromMs = 5'000, kTroubleToMs = 17'000;
constexpr int kSlots = 8;

struct Kind {
  const char* name;
  double per_second, takes_ms, worth, late_worth, aim_ms;
  int clients;
};
constexpr Kind kKinds[] = {{"lookup", 60, 10, 1, 0.1, 300, 20},
                           {"report", 36, 120, 6, 0.4, 600, 110},
                           {"order-load", 12, 240, 15, 0.6, 1'000, 40}};

struct Day {
  const char* name;
  double reports;  // times the calm rate, in the trouble
  double slower;   // times what queries take, in the trouble
};

// Runs so many at a time; all others wait in turn.
class Engine {
 public:
  Engine(const Day& day, Clock::time_point begun)
      : day_(day), begun_(begun), server_([this](const HttpCall& call) { return answer(call); }) {}
  std::string address() const { return server_.address(); }

 private:
  HttpReply answer(const HttpCall& call) {
    HttpReply r;
    if (call.method != "POST") {
      r.status = call.method == "GET" ? 500 : 204;
      return r;
    }
    double takes = 0;
    for (const Kind& kind : kKinds)
      if (call.headers.at("Call-Kind") == kind.name) takes = kind.takes_ms;
    {
      std::unique_lock lock(mutex_);
      const std::uint64_t turn = last_turn_++;
      changed_.wait(lock, [&] { return running_ < kSlots && turn == next_turn_; });
      ++next_turn_;
      ++running_;
      changed_.notify_all();
    }
    const double at = Ms(Clock::now() - begun_).count();
    const bool trouble = at >= kTroubleFromMs && at < kTroubleToMs;
    std::this_thread::sleep_for(Ms(takes * (trouble ? day_.slower : 1)));
    {
      const std::lock_guard lock(mutex_);
      --running_;
      changed_.notify_all();
    }
    r.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", std::to_string(takes)}, {"X-Needed-Mb", "4"}};
    r.body = "a\tb\tc\n";
    return r;
  }

  const Day& day_;
  Clock::time_point begun_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int running_ = 0;
  std::uint64_t last_turn_ = 0, next_turn_ = 0;
  HttpStandIn server_;
};

const char* const kLevels = R"(version: 1
levels:
  list:
  - name: no-reports
    enter:
      all:
      - {signal: arrivals, class: report, above: 48, for: 500ms, over: 2s}
      - any:
        - {signal: late_share, class: order-load, above: 15%, for: 500ms, over: 2s}
        - {signal: refused_share, class: order-load, above: 10%, for: 500ms, over: 2s}
    leave: {signal: arrivals, class: report, below: 42, for: 1s, over: 2s}
    least_stay: 2s
    effects: {shed: [{class: report, share: 70%}]}
  trial: {parts: [50%], step: 1s, wait: 2s}
  changes: {most: 8, within: 1m}
...
)";

std::string config_of(const std::string& listen, const std::string& change_log, const std::string& members) {
  return R"({"name":"n0","listen":")" + listen +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)" +
         R"("sockets":1024},"changelog":")" + change_log +
         R"(","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,"members":[)" +
         members + R"(]}}]},"settings":{"balancers":1,"me":0,"myZone":"z","shapes":["std"],"classes":[)" +
         R"({"name":"lookup","aim":300000,"aimStretch":2,"deadline":2000000,"effect":"idempotent","value":1,"lateWorth":0.1},)" +
         R"({"name":"report","aim":600000,"aimStretch":2,"deadline":4000000,"effect":"idempotent","value":6,"lateWorth":0.4},)" +
         R"({"name":"order-load","aim":1000000,"aimStretch":2,"deadline":4000000,"effect":"deduplicated","keyScope":"all",)" +
         R"("repeatWindow":12000000,"value":15,"lateWorth":0.6}],"domain":{"dop":[1,1,1],"sizeCores":[8],)" +
         R"("kindMemoryMb":[16384],"bills":true,"grantsCount":true,"lanesCount":true},"policyLimits":{"maxAttempts":3,)" +
         R"("cancel":true,"retryAfter":true,"maxRetryAfter":1000000,"connectTimeout":250000},)" +
         R"("rules":{"stopSendingWithin":1000000,"extraRatio":0.2,"budgetFree":2,"lookBack":10000000},)" +
         R"("tenants":[{"name":"acme","portion":1,"quotaPerS":200}]}})";
}

struct Counts {
  std::atomic<long> asked{0}, in_time{0}, late{0}, refused{0}, other{0};
};

// Sends at planned times, as long as one of its connections is free.
void clients_of(std::size_t k, const Day& day, Clock::time_point begun, const std::string& address,
                Counts& counts, std::vector<std::thread>& threads) {
  const Kind& kind = kKinds[k];
  auto plan = std::make_shared<std::vector<double>>();
  std::mt19937 random(static_cast<unsigned>(k) + 1);
  for (double at = 0; at < kDayMs;) {
    const bool trouble = at >= kTroubleFromMs && at < kTroubleToMs;
    const double rate = kind.per_second * (trouble && k == 1 ? day.reports : 1);
    at += std::exponential_distribution<double>(rate / 1e3)(random);
    plan->push_back(at);
  }
  auto next = std::make_shared<std::atomic<std::size_t>>(0);
  for (int c = 0; c < kind.clients; ++c) {
    threads.emplace_back([&, plan, next] {
      FrontClient client(address);
      for (std::int32_t n = 1;; ++n) {
        const std::size_t i = (*next)++;
        if (i >= plan->size()) return;
        std::this_thread::sleep_until(begun + std::chrono::duration_cast<Clock::duration>(Ms((*plan)[i])));
        client.invoke(n, {{"service", kind.name},
                          {"allow", k == 0 ? "2000" : "4000"},
                          {"effort", std::to_string(kind.takes_ms)},
                          {"replay", client.reference_of(n)}});
        ++counts.asked;
        const FrontAnswer answer = client.receive();
        const double took = Ms(Clock::now() - begun).count() - (*plan)[i];
        const bool served = answer.kind == FrontAnswer::Kind::kServed;
        ++(served ? (took <= kind.aim_ms + 2 * kind.takes_ms ? counts.in_time : counts.late)
           : answer.kind == FrontAnswer::Kind::kRefused ? counts.refused
                                                        : counts.other);
      }
    });
  }
}

void play(const Day& day, bool levels) {
  const auto begun = Clock::now() + std::chrono::milliseconds(300);
  ChangeLogStandIn change_log;
  Engine first(day, begun);
  Engine second(day, begun);
  ControllerOptions options;
  options.change_log = change_log.address();
  options.limits = levels ? kLevels : "version: 1\n...\n";
  options.config = [&](const std::string& listen) {
    return config_of(listen, change_log.address(),
                     member("s-0", first.address()) + "," + member("s-1", second.address()));
  };
  ControllerProcess controller(options);
  Counts counts[3];
  std::vector<std::thread> threads;
  for (std::size_t k = 0; k < 3; ++k) clients_of(k, day, begun, controller.address(), counts[k], threads);
  for (auto& thread : threads) thread.join();
  double worth = 0;
  double offered = 0;
  for (std::size_t k = 0; k < 3; ++k) {
    worth += kKinds[k].worth * (static_cast<double>(counts[k].in_time) +
                                kKinds[k].late_worth * static_cast<double>(counts[k].late));
    offered += kKinds[k].worth * static_cast<double>(counts[k].asked);
  }
  auto told = controller.counters();
  std::cout << std::left << std::setw(24) << day.name << std::setw(9) << (levels ? "with" : "without")
            << std::fixed << std::setprecision(3) << std::setw(9) << worth / offered << std::setw(13)
            << static_cast<double>(counts[2].in_time) / static_cast<double>(counts[2].asked) << std::setw(9)
            << counts[1].refused << std::setw(6) << told["queries.refused.shed"] << std::setw(8)
            << counts[0].other + counts[1].other + counts[2].other << told["level.changes"] << std::endl;
}

}  // namespace

int main() {
  const Day days[] = {{"calm", 1, 1}, {"reports x 3", 3, 1}, {"engines 2.5 x slower", 1, 2.5}};
  std::cout
      << "day                     levels   worth    loads in aim reports refused, shed; failed; changes\n";
  for (const Day& day : days)
    for (const bool levels : {false, true}) play(day, levels);
}
