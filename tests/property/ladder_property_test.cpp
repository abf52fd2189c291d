// Properties of the ladder of service levels for random signals: the number of changes in a window stays
// within its bound, the ladder goes up one level at a time, each level is kept for its minimum stay, and with
// good signals every level is left.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <random>

#include "../service_level/levels.h"

namespace orchidgw::service_level {
namespace {

std::string ladder_file(int level_count, int max_changes, int min_stay_s, int trial_wait_s) {
  std::string body = "levels:\n  changes: {most: " + std::to_string(max_changes) +
                     ", within: 5m}\n  trial: {step: 3s, wait: " + std::to_string(trial_wait_s) +
                     "s}\n  list:\n";
  for (int i = 0; i < level_count; ++i) {
    body += "  - name: l" + std::to_string(i) +
            "\n    enter: {any: [{signal: slowdown, above: " + std::to_string(2 + i) +
            ", for: 1s}, {signal: buffers, above: 80%, for: 2s}]}\n" +
            "    leave: {all: [{signal: slowdown, below: 1.5, for: 2s}, {signal: buffers, below: 50%, for: "
            "2s}]}\n" +
            "    least_stay: " + std::to_string(min_stay_s) + "s\n    effects: {shed: [{class: report}]}\n";
  }
  return body;
}

class LadderProperties : public ::testing::Test {
 protected:
  static void SetUpTestSuite() { ::setenv("RC_PARAMS", "seed=20261201 max_success=120", 1); }
};

TEST_F(LadderProperties, HoldForAnySignals) {
  EXPECT_TRUE(rc::check([] {
    const int level_count = *rc::gen::inRange(1, 4);
    const int max_changes = *rc::gen::inRange(2, 8);
    const int min_stay_s = *rc::gen::elementOf(std::vector<int>{1, 5, 20});
    const auto file = levels_of(
        ladder_file(level_count, max_changes, min_stay_s, *rc::gen::elementOf(std::vector<int>{1, 30})));
    std::vector<const Level*> levels;
    for (const Level& level : file->levels) levels.push_back(&level);
    Ladder ladder(levels, file->trial, file->changes);
    FakeSignals signals;
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    TimeUs now = kStart;
    std::deque<TimeUs> change_times;
    TimeUs entered_at = 0;
    const auto advance = [&](TimeUs duration) {
      const std::size_t height_before = ladder.active_level_count();
      now += duration;
      const auto change = ladder.sample(now, signals);
      const std::size_t height_after = ladder.active_level_count();
      RC_ASSERT(height_after <= height_before + 1);
      RC_ASSERT(height_before == height_after || (change && !change->trial && !change->reason.empty()));
      if (height_before == height_after) return;
      while (!change_times.empty() && change_times.front() <= now - 300 * kSecond) change_times.pop_front();
      change_times.push_back(now);
      RC_ASSERT(static_cast<int>(change_times.size()) <= max_changes);
      if (height_before > 0) RC_ASSERT(now - entered_at >= min_stay_s * kSecond);
      entered_at = now;
    };
    for (int i = 0; i < 4'000; ++i) {
      if (random() % 8 == 0) signals.values[Signal::kSlowdown] = static_cast<double>(random() % 60) / 10;
      if (random() % 8 == 0) signals.values[Signal::kBuffers] = static_cast<double>(random() % 11) / 10;
      if (random() % 200 == 0) signals.values.clear();
      advance(random() % 50 == 0 ? static_cast<TimeUs>(random() % 5'000) * kMs : kSampleInterval);
    }
    signals.values = {{Signal::kSlowdown, 1}, {Signal::kBuffers, 0.1}};
    for (int i = 0; i < 4 * 3'600 && ladder.active_level_count() > 0; ++i) advance(kSampleInterval);
    RC_ASSERT(ladder.active_level_count() == 0U);
  }));
}

}  // namespace
}  // namespace orchidgw::service_level
