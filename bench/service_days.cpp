// Simulates days with disturbances, with and without reduced service levels: the program's own reducer,
// decision module, limits and levels against engines that share their cores among all queries that they run.
// Value is counted as the operators count it: in full within the latency target, in part after it. Run by
// `make service-days`; docs/service-levels.md has the figures.
#include <array>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/reducer.h"
#include "operator_file/operator_file.h"
#include "service_level/check.h"

namespace {

using namespace orchidgw;
using namespace orchidgw::core;

constexpr TimeUs kMs = 1'000;
constexpr TimeUs kSecond = 1'000'000;
constexpr TimeUs kStep = 5 * kMs;
constexpr TimeUs kStart = 1'000 * kSecond;
constexpr TimeUs kDayLength = 180 * kSecond;
constexpr TimeUs kDisturbanceStart = 30 * kSecond, kDisturbanceEnd = 110 * kSecond;
constexpr int kEngines = 6;
constexpr int kCores = 8;

struct QueryKind {
  const char* name;
  double per_second;
  double work_ms;  // CPU time on one core
  int threads;
  double value;
  double late_value_share;
  TimeUs latency_target;
  double runtime_factor;
  TimeUs deadline;
  Effect effect;
};

// Keep about 0.7 of all cores busy on a calm day.
constexpr std::array<QueryKind, 3> kQueryKinds = {{
    {"lookup", 68, 150, 1, 1, 0.1, 750 * kMs, 2, 4 * kSecond, Effect::kIdempotent},
    {"report", 4.6, 2'800, 2, 6, 0.4, 1'500 * kMs, 2.5, 20 * kSecond, Effect::kIdempotent},
    {"order-load", 1.8, 5'600, 2, 15, 0.6, 4 * kSecond, 3, 20 * kSecond, Effect::kDeduplicated},
}};

struct Day {
  const char* name;
  // Arrival rate as a multiple of that on a calm day.
  std::function<double(std::size_t kind, bool disturbed)> rate;
  std::function<double(int engine, bool disturbed)> speed;  // of an engine; 1 on a calm day
};

// Reports are shed only while more of them arrive than usual: where all engines are slow at the usual demand,
// shedding loses the value of the reports and frees little capacity.
const char* const kLevels = R"(version: 1
levels:
  list:
  - name: fewer-reports
    enter:
      all:
      - {signal: arrivals, class: report, above: 6.5, for: 4s, over: 15s}
      - any:
        - {signal: late_share, class: order-load, above: 20%, for: 4s, over: 10s}
        - {signal: refused_share, class: order-load, above: 10%, for: 4s, over: 10s}
    leave:
      any:
      - {signal: late_share, class: order-load, below: 8%, for: 8s, over: 10s}
      - {signal: arrivals, class: report, below: 5.5, for: 8s, over: 15s}
    least_stay: 10s
    effects: {shed: [{class: report, share: 50%}]}
  - name: no-reports
    enter:
      all:
      - {signal: arrivals, class: report, above: 6.5, for: 4s, over: 15s}
      - any:
        - {signal: late_share, class: order-load, above: 35%, for: 4s, over: 10s}
        - {signal: refused_share, class: order-load, above: 25%, for: 4s, over: 10s}
    leave:
      any:
      - {signal: late_share, class: order-load, below: 8%, for: 8s, over: 10s}
      - {signal: arrivals, class: report, below: 5.5, for: 8s, over: 15s}
    least_stay: 10s
    effects: {shed: [{class: report}], further_attempts: off}
  trial: {parts: [25%, 60%], step: 6s, wait: 15s}
  changes: {most: 8, within: 10m}
...
)";

Settings settings() {
  Settings s;
  for (const QueryKind& k : kQueryKinds) {
    ClassSettings c;
    c.name = k.name;
    c.latency_target = k.latency_target;
    c.latency_target_runtime_factor = k.runtime_factor;
    c.deadline = k.deadline;
    c.effect = k.effect;
    c.repeat_window = 12 * kSecond;
    c.value = k.value;
    c.late_value_share = k.late_value_share;
    c.threads = k.threads;
    s.classes.push_back(c);
  }
  s.kinds = {{"std", kCores, 16'000}};
  s.limits.max_attempts = 3;
  s.limits.cancel = true;
  s.limits.retry_after = true;
  s.limits.max_retry_after = kSecond;
  s.rules.has_retry_budget = true;
  s.rules.retry_budget_floor = 2;
  s.rules.retry_budget_share = 0.2;
  s.rules.retry_budget_window = 10 * kSecond;
  s.engines_report_cost = true;
  return s;
}

struct Result {
  double offered = 0, value = 0, loads = 0, loads_in_target = 0;
  std::uint64_t refused = 0, shed = 0, failed = 0, changes = 0;
};

class DaySimulation {
 public:
  DaySimulation(const Day& day, bool levels, unsigned seed)
      : day_(day), settings_(settings()), random_(seed), reducer_(settings_, seed, counters_) {
    EnginesChanged change;
    change.kind = ListKind::kStored;
    for (int i = 0; i < kEngines; ++i) {
      EngineListing listing;
      listing.entry.id = "s-" + std::to_string(i);
      listing.entry.kind = "std";
      listing.address = {"127.0.0.1", static_cast<std::uint16_t>(9'000 + i)};
      change.engines.push_back(listing);
      numbers_[listing.entry.id] = i;
    }
    apply(std::move(change));
    if (!levels) return;
    const auto read = operator_file::read_operator_file(kLevels);
    if (!read.faults.empty()) throw std::runtime_error(operator_file::fault_line("levels", read.faults[0]));
    const auto faults = service_level::check(settings_, read.file.levels);
    if (!faults.empty()) throw std::runtime_error(operator_file::fault_line("levels", faults[0]));
    apply(LimitsChanged{nullptr, std::make_shared<const service_level::LevelFile>(read.file.levels)});
  }

  Result run() {
    for (; now_ < kStart + kDayLength + 30 * kSecond; now_ += kStep) {
      if (now_ < kStart + kDayLength) arrive();
      work();
      answer_waiting_calls();
      while (reducer_.next_due() && *reducer_.next_due() <= now_) {
        const auto before = reducer_.next_due();
        apply(TimePassed{});
        if (reducer_.next_due() == before) break;
      }
    }
    result_.refused = counters_.refused;
    result_.failed = counters_.failed;
    result_.shed = counters_.refusals[static_cast<std::size_t>(Reason::kShed)];
    result_.changes = reducer_.levels().change_count();
    return result_;
  }

 private:
  struct SentRequest {
    std::size_t kind = 0;
    TimeUs at = 0;
    double work = 0;  // us of one core
  };
  struct RunningQuery {
    int engine = 0;
    double remaining = 0;  // us of one core
    int threads = 1;
    CallId call = 0;  // the call that waits for its result; 0: none
    TimeUs call_until = 0;
    bool done = false;
    double cost = 0;
  };

  bool disturbed() const { return now_ >= kStart + kDisturbanceStart && now_ < kStart + kDisturbanceEnd; }

  void arrive() {
    for (std::size_t k = 0; k < kQueryKinds.size(); ++k) {
      const double mean =
          kQueryKinds[k].per_second * day_.rate(k, disturbed()) * static_cast<double>(kStep) / 1e6;
      for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) send_request(k);
    }
  }

  void send_request(std::size_t k) {
    const QueryKind& kind = kQueryKinds[k];
    const double cv = 0.7;
    const double sigma = std::sqrt(std::log(1 + cv * cv));
    const double work_us =
        kind.work_ms * 1e3 * std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(random_);
    const RequestTag tag = ++last_tag_;
    sent_[tag] = {k, now_, work_us};
    result_.offered += kind.value;
    if (k == 2) result_.loads += 1;
    ClientRequest r;
    r.class_name = kind.name;
    r.reference = std::to_string(1'000'000'000'000'000 + tag);
    r.statement =
        "select * from s_" + std::to_string(random_() % 40) + ".t where id = " + std::to_string(tag);
    if (kind.effect == Effect::kDeduplicated) r.idempotency_key = r.reference;
    r.time_budget = kind.deadline;
    r.cost_estimate = static_cast<TimeUs>(work_us);
    r.memory_mb = 50;
    apply(RequestArrived{static_cast<ClientId>(1 + tag / 16), tag, std::move(r), ""});
  }

  // An engine's queries share its cores; with more than two threads per core, work is lost to context
  // switches.
  void work() {
    std::array<double, kEngines> threads{};
    for (const auto& [id, q] : running_)
      if (!q.done) threads[static_cast<std::size_t>(q.engine)] += q.threads;
    for (auto& [id, q] : running_) {
      if (q.done) continue;
      const double all = threads[static_cast<std::size_t>(q.engine)];
      const double share = std::min(1.0, kCores / all);
      const double switching_factor = all > 2 * kCores ? std::pow(2.0 * kCores / all, 0.5) : 1.0;
      q.remaining -= static_cast<double>(kStep) * q.threads * share * switching_factor *
                     day_.speed(q.engine, disturbed());
      q.done = q.remaining <= 0;
    }
  }

  void answer_waiting_calls() {
    std::vector<std::pair<std::string, CallAnswer>> out;
    for (auto& [id, q] : running_) {
      if (q.call == 0 || (!q.done && now_ < q.call_until)) continue;
      CallAnswer answer;
      answer.kind = q.done ? CallAnswer::Kind::kServed : CallAnswer::Kind::kPending;
      answer.pages = 1;
      if (q.done) answer.reported_cost = static_cast<TimeUs>(q.cost);
      out.emplace_back(id, std::move(answer));
    }
    for (auto& [id, answer] : out) {
      RunningQuery& q = running_.at(id);
      const CallId call = std::exchange(q.call, 0);
      if (q.done) running_.erase(id);
      apply(CallAnswered{call, std::move(answer)});
    }
  }

  void apply(Event event) {
    for (SideEffect& effect : reducer_.apply(now_, std::move(event))) {
      if (auto* call = std::get_if<SendCall>(&effect)) {
        on_call(*call);
      } else if (auto* drop = std::get_if<DropCall>(&effect)) {
        pending_events_.push_back(CallEnded{drop->call, ConnectionEnd::kDropped});
        for (auto& [id, q] : running_)
          if (q.call == drop->call) q.call = 0;
      } else if (auto* served = std::get_if<AnswerServed>(&effect)) {
        on_served(served->tag);
      }
    }
    while (!pending_events_.empty()) {
      Event next = std::move(pending_events_.front());
      pending_events_.erase(pending_events_.begin());
      apply(std::move(next));
    }
  }

  void on_call(const SendCall& call) {
    if (call.kind == CallKind::kStart) {
      const SentRequest& sent =
          sent_.at(static_cast<RequestTag>(std::stoll(call.reference) - 1'000'000'000'000'000));
      running_[call.reference] = {numbers_.at(call.engine),
                                  sent.work,
                                  kQueryKinds[sent.kind].threads,
                                  call.call,
                                  now_ + 250 * kMs,
                                  false,
                                  sent.work};
      return;
    }
    CallAnswer answer;
    answer.kind = CallAnswer::Kind::kDone;
    if (call.kind == CallKind::kPoll) {
      const auto it = running_.find(call.reference);
      if (it != running_.end()) {
        it->second.call = call.call;
        it->second.call_until = now_ + 250 * kMs;
        return;
      }
      answer.kind = CallAnswer::Kind::kError;
    }
    if (call.kind == CallKind::kCancel) running_.erase(call.reference);
    pending_events_.push_back(CallAnswered{call.call, std::move(answer)});
  }

  void on_served(RequestTag tag) {
    const SentRequest& sent = sent_.at(tag);
    const QueryKind& kind = kQueryKinds[sent.kind];
    const double latency_target =
        static_cast<double>(kind.latency_target) + kind.runtime_factor * sent.work / kind.threads;
    const bool in_time = static_cast<double>(now_ - sent.at) <= latency_target;
    result_.value += in_time ? kind.value : kind.value * kind.late_value_share;
    if (sent.kind == 2 && in_time) result_.loads_in_target += 1;
  }

  const Day& day_;
  Settings settings_;
  std::mt19937 random_;
  metrics::Counters counters_;
  Reducer reducer_;
  TimeUs now_ = kStart;
  RequestTag last_tag_ = 0;
  std::unordered_map<RequestTag, SentRequest> sent_;
  std::map<std::string, RunningQuery> running_;
  std::map<EngineId, int> numbers_;
  std::vector<Event> pending_events_;
  Result result_;
};

}  // namespace

int main() {
  const auto same_rate = [](std::size_t, bool) { return 1.0; };
  const auto same_speed = [](int, bool) { return 1.0; };
  const std::vector<Day> days = {
      {"calm", same_rate, same_speed},
      {"reports x 2.5", [](std::size_t k, bool t) { return t && k == 1 ? 2.5 : 1.0; }, same_speed},
      {"all traffic x 1.7", [](std::size_t, bool t) { return t ? 1.7 : 1.0; }, same_speed},
      {"all engines 2 x slower", same_rate, [](int, bool t) { return t ? 0.5 : 1.0; }},
      {"all engines 4 x slower", same_rate, [](int, bool t) { return t ? 0.25 : 1.0; }},
      {"two of six engines 6 x slower", same_rate, [](int e, bool t) { return t && e < 2 ? 1 / 6.0 : 1.0; }},
  };
  constexpr int kSeeds = 5;
  std::cout << std::fixed << std::setprecision(3);
  std::cout << "day                              levels  worth/offered  loads in aim  refused  shed  failed  "
               "changes\n";
  for (const Day& day : days) {
    for (const bool levels : {false, true}) {
      Result sum;
      for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        const Result r = DaySimulation(day, levels, seed).run();
        sum.offered += r.offered, sum.value += r.value, sum.loads += r.loads,
            sum.loads_in_target += r.loads_in_target;
        sum.refused += r.refused, sum.shed += r.shed, sum.failed += r.failed, sum.changes += r.changes;
      }
      std::cout << std::left << std::setw(33) << day.name << std::setw(8) << (levels ? "with" : "without")
                << std::setw(15) << sum.value / sum.offered << std::setw(14)
                << sum.loads_in_target / sum.loads << std::setw(9) << sum.refused / kSeeds << std::setw(6)
                << sum.shed / kSeeds << std::setw(8) << sum.failed / kSeeds << sum.changes / kSeeds << '\n';
    }
  }
}
