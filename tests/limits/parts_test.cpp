// The parts of the limits, with a simulated clock: route lookup, retry budgets, token buckets, adaptive
// bounds and latency quantiles.
#include <deque>
#include <random>
#include <set>
#include <tuple>

#include "deployment.h"

namespace orchidgw::limits {
namespace {

constexpr TimeUs kStart = 1'000 * kSecond;

std::string matching_route(const LimitSet& set, int c, const char* tenant, const char* table, bool keyed) {
  return set.find(c, tenant, table, keyed)->name;
}

constexpr const char* kRoutes = R"(routes:
- {name: class, match: {class: lookup}}
- {name: class-tenant, match: {class: lookup, tenant: acme}}
- {name: class-table, match: {class: lookup, table: sales_17.orders}}
- {name: class-prefix, match: {class: lookup, table: sales_*}}
- {name: class-longer, match: {class: lookup, table: sales_17*}}
- {name: class-longer-keyed, match: {class: lookup, table: sales_17.o*, key: given}}
- {name: tenant, match: {tenant: acme}}
- {name: table, match: {table: sales_17.orders}}
- {name: keyed, match: {key: given}}
)";

TEST(RouteTable, TheMostSpecificWins) {
  const auto set = limits_of(kRoutes);
  EXPECT_EQ(matching_route(*set, 0, "beta", "stock_1.items", false), "class");
  EXPECT_EQ(matching_route(*set, 0, "acme", "stock_1.items", false), "class-tenant");
  // The tenant precedes the table, whatever the table is.
  EXPECT_EQ(matching_route(*set, 0, "acme", "sales_17.orders", false), "class-tenant");
  EXPECT_EQ(matching_route(*set, 0, "beta", "sales_17.orders", false), "class-table");
  EXPECT_EQ(matching_route(*set, 0, "beta", "sales_3.orders", false), "class-prefix");
  EXPECT_EQ(matching_route(*set, 0, "beta", "sales_17.lines", false), "class-longer");
  EXPECT_EQ(matching_route(*set, 0, "beta", "sales_17.other", true), "class-longer-keyed");
  // The longer prefix matches only keyed queries, and this one has no key: the shorter prefix matches.
  EXPECT_EQ(matching_route(*set, 0, "beta", "sales_17.other", false), "class-longer");
  EXPECT_EQ(matching_route(*set, 1, "acme", "sales_17.orders", false), "tenant");
  EXPECT_EQ(matching_route(*set, 1, "beta", "sales_17.orders", true), "table");
  EXPECT_EQ(matching_route(*set, 1, "beta", "x", true), "keyed");
  EXPECT_EQ(matching_route(*set, 1, "beta", "", false), "defaults");
}

// Compares with a linear search: the result must not depend on the order of the routes in the file.
TEST(RouteTable, AgreesWithAPlainSearchInAnyOrder) {
  std::mt19937 random(7);
  const std::vector<std::string> tables = {"a", "ab", "abc", "abd", "b", "ba", "bab"};
  const auto score = [](const Match& m) {
    return std::tuple(m.class_name.has_value(), m.tenant.has_value(),
                      !m.table                ? 0
                      : m.table->value.prefix ? m.table->value.text.size()
                                              : 1000U,
                      m.key.has_value());
  };
  for (int round = 0; round < 200; ++round) {
    std::vector<Route> routes;
    std::set<std::string> seen;
    for (int i = 0; i < 25; ++i) {
      Route route;
      route.name = "r" + std::to_string(i);
      if (random() % 2 == 0) route.match.class_name = {random() % 2 == 0 ? "lookup" : "report", {}};
      if (random() % 3 == 0) route.match.tenant = {random() % 2 == 0 ? "acme" : "beta", {}};
      if (random() % 2 == 0)
        route.match.table = {TablePattern{tables[random() % tables.size()], random() % 2 == 0}, {}};
      if (random() % 3 == 0) route.match.key = {random() % 2 == 0 ? KeyMatch::kGiven : KeyMatch::kAbsent, {}};
      const auto& m = route.match;
      const std::string id = (m.class_name ? m.class_name->value : "*") + "|" +
                             (m.tenant ? m.tenant->value : "*") + "|" +
                             (m.table ? m.table->value.text + (m.table->value.prefix ? "^" : "") : "*") +
                             "|" + std::to_string(static_cast<int>(m.key_or_any()));
      if (seen.insert(id).second) routes.push_back(route);
    }
    const RouteTable table(test_settings(), routes);
    for (int q = 0; q < 40; ++q) {
      const int c = static_cast<int>(random() % 2);
      const std::string class_name = c == 0 ? "lookup" : "report";
      const std::string tenant = random() % 2 == 0 ? "acme" : "beta";
      const std::string name = random() % 5 == 0 ? "" : tables[random() % tables.size()];
      const bool keyed = random() % 2 == 0;
      int best = RouteTable::kNone;
      for (std::size_t i = 0; i < routes.size(); ++i) {
        const Match& m = routes[i].match;
        if (m.class_name && m.class_name->value != class_name) continue;
        if (m.tenant && m.tenant->value != tenant) continue;
        if (m.key && (m.key->value == KeyMatch::kGiven) != keyed) continue;
        if (m.table && (name.empty() || (m.table->value.prefix ? !name.starts_with(m.table->value.text)
                                                               : name != m.table->value.text)))
          continue;
        if (best == RouteTable::kNone || score(m) > score(routes[static_cast<std::size_t>(best)].match))
          best = static_cast<int>(i);
      }
      ASSERT_EQ(table.find(c, tenant, name, keyed), best) << round;
    }
  }
}

// Guards against a budget that is looser than the exact window at some position of its edges.
TEST(RetryBudget, KeepsToTheExactSlidingWindow) {
  std::mt19937 random(11);
  const RetryBudgetSettings settings{0.2, 2, 10 * kSecond};
  RetryBudget budget(settings);
  std::deque<TimeUs> queries, attempts;
  TimeUs now = kStart;
  int allowed = 0;
  for (int i = 0; i < 20'000; ++i) {
    now += static_cast<TimeUs>(random() % 40) * kMs + static_cast<TimeUs>(random() % 3) - 1;
    while (!queries.empty() && queries.front() <= now - settings.window) queries.pop_front();
    while (!attempts.empty() && attempts.front() < now - settings.window) attempts.pop_front();
    if (random() % 3 != 0) {
      budget.record_query(now);
      queries.push_back(now);
    } else if (budget.allows_retry(now)) {
      budget.record_retry(now);
      attempts.push_back(now);
      ++allowed;
      ASSERT_LE(static_cast<double>(attempts.size()),
                settings.floor + settings.share * static_cast<double>(queries.size()) + 1e-9);
    }
  }
  EXPECT_GT(allowed, 1'000);  // it is not much stricter either
}

TEST(RetryBudget, BeginsWithItsFloorAlone) {
  RetryBudget budget({0.5, 1, 10 * kSecond});
  EXPECT_TRUE(budget.allows_retry(kStart));
  budget.record_retry(kStart);
  EXPECT_FALSE(budget.allows_retry(kStart));
  EXPECT_FALSE(budget.allows_retry(kStart + 10 * kSecond));
  EXPECT_TRUE(budget.allows_retry(kStart + 11 * kSecond));
}

TEST(RetryBudget, WhatWasSpentStaysSpentAcrossAChange) {
  RetryBudget budget({0, 2, 10 * kSecond});
  budget.record_retry(kStart);
  budget.record_retry(kStart);
  budget.reconfigure(kStart, {0, 2, 10 * kSecond});
  EXPECT_FALSE(budget.allows_retry(kStart));
  budget.reconfigure(kStart, {0, 2, 20 * kSecond});
  EXPECT_FALSE(budget.allows_retry(kStart + 15 * kSecond));
  EXPECT_TRUE(budget.allows_retry(kStart + 22 * kSecond));
}

// Guards against queries of the old window that count in a new, longer window.
TEST(RetryBudget, ANewWindowForgetsTheQueriesLetIn) {
  RetryBudget budget({1, 0, 10 * kSecond});
  for (int i = 0; i < 5; ++i) budget.record_query(kStart);
  EXPECT_TRUE(budget.allows_retry(kStart + kSecond));
  budget.reconfigure(kStart + kSecond, {1, 0, 20 * kSecond});
  EXPECT_FALSE(budget.allows_retry(kStart + kSecond));
}

TEST(TokenBucket, LetsABurstInAndThenItsRate) {
  TokenBucket bucket({10, 3});
  int taken = 0;
  for (TimeUs now = kStart; now <= kStart + 2 * kSecond; now += kMs) {
    if (!bucket.ready(now)) continue;
    bucket.take(now);
    ++taken;
  }
  EXPECT_EQ(taken, 3 + 20);
}

TEST(TokenBucket, AfterAPauseItHoldsNoMoreThanTheBurst) {
  TokenBucket bucket({10, 2});
  const auto take_all = [&](TimeUs now) {
    int taken = 0;
    while (bucket.ready(now)) bucket.take(now), ++taken;
    return taken;
  };
  EXPECT_EQ(take_all(kStart), 2);
  EXPECT_EQ(take_all(kStart + 100 * kSecond), 2);
  EXPECT_EQ(bucket.next_token_at(), kStart + 100 * kSecond + 100 * kMs);
}

TEST(AdaptiveBound, ShrinksWhileAnswersAreSlowAndComesBack) {
  AdaptiveBound bound({100, 4});
  for (int i = 0; i < 400; ++i) bound.add_answer(1.0, bound.bound());
  EXPECT_EQ(bound.bound(), 100);
  for (int i = 0; i < 400; ++i) bound.add_answer(5.0, bound.bound());
  const int reduced = bound.bound();
  EXPECT_LT(reduced, 30);
  EXPECT_GE(reduced, 4);
  for (int i = 0; i < 2'000; ++i) bound.add_answer(1.0, bound.bound());
  EXPECT_GT(bound.bound(), 90);
}

// Guards against a bound that grows while unused and then admits a whole burst at once.
TEST(AdaptiveBound, GrowsOnlyWhileItIsUsed) {
  AdaptiveBound bound({100, 4});
  for (int i = 0; i < 400; ++i) bound.add_answer(1.0, bound.bound());
  for (int i = 0; i < 400; ++i) bound.add_answer(5.0, bound.bound());
  const int reduced = bound.bound();
  for (int i = 0; i < 400; ++i) bound.add_answer(1.0, 1);
  EXPECT_LE(bound.bound(), reduced);
}

TEST(LatencyQuantiles, TellNothingBeforeEnoughIsLearned) {
  LatencyQuantiles latencies;
  for (int i = 0; i < 40; ++i) latencies.add(100 * kMs);
  EXPECT_FALSE(latencies.at(0.95));
}

TEST(LatencyQuantiles, AreWithinABinOfTheTruth) {
  LatencyQuantiles latencies;
  for (int i = 1; i <= 900; ++i) latencies.add(i * kMs);
  for (const double q : {0.5, 0.9, 0.99}) {
    const auto exact = static_cast<double>(900 * kMs) * q;
    EXPECT_GE(static_cast<double>(*latencies.at(q)), exact * 0.999) << q;
    EXPECT_LE(static_cast<double>(*latencies.at(q)), exact * 1.16) << q;
  }
}

TEST(LatencyQuantiles, FollowAChange) {
  LatencyQuantiles latencies;
  for (int i = 0; i < 5'000; ++i) latencies.add(100 * kMs);
  for (int i = 0; i < 8'000; ++i) latencies.add(400 * kMs);
  EXPECT_GT(*latencies.at(0.5), 350 * kMs);
}

}  // namespace
}  // namespace orchidgw::limits
