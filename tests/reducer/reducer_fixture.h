// Fixture: a reducer with the real decision module, on a clock that the test advances. The test answers the
// calls to engines.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "core/reducer.h"

namespace orchidgw::core {

inline constexpr TimeUs kMs = 1000;
inline constexpr TimeUs kSecond = 1'000'000;

// A page of rows as text. The reducer only asks for its size.
class TextPayload final : public Payload {
 public:
  explicit TextPayload(std::string rows) : text(std::move(rows)) {}
  std::size_t size() const override { return text.size(); }
  std::string text;
};

class ReducerTest : public ::testing::Test {
 protected:
  static constexpr ClientId kClient = 7;

  ReducerTest() {
    settings.gateways = 1;
    ClassSettings lookup;
    lookup.name = "lookup";
    lookup.latency_target = 1 * kSecond;
    lookup.latency_target_runtime_factor = 2;
    lookup.deadline = 8 * kSecond;
    lookup.effect = Effect::kIdempotent;
    ClassSettings once = lookup;
    once.name = "once";
    once.effect = Effect::kAtMostOnce;
    settings.classes = {lookup, once};
    settings.kinds = {{"std", 8, 16000}};
    settings.limits.max_attempts = 3;
    settings.limits.cancel = true;
    settings.limits.retry_after = true;
    settings.limits.max_retry_after = 500 * kMs;
    settings.engines_report_cost = true;
  }

  void start_reducer(int engines = 2) {
    reducer = std::make_unique<Reducer>(settings, 1, counters);
    EnginesChanged change;
    change.kind = ListKind::kStored;
    for (int i = 0; i < engines; ++i) change.engines.push_back(engine(i));
    apply(std::move(change));
  }

  static EngineListing engine(int number, EngineState state = EngineState::kInService) {
    EngineListing listing;
    listing.entry.id = "s-" + std::to_string(number);
    listing.entry.kind = "std";
    listing.entry.state = state;
    listing.address = {"127.0.0." + std::to_string(number + 1), 9000};
    return listing;
  }

  void apply(Event event) {
    for (SideEffect& effect : reducer->apply(now, std::move(event))) {
      if (auto* call = std::get_if<SendCall>(&effect)) {
        calls.push_back(std::move(*call));
      } else if (auto* drop = std::get_if<DropCall>(&effect)) {
        dropped.push_back(drop->call);
      } else if (auto* withdrawn_call = std::get_if<WithdrawCall>(&effect)) {
        withdrawn.push_back(withdrawn_call->call);
      } else if (auto* served = std::get_if<AnswerServed>(&effect)) {
        std::string rows;
        for (const auto& page : served->pages) rows += page ? static_cast<TextPayload&>(*page).text : "";
        answers[served->tag].push_back("served " + rows);
      } else if (auto* refused = std::get_if<AnswerRefused>(&effect)) {
        answers[refused->tag].push_back("refused " + std::to_string(refused->retry_after));
      } else if (auto* failed = std::get_if<AnswerFailed>(&effect)) {
        answers[failed->tag].push_back("failed " + failed->why);
      } else if (auto* rejected = std::get_if<AnswerRejected>(&effect)) {
        answers[rejected->tag].push_back("rejected " + rejected->why);
      } else if (auto* over = std::get_if<CloseConnection>(&effect)) {
        closed.push_back(over->attempt);
      }
    }
  }

  void request(RequestTag tag, const std::string& class_name = "lookup", TimeUs budget = 5 * kSecond,
               ClientId client = kClient) {
    apply(RequestArrived{client, tag, valid_request(tag, class_name, budget, client), ""});
  }

  static ClientRequest valid_request(RequestTag tag, const std::string& class_name = "lookup",
                                     TimeUs budget = 5 * kSecond, ClientId client = kClient) {
    ClientRequest client_request;
    client_request.class_name = class_name;
    client_request.reference =
        std::to_string(1'000'000'000'000'000 + static_cast<std::int64_t>(client) * 1'000'000 + tag);
    client_request.statement = "select * from sales_3.orders";
    client_request.time_budget = budget;
    client_request.cost_estimate = 100 * kMs;
    client_request.memory_mb = 10;
    return client_request;
  }

  // Advances the clock to `end` and fires each timer at the time it is due.
  void run_until(TimeUs end) {
    while (reducer->next_due() && *reducer->next_due() <= end) {
      now = std::max(now, *reducer->next_due());
      apply(TimePassed{});
    }
    now = end;
  }

  // The most recent call to an engine.
  SendCall& last_call() { return calls.back(); }

  void answer(CallId call, CallAnswer::Kind kind, const std::string& rows = "", int pages = 0, int page = 0) {
    CallAnswer call_answer;
    call_answer.kind = kind;
    call_answer.pages = pages;
    call_answer.page = page;
    if (!rows.empty()) call_answer.rows = std::make_unique<TextPayload>(rows);
    apply(CallAnswered{call, std::move(call_answer)});
  }

  void end_call(CallId call, ConnectionEnd end) { apply(CallEnded{call, end}); }

  std::uint64_t outcome_count(OutcomeKind kind) const {
    return counters.outcomes[static_cast<std::size_t>(kind)];
  }

  Settings settings;
  metrics::Counters counters;
  std::unique_ptr<Reducer> reducer;
  TimeUs now = 1'000 * kSecond;
  std::vector<SendCall> calls;
  std::vector<CallId> dropped;
  std::vector<CallId> withdrawn;
  std::map<RequestTag, std::vector<std::string>> answers;
  std::vector<AttemptId> closed;  // attempts whose connections were closed
};

}  // namespace orchidgw::core
