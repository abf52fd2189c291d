// Limiter with a simulated clock: which queries are admitted, queued or refused; what a reload carries over.
#include <set>

#include "deployment.h"

namespace orchidgw::limits {
namespace {

constexpr TimeUs kStart = 1'000 * kSecond;
using Kind = Verdict::Kind;

class LimiterTest : public ::testing::Test {
 protected:
  void activate_file(const std::string& body) { limiter.activate(now, limits_of(body, settings)); }

  Verdict admit(QueryId id, int c = 0, TimeUs budget = 5 * kSecond) {
    return limiter.admit(now, {id, c, "acme", "sales_1.orders", c == 2, budget});
  }

  std::vector<std::string> ended_waits_until(TimeUs until) {
    std::vector<std::string> out;
    while (limiter.next_due() && *limiter.next_due() <= until) {
      now = std::max(now, *limiter.next_due());
      const auto release = limiter.next_ended_wait(now);
      if (!release) continue;
      const bool in = release->verdict.kind == Kind::kAdmit;
      out.push_back(std::to_string(release->id) +
                    (in ? " in" : std::string(" ") + name_of(release->verdict.reason)) + " at " +
                    std::to_string((now - kStart) / kMs));
    }
    now = until;
    return out;
  }

  Settings settings = test_settings();
  Limiter limiter{settings, 1};
  TimeUs now = kStart;
};

TEST_F(LimiterTest, WithoutAFileItKeepsNothing) {
  EXPECT_EQ(admit(1).kind, Kind::kAdmit);
  EXPECT_EQ(limiter.query_limits(1), nullptr);
  EXPECT_EQ(limiter.tracked_query_count(), 0U);
  EXPECT_EQ(limiter.effective_timeout(1, 7 * kSecond), 7 * kSecond);
}

TEST_F(LimiterTest, HoldsByTheRateAndLetsInInTurn) {
  activate_file(
      "routes:\n- name: r\n  match: {class: lookup}\n  rate: {per_second: 10, burst: 2}\n  longest_hold: "
      "450ms\n");
  EXPECT_EQ(admit(1).kind, Kind::kAdmit);
  EXPECT_EQ(admit(2).kind, Kind::kAdmit);
  for (QueryId id = 3; id <= 6; ++id) EXPECT_EQ(admit(id).kind, Kind::kWait) << id;
  // Its token would come after its longest hold: it is refused at once, with a retry-after up to that token.
  const Verdict late = admit(7);
  EXPECT_EQ(late.kind, Kind::kRefuse);
  EXPECT_EQ(late.reason, Reason::kRate);
  EXPECT_EQ(late.retry_after, 500 * kMs);     // the settings' maximum
  EXPECT_EQ(admit(8, 1).kind, Kind::kAdmit);  // another route
  const std::vector<std::string> in = {"3 in at 100", "4 in at 200", "5 in at 300", "6 in at 400"};
  EXPECT_EQ(ended_waits_until(kStart + kSecond), in);
  EXPECT_EQ(limiter.waiting(), 0U);
}

TEST_F(LimiterTest, HoldsForAPlaceUntilOneIsFree) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  concurrency: 2\n  longest_hold: 1s\n");
  admit(1);
  admit(2);
  EXPECT_EQ(admit(3).kind, Kind::kWait);
  EXPECT_EQ(admit(4).kind, Kind::kWait);
  EXPECT_TRUE(ended_waits_until(kStart + 300 * kMs).empty());
  limiter.query_ended(now, 1);
  EXPECT_EQ(ended_waits_until(kStart + 300 * kMs), std::vector<std::string>{"3 in at 300"});
  EXPECT_EQ(ended_waits_until(kStart + 2 * kSecond), std::vector<std::string>{"4 held_too_long at 1000"});
  limiter.query_ended(now, 2);
  limiter.query_ended(now, 3);
  EXPECT_EQ(limiter.tracked_query_count(), 0U);
}

TEST_F(LimiterTest, ALineHasItsBound) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  concurrency: 1\n  line: 2\n");
  admit(1);
  EXPECT_EQ(admit(2).kind, Kind::kWait);
  EXPECT_EQ(admit(3).kind, Kind::kWait);
  const Verdict full = admit(4);
  EXPECT_EQ(full.reason, Reason::kQueueFull);
  EXPECT_GT(full.retry_after, 0);
  limiter.query_ended(now, 2);  // its client disconnected
  EXPECT_EQ(admit(5).kind, Kind::kWait);
}

// Guards against a wait longer than the client's: the query is answered in time, whatever longest_hold says.
TEST_F(LimiterTest, AWaitEndsBeforeTheQuerysTime) {
  activate_file("routes:\n- name: r\n  match: {class: report}\n  concurrency: 1\n  longest_hold: 10s\n");
  admit(1, 1);
  EXPECT_EQ(admit(2, 1, 2 * kSecond).kind, Kind::kWait);
  EXPECT_EQ(ended_waits_until(kStart + 5 * kSecond), std::vector<std::string>{"2 held_too_long at 1940"});
}

TEST_F(LimiterTest, WithoutALongestHoldAWaitEndsAtTheLatencyTarget) {
  activate_file("routes:\n- name: r\n  match: {class: report}\n  concurrency: 1\n");
  admit(1, 1);
  admit(2, 1);
  EXPECT_EQ(ended_waits_until(kStart + 5 * kSecond), std::vector<std::string>{"2 concurrency at 1000"});
}

TEST_F(LimiterTest, AClosedRouteRefusesAtOnce) {
  activate_file("routes:\n- name: r\n  match: {class: lookup, tenant: acme}\n  concurrency: 0\n");
  const Verdict closed = admit(1);
  EXPECT_EQ(closed.reason, Reason::kClosed);
  EXPECT_EQ(closed.retry_after, 500 * kMs);
}

TEST_F(LimiterTest, WithoutRetryAfterInTheSettingsNoTimeIsTold) {
  settings.limits.retry_after = false;
  limiter = Limiter(settings, 1);
  activate_file("routes:\n- name: r\n  match: {class: lookup, tenant: acme}\n  concurrency: 0\n");
  EXPECT_EQ(admit(1).retry_after, 0);
}

// Guards against a queue that grows with clients that disconnect while the first query in it still waits.
TEST_F(LimiterTest, AQueueDoesNotGrowWithClientsThatDisconnect) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  concurrency: 1\n  longest_hold: 4s\n");
  admit(1);
  admit(2);
  for (QueryId id = 3; id < 10'000; ++id) {
    EXPECT_EQ(admit(id).kind, Kind::kWait);
    limiter.query_ended(now, id);
  }
  const auto states = limiter.route_states();
  EXPECT_LT(states[0]->queue.size(), 200U);
  EXPECT_EQ(states[0]->waiting, 1);
  limiter.query_ended(now, 1);
  EXPECT_EQ(ended_waits_until(now + 1), std::vector<std::string>{"2 in at 0"});
}

TEST_F(LimiterTest, TheRoutesTimeoutIsTheSmaller) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  timeout: 2s\n");
  admit(1);
  EXPECT_EQ(limiter.effective_timeout(1, 5 * kSecond), 2 * kSecond);
  EXPECT_EQ(limiter.effective_timeout(1, 1 * kSecond), 1 * kSecond);
}

constexpr const char* kThreeAttempts =
    "routes:\n- name: r\n  match: {class: lookup}\n  attempts: 3\n  retries: {share: 0, floor: 2}\n";
constexpr const char* kOneAttempt = "routes:\n- name: r\n  match: {class: lookup}\n  attempts: 1\n";

TEST_F(LimiterTest, AReloadLeavesAQueryTheAttemptsWithWhichItBegan) {
  activate_file(kThreeAttempts);
  admit(1);
  limiter.attempt_sent(now, 1);
  activate_file(kOneAttempt);
  admit(2);
  limiter.attempt_sent(now, 2);
  EXPECT_TRUE(limiter.query_limits(1)->may_follow(now, OutcomeKind::kError, 1));
  EXPECT_FALSE(limiter.query_limits(2)->may_follow(now, OutcomeKind::kError, 1));
  EXPECT_EQ(limiter.retry_denial_reason(2), Reason::kMaxAttempts);
}

TEST_F(LimiterTest, BudgetsPlacesAndTokensCarryOverWithTheName) {
  const std::string body =
      "routes:\n- name: r\n  match: {class: lookup}\n  concurrency: 2\n  rate: {per_second: 1, burst: 2}\n"
      "  retries: {share: 0, floor: 1}\n";
  activate_file(body);
  admit(1);
  admit(2);
  limiter.attempt_sent(now, 1);
  limiter.attempt_sent(now, 1);
  activate_file(body);
  EXPECT_NE(admit(3).kind, Kind::kAdmit);
  EXPECT_FALSE(limiter.query_limits(2)->may_follow(now, OutcomeKind::kError, 1));
  EXPECT_EQ(limiter.retry_denial_reason(2), Reason::kRetryBudget);
  EXPECT_EQ(limiter.route_states()[0]->under_way, 2);
}

TEST_F(LimiterTest, AReloadThatOpensTheBoundLetsTheLineIn) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  concurrency: 1\n");
  admit(1);
  admit(2);
  admit(3);
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  concurrency: 9\n");
  EXPECT_EQ(ended_waits_until(now + 1), (std::vector<std::string>{"2 in at 0", "3 in at 0"}));
}

TEST_F(LimiterTest, ARouteThatGoesStillServesItsLine) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  concurrency: 1\n");
  admit(1);
  admit(2);
  activate_file("defaults: {attempts: 2}\n");
  EXPECT_EQ(admit(3).kind, Kind::kAdmit);  // under the new file
  limiter.query_ended(now, 1);
  EXPECT_EQ(ended_waits_until(now + 1), std::vector<std::string>{"2 in at 0"});
}

TEST_F(LimiterTest, AReloadThatClosesARouteAnswersItsLineAtOnce) {
  activate_file("routes:\n- name: r\n  match: {class: lookup, tenant: acme}\n  concurrency: 1\n");
  admit(1);
  admit(2);
  activate_file("routes:\n- name: r\n  match: {class: lookup, tenant: acme}\n  concurrency: 0\n");
  EXPECT_EQ(ended_waits_until(now + 1), std::vector<std::string>{"2 closed at 0"});
}

TEST_F(LimiterTest, TheBudgetOverAllRoutesHoldsBesideTheRoutes) {
  activate_file("retries: {share: 0, floor: 1}\n" + std::string(kThreeAttempts));
  admit(1);
  admit(2, 1);  // another route
  limiter.attempt_sent(now, 2);
  limiter.attempt_sent(now, 2);
  EXPECT_FALSE(limiter.query_limits(1)->may_follow(now, OutcomeKind::kError, 1));
}

TEST_F(LimiterTest, BackOffGrowsAndIsSpread) {
  activate_file(
      "routes:\n- name: r\n  match: {class: lookup}\n  back_off: {first: 100ms, most: 300ms, factor: 2, "
      "jitter: 0.5}\n");
  std::set<TimeUs> delays;
  for (QueryId id = 1; id <= 20; ++id) {
    admit(id);
    const auto query_limits = limiter.query_limits(id);
    TimeUs most = 100 * kMs;
    for (int sent = 1; sent <= 3; ++sent) {
      limiter.attempt_sent(now, id);
      limiter.attempt_ended(now, id, OutcomeKind::kError, kMs, 0);
      const TimeUs delay = query_limits->next_send_at() - now;
      EXPECT_LE(delay, most);
      EXPECT_GE(delay, most / 2);
      EXPECT_FALSE(query_limits->may_send(now, sent, 0));
      delays.insert(delay);
      most = std::min<TimeUs>(2 * most, 300 * kMs);
    }
  }
  EXPECT_GT(delays.size(), 50U);
}

TEST_F(LimiterTest, OnlyTheStatedEndsAreTriedAgain) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  retry_on: [connect_failed]\n");
  admit(1);
  EXPECT_TRUE(limiter.query_limits(1)->may_follow(now, OutcomeKind::kConnectFailed, 1));
  EXPECT_FALSE(limiter.query_limits(1)->may_follow(now, OutcomeKind::kError, 1));
  EXPECT_EQ(limiter.retry_denial_reason(1), Reason::kOutcomeNotRetried);
}

TEST_F(LimiterTest, ACopyComesAfterItsDelayOnceAndNeverOfAnUnsafeClass) {
  activate_file("routes:\n- name: r\n  match: {class: lookup}\n  second_copy: {after: 200ms}\n");
  admit(1);
  const auto query_limits = limiter.query_limits(1);
  EXPECT_FALSE(query_limits->second_copy_due(now + 199 * kMs, now, 1));
  EXPECT_TRUE(query_limits->second_copy_due(now + 200 * kMs, now, 1));
  EXPECT_FALSE(query_limits->second_copy_due(now + 200 * kMs, now, 2));
  const RouteQueryLimits unsafe(
      std::make_shared<RouteLimits>(limiter.active_set()->find(0, "", "", false).operator*()),
      std::make_shared<RouteState>(), nullptr, nullptr, false, 1, now);
  EXPECT_FALSE(unsafe.second_copy_due(now + kSecond, now, 1));
}

TEST_F(LimiterTest, ACopyAfterAQuantileFollowsWhatItsClassTakes) {
  activate_file(
      "routes:\n- name: r\n  match: {class: lookup}\n  second_copy: {after_quantile: 0.9, at_most: 2s}\n");
  admit(1);
  const auto query_limits = limiter.query_limits(1);
  EXPECT_FALSE(query_limits->second_copy_due(now + 7 * kSecond, now, 1));  // no latencies are known yet
  for (int i = 1; i <= 100; ++i) limiter.attempt_ended(now, 1, OutcomeKind::kOk, i * 10 * kMs, 0);
  EXPECT_FALSE(query_limits->second_copy_due(now + 800 * kMs, now, 1));
  EXPECT_TRUE(query_limits->second_copy_due(now + 1100 * kMs, now, 1));
  for (int i = 1; i <= 1'000; ++i) limiter.attempt_ended(now, 1, OutcomeKind::kOk, 6 * kSecond, 0);
  EXPECT_TRUE(query_limits->second_copy_due(now + 2 * kSecond, now, 1));  // bounded by at_most
}

TEST_F(LimiterTest, AnAdaptiveBoundShrinksWithSlowAnswers) {
  activate_file(
      "routes:\n- name: r\n  match: {class: lookup}\n  concurrency: {least: 2, most: 40}\n  line: 0\n");
  QueryId id = 0;
  const auto admit_until_refused = [&] {
    int n = 0;
    while (admit(++id).kind == Kind::kAdmit) ++n;
    return n;
  };
  EXPECT_EQ(admit_until_refused(), 40);
  for (int i = 0; i < 64; ++i) limiter.attempt_ended(now, 1, OutcomeKind::kOk, 100 * kMs, 100 * kMs);
  for (int i = 0; i < 640; ++i) limiter.attempt_ended(now, 1, OutcomeKind::kOk, 900 * kMs, 100 * kMs);
  for (QueryId q = 1; q <= id; ++q) limiter.query_ended(now, q);
  const int reduced = admit_until_refused();
  EXPECT_LT(reduced, 10);
  EXPECT_GE(reduced, 2);
}

}  // namespace
}  // namespace orchidgw::limits
