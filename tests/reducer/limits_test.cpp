// The operators' limits and what they do to queries: the reducer, the limits and the real decision module
// together.
#include "limits/limit_set.h"
#include "operator_file/operator_file.h"
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

using Kind = CallAnswer::Kind;

class LimitedTest : public ReducerTest {
 protected:
  void apply_file(const std::string& body) {
    const auto read = operator_file::read_operator_file("version: 1\n" + body + "...\n");
    ASSERT_TRUE(read.faults.empty()) << operator_file::fault_line("f", read.faults[0]);
    apply(LimitsChanged{std::make_shared<const limits::LimitSet>(settings, read.file.limits, 1)});
  }
  void apply_route(const std::string& bounds) {
    apply_file("routes:\n- name: r\n  match: {class: lookup}\n" + bounds);
  }
  std::size_t start_count() const {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const auto& call) { return call.kind == CallKind::kStart; }));
  }
  std::uint64_t refusal_count(Reason reason) const {
    return counters.refusals[static_cast<std::size_t>(reason)];
  }
};

TEST_F(LimitedTest, AnAttemptStopsAtItsOwnTimeout) {
  start_reducer();
  apply_route("  attempt_timeout: 400ms\n");
  request(1);
  EXPECT_EQ(last_call().stop_at, now + 400 * kMs);
}

TEST_F(LimitedTest, TheWholeTimeoutIsTheQuerysDeadline) {
  start_reducer();
  apply_route("  timeout: 1s\n");
  request(1);
  EXPECT_EQ(last_call().stop_at, now + 1 * kSecond);
  const TimeUs asked_at = now;
  while (answers.empty() && now < asked_at + 3 * kSecond) run_until(now + 10 * kMs);
  EXPECT_EQ(answers[1].size(), 1U);
  EXPECT_LE(now, asked_at + 1 * kSecond + 20 * kMs);
}

TEST_F(LimitedTest, OneAttemptIsAnsweredAtOnceWhenItFails) {
  start_reducer();
  apply_route("  attempts: 1\n");
  request(1);
  answer(last_call().call, Kind::kError);
  ASSERT_EQ(answers[1].size(), 1U);
  EXPECT_EQ(answers[1][0].substr(0, 7), "refused");
  EXPECT_EQ(start_count(), 1U);
  EXPECT_EQ(refusal_count(Reason::kMaxAttempts), 1U);
}

TEST_F(LimitedTest, WithoutLimitsAFailedAttemptIsTriedAgain) {
  start_reducer();
  request(1);
  answer(last_call().call, Kind::kError);
  run_until(now + 100 * kMs);
  EXPECT_EQ(start_count(), 2U);
}

TEST_F(LimitedTest, AnEndThatIsNotTriedAgainIsAnsweredAtOnce) {
  start_reducer();
  apply_route("  retry_on: [connect_failed]\n");
  request(1);
  answer(last_call().call, Kind::kError);
  EXPECT_EQ(answers[1].size(), 1U);
  EXPECT_EQ(refusal_count(Reason::kOutcomeNotRetried), 1U);
}

TEST_F(LimitedTest, ASpentRetryBudgetIsAnsweredAtOnce) {
  start_reducer();
  apply_route("  retries: {share: 0, floor: 1}\n");
  for (RequestTag tag = 1; tag <= 2; ++tag) {
    request(tag);
    answer(last_call().call, Kind::kError);
    run_until(now + 100 * kMs);
  }
  EXPECT_EQ(start_count(), 3U);  // one of the two queries was tried again
  EXPECT_EQ(answers[2].size(), 1U);
  EXPECT_EQ(refusal_count(Reason::kRetryBudget), 1U);
}

TEST_F(LimitedTest, TheNextAttemptWaitsForItsBackOff) {
  start_reducer();
  apply_route("  back_off: {first: 300ms, most: 300ms, jitter: 0}\n");
  request(1);
  answer(last_call().call, Kind::kError);
  run_until(now + 290 * kMs);
  EXPECT_EQ(start_count(), 1U);
  run_until(now + 40 * kMs);
  EXPECT_EQ(start_count(), 2U);
}

// Guards against holding a query for a back-off that ends after the query's deadline.
TEST_F(LimitedTest, ABackOffPastTheTimeLeftIsAnsweredAtOnce) {
  start_reducer();
  apply_route("  timeout: 1s\n  back_off: {first: 900ms, most: 900ms, jitter: 0}\n");
  request(1);
  run_until(now + 300 * kMs);
  answer(last_call().call, Kind::kError);
  EXPECT_EQ(answers[1].size(), 1U);
}

TEST_F(LimitedTest, QueriesWaitForAPlaceAndAreLetInAsOthersEnd) {
  start_reducer();
  apply_route("  concurrency: 1\n  longest_hold: 900ms\n");
  for (RequestTag tag = 1; tag <= 3; ++tag) request(tag);
  EXPECT_EQ(start_count(), 1U);
  EXPECT_EQ(counters.waiting_queries.now, 2U);
  run_until(now + 200 * kMs);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(start_count(), 2U);
  run_until(now + 800 * kMs);
  EXPECT_EQ(answers[3].size(), 1U);
  EXPECT_EQ(refusal_count(Reason::kQueueTimeout), 1U);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[2], std::vector<std::string>{"served x\n"});
  EXPECT_EQ(reducer->queries(), 0U);
  EXPECT_EQ(reducer->limiter().tracked_query_count(), 0U);
}

TEST_F(LimitedTest, AClientThatLeavesWhileItWaitsGivesItsPlaceInTheLineBack) {
  start_reducer();
  apply_route("  concurrency: 1\n");
  for (RequestTag tag = 1; tag <= 3; ++tag) request(tag);
  apply(RequestAborted{kClient, 2});
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(start_count(), 2U);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[3], std::vector<std::string>{"served x\n"});
  EXPECT_EQ(answers.count(2), 0U);
  EXPECT_EQ(reducer->limiter().tracked_query_count(), 0U);
}

TEST_F(LimitedTest, TheBudgetThatIsLeftIsWhatTheModuleGets) {
  start_reducer();
  apply_route("  concurrency: 1\n");
  request(1);
  request(2, "lookup", 3 * kSecond);
  const TimeUs asked_at = now;
  run_until(now + 500 * kMs);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(last_call().stop_at, asked_at + 3 * kSecond);
}

TEST_F(LimitedTest, AReloadThatLowersAttemptsLeavesTheOneThatIsOut) {
  start_reducer();
  apply_route("  attempts: 3\n");
  request(1);
  apply_route("  attempts: 1\n");
  answer(last_call().call, Kind::kError);
  run_until(now + 100 * kMs);
  EXPECT_EQ(start_count(), 2U);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
}

// Guards against a retry budget (rule 7 of the settings) that counts a query in too late a window: a query
// that waited under its limits was accepted before it was admitted, so its admission adds nothing to the
// budget.
TEST_F(LimitedTest, AQueryThatWaitedCountsForNoFurtherAttempt) {
  settings.rules.has_retry_budget = true;
  settings.rules.retry_budget_floor = 0;
  settings.rules.retry_budget_share = 0.5;
  settings.rules.retry_budget_window = 10 * kSecond;
  start_reducer();
  apply_route("  concurrency: 1\n");
  request(1);
  request(2);
  run_until(now + 100 * kMs);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  answer(last_call().call, Kind::kError);
  run_until(now + 300 * kMs);
  EXPECT_EQ(start_count(), 2U);
}

class CopyingTest : public LimitedTest {
 protected:
  CopyingTest() { settings.limits.second_copies = true; }
};

TEST_F(CopyingTest, ASecondCopyGoesOutAfterItsDelayAndTheFirstAnswerWins) {
  start_reducer();
  apply_route("  second_copy: {after: 200ms}\n");
  request(1);
  const SendCall first = last_call();
  run_until(now + 180 * kMs);
  EXPECT_EQ(start_count(), 1U);
  run_until(now + 60 * kMs);
  ASSERT_EQ(start_count(), 2U);
  EXPECT_NE(last_call().engine, first.engine);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
  ASSERT_FALSE(dropped.empty());
  EXPECT_EQ(dropped.back(), first.call);
}

TEST_F(CopyingTest, ThereIsOneCopyOnly) {
  start_reducer(3);
  apply_route("  second_copy: {after: 100ms}\n");
  request(1);
  run_until(now + 600 * kMs);
  EXPECT_EQ(start_count(), 2U);
}

TEST_F(CopyingTest, ASpentRetryBudgetAllowsNoCopy) {
  start_reducer();
  apply_route("  second_copy: {after: 100ms}\n  retries: {share: 0, floor: 0}\n");
  request(1);
  run_until(now + 600 * kMs);
  EXPECT_EQ(start_count(), 1U);
}

// Guards against an operator's file that was checked against other settings: the decision module's own rules
// hold whatever the file states.
TEST_F(LimitedTest, NoCopyWhereTheSettingsForbidTwoInFlight) {
  start_reducer();
  apply_route("  second_copy: {after: 100ms}\n");
  request(1);
  run_until(now + 400 * kMs);
  EXPECT_EQ(start_count(), 1U);
}

TEST_F(CopyingTest, NoCopyOfAnUnsafeClass) {
  start_reducer();
  apply_file("defaults: {second_copy: {after: 100ms}}\n");
  request(1, "once");
  run_until(now + 600 * kMs);
  EXPECT_EQ(start_count(), 1U);
}

}  // namespace
}  // namespace orchidgw::core
