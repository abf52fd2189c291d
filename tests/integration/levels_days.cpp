// A measurement, not a test (`make levels-on-sockets`): short overload scenarios on real sockets, with and
// without reduced service levels. The program runs with two stand-in engines, each of which runs eight
// queries at a time, and with clients that send at planned times.
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <iomanip>
#include <iostream>
#include <map>
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

constexpr double kScenarioMs = 16'000, kOverloadFromMs = 4'000, kOverloadToMs = 11'000;
constexpr int kSlots = 8;

struct QueryKind {
  const char* name;
  double per_second, duration_ms, value, late_value_share, latency_target_ms;
  int clients;
};
constexpr QueryKind kKinds[] = {{"lookup", 60, 10, 1, 0.1, 300, 20},
                                {"report", 36, 120, 6, 0.4, 600, 200},
                                {"order-load", 12, 240, 15, 0.6, 1'000, 40}};

struct Scenario {
  const char* name;
  double reports;  // multiple of the normal rate of reports, during the overload
  double slower;   // multiple of the normal duration of queries, during the overload
};

// Runs kSlots queries at a time; the others wait in a queue. A call is answered once its query has ended, or
// with status 202 after 240 ms; a cancelled query stops immediately.
class Engine {
 public:
  Engine(const Scenario& scenario, Clock::time_point start)
      : scenario_(scenario), start_(start), server_([this](const HttpCall& call) { return answer(call); }) {
    for (int i = 0; i < kSlots; ++i) workers_.emplace_back([this] { work(); });
  }
  ~Engine() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      changed_.notify_all();
    }
    for (auto& worker : workers_) worker.join();
  }
  std::string address() const { return server_.address(); }

 private:
  struct Job {
    double duration = 0;
    bool done = false;
    bool cancelled = false;
  };

  void work() {
    std::unique_lock lock(mutex_);
    while (true) {
      changed_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
      if (stopping_) return;
      const std::shared_ptr<Job> job = queue_.front();
      queue_.pop_front();
      if (job->cancelled) continue;
      const double at = Ms(Clock::now() - start_).count();
      const bool overload = at >= kOverloadFromMs && at < kOverloadToMs;
      const Ms duration(job->duration * (overload ? scenario_.slower : 1));
      changed_.wait_for(lock, duration, [&] { return stopping_ || job->cancelled; });
      job->done = !job->cancelled;
      changed_.notify_all();
    }
  }

  HttpReply answer(const HttpCall& call) {
    const std::string id = call.method == "POST" ? call.headers.at("Call-Id") : call.path.substr(6, 16);
    std::unique_lock lock(mutex_);
    if (call.method == "POST") {
      const auto job = std::make_shared<Job>();
      for (const QueryKind& kind : kKinds)
        if (call.headers.at("Call-Kind") == kind.name) job->duration = kind.duration_ms;
      jobs_[id] = job;
      queue_.push_back(job);
      changed_.notify_all();
    }
    HttpReply result;
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) {
      result.status = call.method == "GET" ? 500 : 204;
      return result;
    }
    const std::shared_ptr<Job> job = it->second;
    if (call.method == "DELETE" || call.method == "PUT") {
      job->cancelled = job->cancelled || call.method == "DELETE";
      changed_.notify_all();
      result.status = 204;
      return result;
    }
    const bool ended = changed_.wait_for(lock, std::chrono::milliseconds(240),
                                         [&] { return stopping_ || job->done || job->cancelled; });
    if (!ended || !job->done) {
      result.status = 202;
      return result;
    }
    result.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", std::to_string(job->duration)}, {"X-Needed-Mb", "4"}};
    result.body = "a\tb\tc\n";
    return result;
  }

  const Scenario& scenario_;
  Clock::time_point start_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::map<std::string, std::shared_ptr<Job>> jobs_;
  std::deque<std::shared_ptr<Job>> queue_;
  std::vector<std::thread> workers_;
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
        - {signal: late_share, class: order-load, above: 8%, for: 500ms, over: 2s}
        - {signal: refused_share, class: order-load, above: 5%, for: 500ms, over: 2s}
    leave: {signal: arrivals, class: report, below: 42, for: 1s, over: 2s}
    least_stay: 2s
    effects: {shed: [{class: report, share: 70%}]}
  trial: {parts: [50%], step: 1s, wait: 2s}
  changes: {most: 8, within: 1m}
...
)";

std::string make_config(const std::string& listen, const std::string& change_log,
                        const std::string& members) {
  return R"({"name":"n0","listen":")" + listen +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)" +
         R"("sockets":2048},"changelog":")" + change_log +
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
  std::atomic<long> sent{0}, in_time{0}, late{0}, refused{0}, other{0};
};

// Starts the clients of a kind of query. They share planned send times; a query is sent late if all of them
// are waiting for an answer.
void start_clients(std::size_t k, const Scenario& scenario, Clock::time_point start,
                   const std::string& address, Counts& counts, std::vector<std::thread>& threads) {
  const QueryKind& kind = kKinds[k];
  auto send_times = std::make_shared<std::vector<double>>();
  std::mt19937 random(static_cast<unsigned>(k) + 1);
  for (double at = 0; at < kScenarioMs;) {
    const bool overload = at >= kOverloadFromMs && at < kOverloadToMs;
    const double rate = kind.per_second * (overload && k == 1 ? scenario.reports : 1);
    at += std::exponential_distribution<double>(rate / 1e3)(random);
    send_times->push_back(at);
  }
  auto next = std::make_shared<std::atomic<std::size_t>>(0);
  for (int client_index = 0; client_index < kind.clients; ++client_index) {
    threads.emplace_back([k, &kind, start, address, &counts, send_times, next] {
      while (true) {
        const std::size_t i = (*next)++;
        if (i >= send_times->size()) return;
        std::this_thread::sleep_until(start +
                                      std::chrono::duration_cast<Clock::duration>(Ms((*send_times)[i])));
        FrontClient client(address);  // a connection that was silent for long would be closed
        client.invoke(1, {{"service", kind.name},
                          {"allow", k == 0 ? "2000" : "4000"},
                          {"effort", std::to_string(kind.duration_ms)},
                          {"replay", client.reference_of(1)}});
        ++counts.sent;
        const FrontAnswer answer = client.receive();
        const double took = Ms(Clock::now() - start).count() - (*send_times)[i];
        const bool served = answer.kind == FrontAnswer::Kind::kServed;
        ++(served ? (took <= kind.latency_target_ms + 2 * kind.duration_ms ? counts.in_time : counts.late)
           : answer.kind == FrontAnswer::Kind::kRefused ? counts.refused
                                                        : counts.other);
      }
    });
  }
}

void run_scenario(const Scenario& scenario, bool levels) {
  const auto start = Clock::now() + std::chrono::milliseconds(300);
  ChangeLogStandIn change_log;
  Engine first(scenario, start);
  Engine second(scenario, start);
  ControllerOptions options;
  options.change_log = change_log.address();
  options.limits = levels ? kLevels : "version: 1\n...\n";
  options.config = [&](const std::string& listen) {
    return make_config(listen, change_log.address(),
                       member_json("s-0", first.address()) + "," + member_json("s-1", second.address()));
  };
  ControllerProcess controller(options);
  Counts counts[3];
  std::vector<std::thread> threads;
  for (std::size_t k = 0; k < 3; ++k)
    start_clients(k, scenario, start, controller.address(), counts[k], threads);
  for (auto& thread : threads) thread.join();
  double value = 0;
  double offered = 0;
  for (std::size_t k = 0; k < 3; ++k) {
    value += kKinds[k].value * (static_cast<double>(counts[k].in_time) +
                                kKinds[k].late_value_share * static_cast<double>(counts[k].late));
    offered += kKinds[k].value * static_cast<double>(counts[k].sent);
  }
  auto counters = controller.counters();
  std::cout << std::left << std::setw(24) << scenario.name << std::setw(9) << (levels ? "with" : "without")
            << std::fixed << std::setprecision(3) << std::setw(9) << value / offered << std::setw(13)
            << static_cast<double>(counts[2].in_time) / static_cast<double>(counts[2].sent) << std::setw(9)
            << counts[1].refused << std::setw(6) << counters["queries.refused.shed"] << std::setw(8)
            << counts[0].other + counts[1].other + counts[2].other << counters["level.changes"] << std::endl;
}

}  // namespace

int main(int argc, char**) {
  const Scenario scenarios[] = {{"calm", 1, 1}, {"reports x 6", 6, 1}, {"engines 2.5 x slower", 1, 2.5}};
  std::cout
      << "day                     levels   worth    loads in aim reports refused, shed; failed; changes\n";
  for (const Scenario& scenario : scenarios) {
    if (argc > 1 && &scenario == &scenarios[0]) continue;  // with any argument: only the overload scenarios
    for (const bool levels : {false, true}) run_scenario(scenario, levels);
  }
}
