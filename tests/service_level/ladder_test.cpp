// One ladder on a simulated clock: entering and leaving levels, trials, and inputs that must not make it
// oscillate.
#include <cmath>

#include "levels.h"

namespace orchidgw::service_level {
namespace {

class LadderTest : public ::testing::Test {
 protected:
  void ladder_of(const std::string& body) {
    file = levels_of(body);
    std::vector<const Level*> levels;
    for (const Level& level : file->levels) levels.push_back(&level);
    ladder = std::make_unique<Ladder>(levels, file->trial, file->changes);
  }

  // Samples every 250 ms; records changes of level as "t: from -> to", other events as "t: reason", t in
  // seconds.
  void run(TimeUs seconds) {
    for (const TimeUs end = now + seconds * kSecond; now < end;) {
      now += kSampleInterval;
      record_event(ladder->sample(now, signals));
    }
  }

  void record_event(const std::optional<LadderEvent>& change) {
    if (!change) return;
    EXPECT_FALSE(change->reason.empty());
    const std::string at = std::to_string((now - kStart) / kSecond) + ": ";
    (change->trial ? trials : changes)
        .push_back(change->trial ? at + change->reason : at + change->from + " -> " + change->to);
    reasons.push_back(change->reason);
  }

  double& slowdown() { return signals.values[Signal::kSlowdown]; }

  std::shared_ptr<const LevelFile> file;
  std::unique_ptr<Ladder> ladder;
  FakeSignals signals;
  TimeUs now = kStart;
  std::vector<std::string> changes, trials, reasons;
};

TEST_F(LadderTest, IsEnteredWhenItsConditionHasHeldForItsTime) {
  ladder_of(one_level());
  slowdown() = 4;
  run(1);
  slowdown() = 2;
  run(1);
  slowdown() = 4;
  run(1);
  EXPECT_EQ(ladder->active_level_count(), 0U);
  run(1);
  EXPECT_EQ(ladder->active_level_count(), 1U);
  EXPECT_EQ(reasons, std::vector<std::string>{"slowdown 4 above 3"});
}

TEST_F(LadderTest, IsLeftByATrialInParts) {
  ladder_of(one_level("  trial: {parts: [10%, 50%], step: 4s}\n"));
  slowdown() = 4;
  run(4);
  slowdown() = 1;
  run(10);
  EXPECT_EQ(ladder->admitted_share(), 0.1);
  run(4);
  EXPECT_EQ(ladder->admitted_share(), 0.5);
  run(6);
  EXPECT_EQ(ladder->active_level_count(), 0U);
  EXPECT_EQ(changes, (std::vector<std::string>{"2: full -> reduced", "20: reduced -> full"}));
}

TEST_F(LadderTest, AFailedTrialWaitsLongerThanTheOneBefore) {
  ladder_of(one_level("  trial: {parts: [50%], step: 5s, wait: 10s, wait_most: 100s}\n"));
  slowdown() = 4;
  run(3);
  std::vector<TimeUs> waits;
  for (int i = 0; i < 3; ++i) {
    slowdown() = 1;
    const TimeUs from = now;
    while (ladder->admitted_share() == 0) run(1);
    waits.push_back((now - from) / kSecond);
    slowdown() = 4;  // the admitted share slows the engines down again
    while (ladder->admitted_share() > 0) run(1);
  }
  EXPECT_LT(waits[0], waits[1] + 3);
  EXPECT_GE(waits[1], 9);
  EXPECT_GE(waits[2], 19);
  EXPECT_EQ(ladder->active_level_count(), 1U);
  EXPECT_EQ(changes.size(), 1U);
}

// Guards against oscillation while the load crosses the threshold every half to five seconds for ten minutes.
TEST_F(LadderTest, LoadThatHoversAtAThresholdMakesAtMostFourChanges) {
  for (const char* more : {"", "  trial: {parts: [10%, 40%], step: 1s, wait: 1s, wait_most: 2s}\n"}) {
    for (const double half_period : {0.5, 1.0, 2.0, 3.0, 5.0}) {
      changes.clear();
      ladder_of(one_level(more));
      for (int i = 0; i < 2'400; ++i) {
        now += kSampleInterval;
        slowdown() = std::fmod(static_cast<double>(i) * 0.25, 2 * half_period) < half_period ? 3.4 : 1.3;
        record_event(ladder->sample(now, signals));
      }
      EXPECT_LE(changes.size(), 4U) << half_period;
    }
  }
}

// Guards against oscillation with two signals in antiphase, one of which is always past its threshold.
TEST_F(LadderTest, TwoSignalsInAntiphaseDoNotMakeItSwing) {
  ladder_of(
      "levels:\n  list:\n  - name: reduced\n    enter:\n      any:\n      - {signal: slowdown, above: 3, "
      "for: 1s}\n"
      "      - {signal: buffers, above: 80%, for: 1s}\n    leave:\n      all:\n"
      "      - {signal: slowdown, below: 2, for: 3s}\n      - {signal: buffers, below: 50%, for: 3s}\n"
      "    least_stay: 5s\n    effects: {shed: [{class: report}]}\n");
  for (int i = 0; i < 2'400; ++i) {
    now += kSampleInterval;
    const bool first = (i / 16) % 2 == 0;
    signals.values[Signal::kSlowdown] = first ? 3.5 : 1;
    signals.values[Signal::kBuffers] = first ? 0.2 : 0.9;
    record_event(ladder->sample(now, signals));
  }
  EXPECT_LE(changes.size(), 4U);
}

// Shedding does not free capacity where the whole fleet is slow: the level must be left, and entered again
// only after a wait that grows each time.
TEST_F(LadderTest, ALevelThatDoesNotHelpLetsGo) {
  ladder_of(one_level("  trial: {wait: 60s, wait_most: 600s}\n  changes: {most: 100, within: 10m}\n"));
  slowdown() = 6;
  TimeUs reduced = 0;
  for (int i = 0; i < 2'400; ++i) {
    now += kSampleInterval;
    record_event(ladder->sample(now, signals));
    reduced += ladder->active_level_count() > 0 ? kSampleInterval : 0;
  }
  ASSERT_GE(changes.size(), 4U);
  EXPECT_NE(reasons[1].find("it did not help: slowdown 6 above 3"), std::string::npos) << reasons[1];
  EXPECT_LT(reduced, 600 * kSecond / 5);
}

TEST_F(LadderTest, NoTrafficIsNoSignalAndTheLevelCanBeLeft) {
  ladder_of(one_level());
  slowdown() = 4;
  run(3);
  ASSERT_EQ(ladder->active_level_count(), 1U);
  signals.values.clear();
  run(60);
  EXPECT_EQ(ladder->active_level_count(), 0U);
  EXPECT_NE(trials[0].find("slowdown is unknown: no data"), std::string::npos) << trials[0];
  run(60);
  EXPECT_EQ(ladder->active_level_count(), 0U);
}

TEST_F(LadderTest, AfterTheLongestStayItIsTried) {
  ladder_of(one_level("    longest_stay: 40s\n"));
  slowdown() = 4;
  run(4);
  slowdown() = 2;  // past neither threshold
  run(35);
  EXPECT_TRUE(trials.empty());
  run(60);
  ASSERT_FALSE(trials.empty());
  EXPECT_NE(trials[0].find("the longest stay is over"), std::string::npos);
  EXPECT_EQ(ladder->active_level_count(), 0U);
}

TEST_F(LadderTest, NoLevelIsSkippedUpwardsAndEachHasItsLeastStay) {
  ladder_of(two_levels());
  slowdown() = 9;
  signals.values[Signal::kLateShare] = 0.9;
  run(20);
  EXPECT_EQ(changes, (std::vector<std::string>{"2: full -> reduced", "12: reduced -> bare"}));
}

// After a stall of the event loop, the signals of a second arrive in one batch. Guards against a level that
// is entered because the whole time since the last sample counts for one sample.
TEST_F(LadderTest, AStallCountsForNoMoreThanAMoment) {
  ladder_of(one_level());
  slowdown() = 1;
  run(1);
  slowdown() = 4;
  now += 10 * kSecond;
  record_event(ladder->sample(now, signals));
  EXPECT_EQ(ladder->active_level_count(), 0U);
}

TEST_F(LadderTest, ALevelSetByHandHoldsUntilItsTimeAndIsLeftAsAnyOther) {
  ladder_of(two_levels());
  slowdown() = 1;
  signals.values[Signal::kLateShare] = 0;
  ladder->override_level("bare", now + 30 * kSecond);
  run(20);
  EXPECT_EQ(ladder->active_level_count(), 2U);
  EXPECT_EQ(reasons[0], "set by hand");
  run(200);
  EXPECT_EQ(ladder->active_level_count(), 0U);
  ladder->override_level("nothing of that name", now + 30 * kSecond);
  run(5);
  EXPECT_EQ(ladder->active_level_count(), 0U);
}

TEST_F(LadderTest, FullServiceCanBeSetByHandAgainstTheSignals) {
  ladder_of(one_level());
  slowdown() = 9;
  ladder->override_level("full", now + 60 * kSecond);
  run(50);
  EXPECT_EQ(ladder->active_level_count(), 0U);
}

TEST_F(LadderTest, ALevelOfTheSameNameStaysInForceOverAReload) {
  ladder_of(two_levels());
  slowdown() = 4;
  run(5);
  const auto before_file = file;
  const auto before = std::move(ladder);
  ladder_of(one_level());
  ladder->adopt_state(*before);
  EXPECT_EQ(ladder->active_level_count(), 1U);
  EXPECT_EQ(ladder->level_since(), before->level_since());
}

TEST_F(LadderTest, ALevelThatIsRenamedIsLeft) {
  ladder_of(one_level());
  slowdown() = 4;
  run(5);
  const auto before_file = file;
  const auto before = std::move(ladder);
  ladder_of(
      "levels:\n  list:\n  - name: other\n    enter: {signal: slowdown, above: 9, for: 2s}\n"
      "    leave: {signal: slowdown, below: 1.5}\n    effects: {shed: [{class: report}]}\n");
  ladder->adopt_state(*before);
  EXPECT_EQ(ladder->active_level_count(), 0U);
  run(30);
  EXPECT_EQ(ladder->active_level_count(), 0U);
}

}  // namespace
}  // namespace orchidgw::service_level
