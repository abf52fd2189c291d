// What levels do to queries: who is shed, with which retry-after, and other effects; and how signals are
// measured and recorded.
#include <list>
#include <set>
#include <sstream>

#include "levels.h"

namespace orchidgw::service_level {
namespace {

class ServiceLevelTest : public ::testing::Test {
 protected:
  void enter(const std::string& body) {
    levels.activate(now, levels_of(body));
    run_until_entered();
  }

  // Reports slow attempts until a level is active.
  void run_until_entered() {
    for (int i = 0; i < 200 && !levels.any_level_active(); ++i) {
      now += kSampleInterval;
      for (int k = 0; k < 10; ++k) levels.meters()->attempt_succeeded(now, "s-0", 8);
      levels.sample(now, {});
    }
    ASSERT_TRUE(levels.any_level_active());
  }

  ShedCandidate report(const std::string& identity, const std::string& tenant = "acme") {
    identities.push_back(identity);
    return {"report", tenant, identities.back(), false};
  }

  std::string with_share(const std::string& shed, const std::string& more = "") {
    return "levels:\n  list:\n  - name: reduced\n" + more +
           "    enter: {signal: slowdown, above: 3, for: 1s}\n    leave: {signal: slowdown, below: 1.5}\n"
           "    effects: {shed: [" +
           shed + "]}\n";
  }

  ServiceLevel levels;
  TimeUs now = kStart;
  std::list<std::string> identities;
};

TEST_F(ServiceLevelTest, WithoutLevelsItDoesNothing) {
  levels.activate(now, nullptr);
  EXPECT_FALSE(levels.has_levels());
  EXPECT_EQ(levels.shedding_level(report("x")), nullptr);
  EXPECT_EQ(levels.wrap_query_limits(nullptr, "acme", now), nullptr);
  EXPECT_EQ(levels.limits_scale(), 1);
}

TEST_F(ServiceLevelTest, ShedsTheStatedShareByHash) {
  enter(with_share("{class: report, share: 30%}"));
  int shed = 0;
  for (int i = 0; i < 4'000; ++i)
    shed += levels.shedding_level(report("q" + std::to_string(i))) != nullptr ? 1 : 0;
  EXPECT_NEAR(shed, 1'200, 120);
  const ShedCandidate lookup{"lookup", "acme", "q1", false};
  EXPECT_EQ(levels.shedding_level(lookup), nullptr);
}

// Guards against clients that get past shedding by retrying.
TEST_F(ServiceLevelTest, ARepeatGetsTheSameAnswer) {
  enter(with_share("{class: report, share: 50%}"));
  for (int i = 0; i < 200; ++i) {
    const std::string id = "q" + std::to_string(i);
    const bool shed = levels.shedding_level(report(id)) != nullptr;
    for (int k = 0; k < 5; ++k) EXPECT_EQ(levels.shedding_level(report(id)) != nullptr, shed);
  }
}

// Guards against a refusal that would tell the client that its earlier try never ran.
TEST_F(ServiceLevelTest, AKeyThatMayHaveRunIsNeverShed) {
  enter(with_share("{class: load}"));
  EXPECT_NE(levels.shedding_level({"load", "acme", "key", false}), nullptr);
  EXPECT_EQ(levels.shedding_level({"load", "acme", "key", true}), nullptr);
}

// Guards against one tenant's flood reducing service for other tenants.
TEST_F(ServiceLevelTest, ALevelOfATenantMeetsThatTenantAlone) {
  enter(with_share("{class: report}", "    tenant: beta\n"));
  EXPECT_NE(levels.shedding_level(report("x", "beta")), nullptr);
  EXPECT_EQ(levels.shedding_level(report("x", "acme")), nullptr);
  EXPECT_EQ(levels.general_level(), "full");
}

TEST_F(ServiceLevelTest, ThoseShedAreToldToComeBackAtDifferentTimes) {
  enter(with_share("{class: report}"));
  std::set<TimeUs> times;
  for (int i = 0; i < 100; ++i) {
    const TimeUs in = levels.retry_after(report("q" + std::to_string(i)), 1'000 * kMs);
    EXPECT_GE(in, 500 * kMs);
    EXPECT_LE(in, 1'000 * kMs);
    times.insert(in);
  }
  EXPECT_GT(times.size(), 90U);
}

TEST_F(ServiceLevelTest, ATrialLetsInAPartOfThoseThatWereShedAndNoneElse) {
  enter(with_share("{class: report, share: 80%}") + "  trial: {parts: [50%], step: 60s}\n");
  std::vector<bool> before;
  for (int i = 0; i < 1'000; ++i)
    before.push_back(levels.shedding_level(report("q" + std::to_string(i))) != nullptr);
  for (int i = 0; i < 400; ++i) {
    now += kSampleInterval;
    for (int k = 0; k < 10; ++k) levels.meters()->attempt_succeeded(now, "s-0", 1);
    const auto changes = levels.sample(now, {});
    if (!changes.empty()) break;
  }
  int still = 0;
  for (int i = 0; i < 1'000; ++i) {
    const bool shed = levels.shedding_level(report("q" + std::to_string(i))) != nullptr;
    still += shed ? 1 : 0;
    EXPECT_TRUE(!shed || before[static_cast<std::size_t>(i)]);
  }
  EXPECT_NEAR(still, 400, 60);
}

TEST_F(ServiceLevelTest, EffectsHoldForQueriesThatBeganBefore) {
  levels.activate(
      now, levels_of("levels:\n  list:\n  - name: reduced\n    enter: {signal: slowdown, above: 3, for: 1s}\n"
                     "    leave: {signal: slowdown, below: 1.5}\n"
                     "    effects: {shed: [{class: report}], further_attempts: off, longest_hold: 100ms, "
                     "limits: 50%}\n"));
  const auto limits = levels.wrap_query_limits(nullptr, "acme", now);
  EXPECT_TRUE(limits->may_send(now, 1, 0));
  EXPECT_EQ(limits->hold_until(now + kSecond), now + kSecond);
  const TimeUs taken = now;
  run_until_entered();
  EXPECT_FALSE(limits->may_send(now, 1, 0));
  EXPECT_FALSE(limits->may_follow(now, OutcomeKind::kError, 1));
  EXPECT_TRUE(limits->may_send(now, 0, 0));  // the first attempt is not a further one
  EXPECT_EQ(limits->hold_until(taken + kSecond), taken + 100 * kMs);
  EXPECT_EQ(levels.limits_scale(), 0.5);
}

TEST_F(ServiceLevelTest, OffForCopiesLeavesOtherAttempts) {
  enter(
      "levels:\n  list:\n  - name: reduced\n    enter: {signal: slowdown, above: 3, for: 1s}\n"
      "    leave: {signal: slowdown, below: 1.5}\n    effects: {second_copies: off}\n");
  const auto limits = levels.wrap_query_limits(nullptr, "acme", now);
  EXPECT_FALSE(limits->may_send(now, 1, 1));
  EXPECT_TRUE(limits->may_send(now, 1, 0));
}

TEST_F(ServiceLevelTest, TheFileSetsALevelByHandUntilItsTime) {
  const std::string body =
      with_share("{class: report}") + "  manual: {level: reduced, until: 1970-01-01T00:17:00Z}\n";
  levels.activate(now, levels_of(body));  // 20 s from now
  levels.sample(now, {});
  EXPECT_NE(levels.shedding_level(report("x")), nullptr);
  ServiceLevel later;
  later.activate(now + 60 * kSecond, levels_of(body));
  later.sample(now + 60 * kSecond, {});
  EXPECT_FALSE(later.any_level_active());
}

TEST_F(ServiceLevelTest, AReloadWithoutLevelsEndsThem) {
  enter(with_share("{class: report}"));
  levels.activate(now, nullptr);
  EXPECT_EQ(levels.shedding_level(report("x")), nullptr);
}

TEST(Meters, ASignalNeedsEnoughToTell) {
  const SignalKey late{Signal::kLateShare, "lookup", "", 5 * kSecond};
  const SignalKey arrivals{Signal::kArrivals, "", "beta", 5 * kSecond};
  Meters meters({late, arrivals});
  EXPECT_FALSE(meters.value(kStart, late));
  for (int i = 0; i < 4; ++i) meters.query_answered(kStart, "lookup", "acme", true);
  EXPECT_FALSE(meters.value(kStart, late));
  for (int i = 0; i < 6; ++i) meters.query_answered(kStart, "lookup", "acme", false);
  meters.query_answered(kStart, "report", "acme", true);
  EXPECT_NEAR(*meters.value(kStart, late), 0.4, 1e-9);
  EXPECT_FALSE(meters.value(kStart + 60 * kSecond, late));  // decayed: no new data
  for (int i = 0; i <= 100; ++i) meters.query_arrived(kStart + i * 100 * kMs, "lookup", "beta");
  EXPECT_NEAR(*meters.value(kStart + 10 * kSecond, arrivals), 10, 2);
}

TEST(Meters, TheSlowestEngineStandsOutAgainstTheMean) {
  const SignalKey slowest{Signal::kSlowestEngine, "", "", 10 * kSecond};
  const SignalKey all{Signal::kSlowdown, "", "", 10 * kSecond};
  const SignalKey there{Signal::kInService, "", "", 5 * kSecond};
  Meters meters({slowest, all, there});
  EXPECT_FALSE(meters.value(kStart, there));
  meters.set_engines({"a", "b", "c", "d"}, 3);
  EXPECT_NEAR(*meters.value(kStart, there), 0.75, 1e-9);
  for (int i = 0; i < 100; ++i)
    for (const char* id : {"a", "b", "c", "d"})
      meters.attempt_succeeded(kStart + i, id, id[0] == 'd' ? 9 : 1);
  EXPECT_NEAR(*meters.value(kStart + 100, all), 3, 0.01);
  EXPECT_NEAR(*meters.value(kStart + 100, slowest), 3, 0.01);
}

TEST(Recorder, WhatItWritesIsWhatReplayReads) {
  const SignalKey slow{Signal::kSlowdown, "", "", 5 * kSecond};
  const SignalKey late{Signal::kLateShare, "lookup", "beta", 2 * kSecond};
  Recorder recorder({slow, late});
  FakeSignals signals;
  for (std::size_t i = 0; i < Recorder::kMaxSamples + 10; ++i) {
    signals.values[Signal::kSlowdown] = static_cast<double>(i);
    recorder.record(kStart + static_cast<TimeUs>(i) * kSampleInterval, signals);
  }
  EXPECT_EQ(recorder.samples(), Recorder::kMaxSamples);
  std::stringstream csv;
  recorder.write(csv, "");
  Recording recording(csv);
  EXPECT_TRUE(recording.has(late));
  std::size_t n = 0;
  for (; recording.next(); ++n) {
    EXPECT_EQ(recording.value(0, slow), static_cast<double>(n + 10));
    EXPECT_FALSE(recording.value(0, late));
    EXPECT_EQ(recording.at(), kStart + static_cast<TimeUs>(n + 10) * kSampleInterval);
  }
  EXPECT_EQ(n, Recorder::kMaxSamples);
}

TEST(Recorder, ABadRecordingNamesItsLine) {
  const auto why = [](const std::string& text) {
    std::istringstream in(text);
    try {
      Recording recording(in);
    } catch (const std::runtime_error& e) {
      return std::string(e.what());
    }
    return std::string("good");
  };
  EXPECT_EQ(why(""), "line 1: empty: expected a first line with the signals' names");
  EXPECT_EQ(why("time,slowdown/-/-/5000\n"), "line 1: the first column must be time_ms");
  EXPECT_EQ(why("time_ms,a\n1,2\n1,2,3\n"), "line 3: 2 values expected, 3 found");
  EXPECT_EQ(why("time_ms,a\n1,x\n"), "line 2: a is not a number");
  EXPECT_EQ(why("time_ms,a\n2,1\n1,1\n"), "line 3: the time goes backwards");
  EXPECT_EQ(why("time_ms,a\n1,\n2,0.5\n"), "good");
}

}  // namespace
}  // namespace orchidgw::service_level
