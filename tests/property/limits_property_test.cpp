// Properties of the limits for random valid files and random events: attempts, second copies and further
// attempts stay within the strictest of the file, the settings and the rules, and each query gets one final
// answer, in time. The real reducer, decision module and limits run against simulated engines that end calls
// in every way. Seeds are fixed (RC_PARAMS, set below).
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "../limits/deployment.h"
#include "core/reducer.h"

namespace orchidgw::core {
namespace {

using limits::kMs;
using limits::kSecond;
using Kind = CallAnswer::Kind;

constexpr TimeUs kStart = 1'000 * kSecond;
constexpr TimeUs kAnswerSlack = 25 * kMs;  // for the module's tick and for an answer
constexpr int kMaxAttempts = 3;            // of the settings
constexpr int kMaxUnsentAttempts = 4 * kMaxAttempts;

// The limits that a test's file states. Not stated: 0, and below 0 for the floors.
struct FileLimits {
  int attempts = 0;
  int second_copy_ms = 0;
  int timeout_ms = 0;
  int longest_hold_ms = 0;
  int concurrency = 0;
  int rate = 0;
  int retry_floor = -1;
  int retry_share_percent = 0;
  int overall_retry_floor = -1;
};

std::string file_text(const FileLimits& stated) {
  std::string body;
  if (stated.overall_retry_floor >= 0)
    body += "retries: {share: 10%, floor: " + std::to_string(stated.overall_retry_floor) + "}\n";
  body += "routes:\n";
  for (const char* name : {"lookup", "load", "once"}) {
    body += std::string("- name: ") + name + "\n  match: {class: " + name + "}\n";
    const auto state = [&](const std::string& text) { body += "  " + text + "\n"; };
    if (stated.timeout_ms > 0) state("timeout: " + std::to_string(stated.timeout_ms) + "ms");
    if (stated.longest_hold_ms > 0 && (stated.timeout_ms == 0 || stated.longest_hold_ms < stated.timeout_ms))
      state("longest_hold: " + std::to_string(stated.longest_hold_ms) + "ms");
    if (stated.attempts > 0) state("attempts: " + std::to_string(stated.attempts));
    if (stated.concurrency > 0) state("concurrency: " + std::to_string(stated.concurrency));
    if (stated.rate > 0) state("rate: {per_second: " + std::to_string(stated.rate) + ", burst: 3}");
    if (stated.attempts == 1) continue;
    if (stated.retry_floor >= 0)
      state("retries: {share: " + std::to_string(stated.retry_share_percent) +
            "%, floor: " + std::to_string(stated.retry_floor) + "}");
    if (stated.second_copy_ms > 0 && std::string(name) != "once" &&
        (stated.timeout_ms == 0 || stated.second_copy_ms < stated.timeout_ms))
      state("second_copy: {after: " + std::to_string(stated.second_copy_ms) + "ms}");
  }
  return body;
}

// Plays clients and engines, and checks at every step what they saw against the bounds.
class Simulation {
 public:
  Simulation(const FileLimits& stated, bool copies_allowed, unsigned seed)
      : stated_(stated), settings_(limits::test_settings()), random_(seed) {
    settings_.limits.second_copies = copies_allowed;
    settings_.classes[5].serial_by_key = false;  // the module rejects it; the limits still check it
    if (!copies_allowed) stated_.second_copy_ms = 0;
    reducer_ = std::make_unique<Reducer>(settings_, 1, counters_);
    EnginesChanged change;
    change.kind = ListKind::kStored;
    for (int i = 0; i < 4; ++i) {
      EngineListing listing;
      listing.entry.id = "s-" + std::to_string(i);
      listing.entry.kind = "std";
      listing.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
      change.engines.push_back(listing);
    }
    apply(std::move(change));
    reload();
  }

  void run(int queries) {
    for (int i = 0; i < queries; ++i) {
      advance_to(now_ + static_cast<TimeUs>(random_() % 60) * kMs);
      if (i % 37 == 36) reload();
      send_request(i);
    }
    advance_to(now_ + 45 * kSecond);
    for (const auto& [tag, query] : queries_) RC_ASSERT(query.answers == 1);
    RC_ASSERT(reducer_->queries() == 0U);
    RC_ASSERT(reducer_->limiter().tracked_query_count() == 0U);
    RC_ASSERT(counters_.accepted_queries == counters_.served + counters_.refused + counters_.failed);
  }

 private:
  struct QueryRecord {
    TimeUs deadline = 0;
    std::string class_name;
    int started = 0;
    int attempts = 0;  // started, without those whose connection was refused: nothing of them was sent
    int answers = 0;
    bool may_have_run = false;
    std::set<AttemptId> open_attempts;
  };

  void reload() {
    const std::string text = limits::operator_file_text(file_text(stated_));
    RC_ASSERT(limits::faults_in(text, settings_) == std::vector<std::string>{});
    const auto read = operator_file::read_operator_file(text);
    apply(LimitsChanged{std::make_shared<const limits::LimitSet>(settings_, read.file.limits, 1)});
  }

  void send_request(RequestTag tag) {
    constexpr std::array<const char*, 3> kClasses = {"lookup", "load", "once"};
    ClientRequest request;
    request.class_name = kClasses[random_() % 3];
    request.reference = std::to_string(1'000'000'000'000'000 + tag);
    request.tenant = random_() % 2 == 0 ? "acme" : "beta";
    request.idempotency_key = request.class_name == "load" ? "key" + request.reference : "";
    request.statement = "select * from sales_" + std::to_string(random_() % 9) + ".orders";
    request.time_budget = (1 + static_cast<TimeUs>(random_() % 6)) * kSecond;
    request.cost_estimate = static_cast<TimeUs>(random_() % 900) * kMs;
    QueryRecord& query = queries_[tag];
    query.class_name = request.class_name;
    query.deadline = now_ + request.time_budget;
    if (stated_.timeout_ms > 0) query.deadline = std::min(query.deadline, now_ + stated_.timeout_ms * kMs);
    by_reference_[request.reference] = tag;
    requests_accepted_.push_back(now_);
    apply(RequestArrived{static_cast<ClientId>(1 + tag / 8), tag, std::move(request), ""});
  }

  void advance_to(TimeUs until) {
    while (true) {
      const auto due = reducer_->next_due();
      const TimeUs timer = due ? std::max(*due, now_) : until + 1;
      const TimeUs event = pending_events_.empty() ? until + 1 : pending_events_.begin()->first;
      if (std::min(timer, event) > until) break;
      now_ = std::max(now_, std::min(timer, event));
      if (event <= timer) {
        auto posted = std::move(pending_events_.begin()->second);
        pending_events_.erase(pending_events_.begin());
        if (const auto* ended = std::get_if<CallEnded>(&posted)) on_end(*ended);
        apply(std::move(posted));
      } else {
        apply(TimePassed{});
      }
    }
    now_ = until;
  }

  void apply(Event event) {
    for (SideEffect& effect : reducer_->apply(now_, std::move(event))) {
      if (auto* send = std::get_if<SendCall>(&effect)) {
        on_send_call(*send);
      } else if (auto* drop = std::get_if<DropCall>(&effect)) {
        on_drop(drop->call);
      } else if (auto* served = std::get_if<AnswerServed>(&effect)) {
        on_answer(served->tag, false);
      } else if (auto* refused = std::get_if<AnswerRefused>(&effect)) {
        on_answer(refused->tag, true);
      } else if (auto* failed = std::get_if<AnswerFailed>(&effect)) {
        RC_ASSERT(!failed->invalid_request);
        on_answer(failed->tag, false);
      } else if (auto* closed = std::get_if<CloseConnection>(&effect)) {
        for (auto& [tag, query] : queries_) query.open_attempts.erase(closed->attempt);
      }
    }
  }

  void on_answer(RequestTag tag, bool refusal) {
    QueryRecord& query = queries_.at(tag);
    ++query.answers;
    RC_ASSERT(query.answers == 1);
    RC_ASSERT(now_ <= query.deadline + kAnswerSlack);
    RC_ASSERT(!refusal || query.class_name != "once" || !query.may_have_run);
  }

  void on_send_call(SendCall& send) {
    if (send.kind == CallKind::kStart) on_attempt(send);
    Event end;
    TimeUs end_at = now_ + 1 + static_cast<TimeUs>(random_() % 400) * kMs;
    const auto percent = random_() % 100;
    CallAnswer answer;
    if (send.kind == CallKind::kCancel || send.kind == CallKind::kPriority) {
      answer.kind = Kind::kDone;
      end_at = now_ + kMs;
    } else if (percent < 55) {
      answer.kind = Kind::kServed;
      answer.pages = 1;
    } else if (percent < 70) {
      answer.kind = Kind::kPending;
      end_at = now_ + 250 * kMs;
    } else if (percent < 80) {
      answer.kind = Kind::kError;
    } else if (percent < 86 && send.kind == CallKind::kStart) {
      answer.kind = Kind::kFull;
    } else {
      const ConnectionEnd connection_end = percent < 92   ? ConnectionEnd::kRefused
                                           : percent < 97 ? ConnectionEnd::kResetUnanswered
                                                          : ConnectionEnd::kSilent;
      pending_events_.emplace(connection_end == ConnectionEnd::kSilent ? send.answer_by : end_at,
                              CallEnded{send.call, connection_end});
      call_ends_at_[send.call] = connection_end == ConnectionEnd::kSilent ? send.answer_by : end_at;
      record_run(send, connection_end != ConnectionEnd::kRefused);
      if (connection_end == ConnectionEnd::kRefused && send.kind == CallKind::kStart)
        refused_starts_[send.call] = {by_reference_.at(send.reference), now_};
      return;
    }
    record_run(send, answer.kind != Kind::kFull);
    call_ends_at_[send.call] = end_at;
    pending_events_.emplace(end_at, CallAnswered{send.call, std::move(answer)});
  }

  void record_run(const SendCall& send, bool may_have_run) {
    if (may_have_run && send.kind == CallKind::kStart)
      queries_.at(by_reference_.at(send.reference)).may_have_run = true;
  }

  void on_attempt(const SendCall& send) {
    QueryRecord& query = queries_.at(by_reference_.at(send.reference));
    ++query.started;
    ++query.attempts;
    RC_ASSERT(query.answers == 0);
    RC_ASSERT(query.attempts <= kMaxAttempts);
    RC_ASSERT(stated_.attempts <= 0 || query.started <= stated_.attempts);
    RC_ASSERT(query.started - query.attempts <= kMaxUnsentAttempts);
    RC_ASSERT(query.class_name != "once" || query.started == 1 || !query.may_have_run);
    query.open_attempts.insert(send.attempt);
    RC_ASSERT(query.open_attempts.size() <=
              (settings_.limits.second_copies && query.class_name != "once" ? 2U : 1U));
    if (query.started == 1) return;
    counted_further_attempts_.push_back(now_);
    further_attempts_.push_back(now_);
    constexpr TimeUs kWindow = 10 * kSecond;
    const auto in_window = [&](std::deque<TimeUs>& times, bool include_edge) {
      while (!times.empty() &&
             (include_edge ? times.front() < now_ - kWindow : times.front() <= now_ - kWindow))
        times.pop_front();
      return static_cast<double>(times.size());
    };
    const double counted_further = in_window(counted_further_attempts_, true);
    const double accepted = in_window(requests_accepted_, false);
    RC_ASSERT(counted_further <= 2 + 0.2 * accepted + 1e-9);  // rule 7
    const double further = in_window(further_attempts_, true);
    if (stated_.overall_retry_floor >= 0)
      RC_ASSERT(further <= stated_.overall_retry_floor + 0.1 * accepted + 1e-9);
    if (stated_.retry_floor >= 0)
      RC_ASSERT(further <= 3 * stated_.retry_floor + stated_.retry_share_percent / 100.0 * accepted +
                               1e-9);  // three routes
  }

  // An attempt whose connection was refused counts no longer, neither as an attempt nor against the retry
  // budget of rule 7.
  void on_end(const CallEnded& ended) {
    const auto it = refused_starts_.find(ended.call);
    if (it == refused_starts_.end() || ended.end != ConnectionEnd::kRefused) return;
    QueryRecord& query = queries_.at(it->second.tag);
    --query.attempts;
    const auto counted =
        std::find(counted_further_attempts_.begin(), counted_further_attempts_.end(), it->second.started_at);
    if (query.started > 1 && counted != counted_further_attempts_.end())
      counted_further_attempts_.erase(counted);
    refused_starts_.erase(it);
  }

  void on_drop(CallId call) {
    const auto it = call_ends_at_.find(call);
    if (it == call_ends_at_.end()) return;
    const auto [first, last] = pending_events_.equal_range(it->second);
    for (auto p = first; p != last; ++p) {
      const auto* answered = std::get_if<CallAnswered>(&p->second);
      const auto* ended = std::get_if<CallEnded>(&p->second);
      if ((answered && answered->call == call) || (ended && ended->call == call)) {
        pending_events_.erase(p);
        pending_events_.emplace(now_, CallEnded{call, ConnectionEnd::kDropped});
        break;
      }
    }
    call_ends_at_.erase(it);
  }

  FileLimits stated_;
  Settings settings_;
  std::mt19937 random_;
  metrics::Counters counters_;
  std::unique_ptr<Reducer> reducer_;
  TimeUs now_ = kStart;
  std::multimap<TimeUs, Event> pending_events_;
  std::map<CallId, TimeUs> call_ends_at_;
  struct RefusedStart {
    RequestTag tag = 0;
    TimeUs started_at = 0;
  };
  std::map<CallId, RefusedStart> refused_starts_;
  std::map<RequestTag, QueryRecord> queries_;
  std::map<std::string, RequestTag> by_reference_;
  std::deque<TimeUs> requests_accepted_;
  std::deque<TimeUs> further_attempts_;          // starts of attempts beyond each query's first
  std::deque<TimeUs> counted_further_attempts_;  // the same, without those whose connection was refused
};

FileLimits random_limits() {
  const auto one_of = [](std::initializer_list<int> values) {
    return *rc::gen::elementOf(std::vector<int>(values));
  };
  FileLimits stated;
  stated.attempts = one_of({0, 1, 2, 3});
  stated.second_copy_ms = one_of({0, 0, 50, 300, 900});
  stated.timeout_ms = one_of({0, 0, 700, 1500, 4000});
  stated.longest_hold_ms = one_of({0, 0, 100, 900});
  stated.concurrency = one_of({0, 0, 1, 3, 20});
  stated.rate = one_of({0, 0, 2, 10, 100});
  stated.overall_retry_floor = one_of({-1, 0, 2});
  stated.retry_floor = stated.overall_retry_floor < 0 ? one_of({-1, 0}) : one_of({-1, 0, 1, 2});
  stated.retry_share_percent = one_of({0, 5, 20});
  return stated;
}

class LimitsProperties : public ::testing::Test {
 protected:
  static void SetUpTestSuite() { ::setenv("RC_PARAMS", "seed=20261201 max_success=120", 1); }
};

TEST_F(LimitsProperties, WithoutSecondCopies) {
  EXPECT_TRUE(
      rc::check([] { Simulation(random_limits(), false, *rc::gen::arbitrary<unsigned>()).run(150); }));
}

TEST_F(LimitsProperties, WithSecondCopies) {
  EXPECT_TRUE(rc::check([] { Simulation(random_limits(), true, *rc::gen::arbitrary<unsigned>()).run(150); }));
}

}  // namespace
}  // namespace orchidgw::core
