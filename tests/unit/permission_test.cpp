// What may be started, repeated, refused and closed (decision/permission.h), and when engines count as
// started (decision/engine_starts.h).
#include "decision/permission.h"

#include <gtest/gtest.h>

#include "decision/engine_starts.h"

namespace orchidgw {
namespace {

constexpr TimeUs kMs = 1000;
constexpr TimeUs kSecond = 1000 * kMs;
constexpr TimeUs kNow = 100 * kSecond;
constexpr WallTime kWallNow{1'700'000'000 * kSecond};

class Permission : public ::testing::Test {
 protected:
  Permission() {
    load.effect = Effect::kDeduplicated;
    load.repeat_window = 5 * kSecond;
    limits.max_attempts = 3;
    engine.zone = "a";
    engine.cell = 1;
  }

  Denial denied(std::vector<EarlierAttempt> others = {}) const {
    return start_denied({load, &engine, over, stop_at, limits}, others, kNow);
  }

  static EarlierAttempt ran(TimeUs ago) { return {kNow - ago, false, true, "a", 1}; }

  ClassSettings load;
  Limits limits;
  EngineEntry engine;
  bool over = false;
  TimeUs stop_at = kNow + kSecond;
};

TEST_F(Permission, AFirstAttemptOfAQueryThatIsWaitedForMayStart) { EXPECT_EQ(denied(), Denial::kNone); }

TEST_F(Permission, NothingStartsForAQueryThatIsOverOrOutOfTime) {
  stop_at = kNow + kMs - 1;
  EXPECT_EQ(denied(), Denial::kOutOfTime);
  over = true;
  EXPECT_EQ(denied(), Denial::kQueryOver);
}

TEST_F(Permission, NothingStartsAtAnEngineThatLeavesOrIsNotListed) {
  engine.state = EngineState::kDraining;
  EXPECT_EQ(denied(), Denial::kEngineLeaving);
  EXPECT_EQ(start_denied({load, nullptr, over, stop_at, limits}, {}, kNow), Denial::kEngineLeaving);
}

TEST_F(Permission, TwoAttemptsAreOutAtOnceOnlyWhereCopiesAreAllowed) {
  load.effect = Effect::kIdempotent;
  EarlierAttempt out = ran(kSecond);
  out.out = true;
  EXPECT_EQ(denied({out}), Denial::kAttemptOut);
  limits.second_copies = true;
  EXPECT_EQ(denied({out}), Denial::kNone);
}

TEST_F(Permission, ARepeatKeepsToItsWindowToTheMicrosecond) {
  EXPECT_EQ(denied({ran(5 * kSecond - 1)}), Denial::kNone);
  EXPECT_EQ(denied({ran(5 * kSecond)}), Denial::kWindowOver);
  EXPECT_EQ(denied({ran(5 * kSecond), ran(kSecond)}), Denial::kWindowOver);
  EXPECT_EQ(denied({ran(kSecond), ran(kSecond), ran(kSecond)}), Denial::kTooManyAttempts);
}

TEST_F(Permission, AttemptsThatWereNeverSentCountOnlyWhereTheSettingsSaySo) {
  load.effect = Effect::kIdempotent;
  EarlierAttempt unsent = ran(kSecond);
  unsent.may_have_run = false;
  unsent.unsent = true;
  EXPECT_EQ(denied({unsent, unsent, unsent}), Denial::kNone);
  EXPECT_EQ(denied(std::vector<EarlierAttempt>(12, unsent)), Denial::kTooManyAttempts);
  limits.unsent_attempts_count = true;
  EXPECT_EQ(denied({unsent, unsent}), Denial::kNone);
  EXPECT_EQ(denied({unsent, unsent, unsent}), Denial::kTooManyAttempts);
}

TEST_F(Permission, ARepeatKeepsToTheEnginesThatDropIt) {
  EarlierAttempt elsewhere = ran(kSecond);
  elsewhere.zone = "b";
  elsewhere.cell = 2;
  EXPECT_EQ(denied({elsewhere}), Denial::kNone);
  load.repeat_scope = RepeatScope::kZone;
  EXPECT_EQ(denied({elsewhere}), Denial::kOutsideScope);
  load.repeat_scope = RepeatScope::kCell;
  EXPECT_EQ(denied({elsewhere}), Denial::kOutsideScope);
}

TEST_F(Permission, WhatMayHaveRunOnceIsNeitherRepeatedNorRefused) {
  load.effect = Effect::kAtMostOnce;
  EarlierAttempt never = ran(kSecond);
  never.may_have_run = false;
  EXPECT_EQ(denied({ran(kSecond)}), Denial::kMayHaveRun);
  EXPECT_EQ(denied({never}), Denial::kNone);
  EXPECT_EQ(refusal_denied(load, ran(kSecond)), Denial::kMayHaveRun);
  EXPECT_EQ(refusal_denied(load, never), Denial::kNone);
}

class EngineStart : public ::testing::Test {
 protected:
  EngineStart() {
    rules.cold_from = 0.3;
    rules.cold_for = 15 * kSecond;
  }

  static WallTime wall(TimeUs later) { return {kWallNow.unix_us + later}; }

  Rules rules;
};

TEST_F(EngineStart, AnAgeWithinTheBoundIsTheWallClocks) {
  EngineStarts starts(rules);
  EXPECT_EQ(starts.instant_of("s", wall(-kSecond), kWallNow, kNow), kNow - kSecond);
}

// Either way: an engine that has just started is not taken for a warm one, nor one that is warm shunned for
// long.
TEST_F(EngineStart, AWrongWallClockMovesAStartNoFurtherThanItsBound) {
  for (const TimeUs wrong : {-3600 * kSecond, -3 * kSecond, 3 * kSecond, 3600 * kSecond}) {
    EngineStarts starts(rules);
    const TimeUs instant = starts.instant_of("s", kWallNow, wall(wrong), kNow);
    EXPECT_GE(instant, kNow - starts.trusted_age()) << wrong;
    EXPECT_LE(instant, kNow) << wrong;
  }
  EXPECT_LT(EngineStarts(rules).trusted_age(), 5 * kSecond);
}

TEST_F(EngineStart, TheSameStartHasTheSameInstantWhateverTheClocksSayLater) {
  EngineStarts starts(rules);
  const TimeUs first = starts.instant_of("s", kWallNow, kWallNow, kNow);
  EXPECT_EQ(starts.instant_of("s", kWallNow, wall(-3600 * kSecond), kNow + kSecond), first);
  EXPECT_EQ(starts.instant_of("s", wall(kSecond), wall(kSecond), kNow + kSecond), kNow + kSecond);
  starts.keep_only({});
  EXPECT_EQ(starts.size(), 0U);
}

// A machine that was booted a moment ago: an instant before its boot would pass for "a long time back".
TEST_F(EngineStart, AStartBeforeThisMachinesBootIsNotALongTimeBack) {
  EngineStarts starts(rules);
  EXPECT_GT(starts.instant_of("s", wall(-3 * kSecond), kWallNow, kSecond), 0);
}

}  // namespace
}  // namespace orchidgw
