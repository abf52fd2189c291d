// Which starts, repeats and refusals are allowed (decision/permission.h), and the start times of engines on
// the monotonic clock (decision/engine_starts.h).
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
    query_class.effect = Effect::kDeduplicated;
    query_class.repeat_window = 5 * kSecond;
    limits.max_attempts = 3;
    engine.zone = "a";
    engine.cell = 1;
  }

  Denial start_denial(std::vector<EarlierAttempt> others = {}) const {
    return start_denied({query_class, &engine, query_ended, stop_at, limits}, others, kNow);
  }

  static EarlierAttempt may_have_run(TimeUs ago) { return {kNow - ago, false, true, "a", 1}; }

  ClassSettings query_class;
  PolicyLimits limits;
  EngineEntry engine;
  bool query_ended = false;
  TimeUs stop_at = kNow + kSecond;
};

TEST_F(Permission, FirstAttemptOfAnOpenQueryMayStart) { EXPECT_EQ(start_denial(), Denial::kNone); }

TEST_F(Permission, NothingStartsForAQueryThatHasEndedOrIsOutOfTime) {
  stop_at = kNow + kMs - 1;
  EXPECT_EQ(start_denial(), Denial::kOutOfTime);
  query_ended = true;
  EXPECT_EQ(start_denial(), Denial::kQueryOver);
}

TEST_F(Permission, NothingStartsAtAnEngineThatDrainsOrIsNotListed) {
  engine.state = EngineState::kDraining;
  EXPECT_EQ(start_denial(), Denial::kEngineLeaving);
  EXPECT_EQ(start_denied({query_class, nullptr, query_ended, stop_at, limits}, {}, kNow),
            Denial::kEngineLeaving);
}

TEST_F(Permission, TwoAttemptsAreInFlightOnlyWhereCopiesAreAllowed) {
  query_class.effect = Effect::kIdempotent;
  EarlierAttempt in_flight = may_have_run(kSecond);
  in_flight.in_flight = true;
  EXPECT_EQ(start_denial({in_flight}), Denial::kAttemptInFlight);
  limits.second_copies = true;
  EXPECT_EQ(start_denial({in_flight}), Denial::kNone);
}

TEST_F(Permission, RepeatIsDeniedFromTheEndOfItsWindowToTheMicrosecond) {
  EXPECT_EQ(start_denial({may_have_run(5 * kSecond - 1)}), Denial::kNone);
  EXPECT_EQ(start_denial({may_have_run(5 * kSecond)}), Denial::kWindowOver);
  EXPECT_EQ(start_denial({may_have_run(5 * kSecond), may_have_run(kSecond)}), Denial::kWindowOver);
  EXPECT_EQ(start_denial({may_have_run(kSecond), may_have_run(kSecond), may_have_run(kSecond)}),
            Denial::kTooManyAttempts);
}

TEST_F(Permission, AttemptsThatWereNeverSentCountOnlyWhereTheSettingsSaySo) {
  query_class.effect = Effect::kIdempotent;
  EarlierAttempt unsent = may_have_run(kSecond);
  unsent.may_have_run = false;
  unsent.unsent = true;
  EXPECT_EQ(start_denial({unsent, unsent, unsent}), Denial::kNone);
  EXPECT_EQ(start_denial(std::vector<EarlierAttempt>(12, unsent)), Denial::kTooManyAttempts);
  limits.count_unsent_attempts = true;
  EXPECT_EQ(start_denial({unsent, unsent}), Denial::kNone);
  EXPECT_EQ(start_denial({unsent, unsent, unsent}), Denial::kTooManyAttempts);
}

TEST_F(Permission, RepeatIsDeniedOutsideItsScope) {
  EarlierAttempt elsewhere = may_have_run(kSecond);
  elsewhere.zone = "b";
  elsewhere.cell = 2;
  EXPECT_EQ(start_denial({elsewhere}), Denial::kNone);
  query_class.repeat_scope = RepeatScope::kZone;
  EXPECT_EQ(start_denial({elsewhere}), Denial::kOutsideScope);
  query_class.repeat_scope = RepeatScope::kCell;
  EXPECT_EQ(start_denial({elsewhere}), Denial::kOutsideScope);
}

TEST_F(Permission, AtMostOnceQueryThatMayHaveRunIsNeitherRepeatedNorRefused) {
  query_class.effect = Effect::kAtMostOnce;
  EarlierAttempt did_not_run = may_have_run(kSecond);
  did_not_run.may_have_run = false;
  EXPECT_EQ(start_denial({may_have_run(kSecond)}), Denial::kMayHaveRun);
  EXPECT_EQ(start_denial({did_not_run}), Denial::kNone);
  EXPECT_EQ(refusal_denied(query_class, may_have_run(kSecond), kNow), Denial::kMayHaveRun);
  EXPECT_EQ(refusal_denied(query_class, did_not_run, kNow), Denial::kNone);
}

TEST_F(Permission, RefusalIsDeniedFromTheEndOfAnEarlierTrysWindow) {
  EarlierAttempt earlier_try = may_have_run(5 * kSecond - 1);
  earlier_try.of_earlier_try = true;
  EXPECT_EQ(refusal_denied(query_class, earlier_try, kNow), Denial::kNone);
  EXPECT_EQ(refusal_denied(query_class, earlier_try, kNow + 1), Denial::kMayHaveRun);
  EXPECT_EQ(refusal_denied(query_class, may_have_run(5 * kSecond), kNow), Denial::kNone);  // its own attempt
}

TEST_F(Permission, AnEarlierTryUnderTheKeyBindsLikeAnAttemptButDoesNotCountAsOne) {
  limits.max_attempts = 1;
  const auto denial_after = [&](const EarlierAttempt& earlier_try) {
    return start_denied({query_class, &engine, query_ended, stop_at, limits, earlier_try}, {}, kNow);
  };
  EXPECT_EQ(denial_after(may_have_run(5 * kSecond - 1)), Denial::kNone);
  EXPECT_EQ(denial_after(may_have_run(5 * kSecond)), Denial::kWindowOver);
}

class EngineStart : public ::testing::Test {
 protected:
  EngineStart() {
    rules.slow_start_initial_capacity = 0.3;
    rules.slow_start_duration = 15 * kSecond;
  }

  static WallTime wall_now_plus(TimeUs offset) { return {kWallNow.unix_us + offset}; }

  Rules rules;
};

TEST_F(EngineStart, AgeWithinTheBoundIsTakenFromTheWallClock) {
  EngineStarts starts(rules);
  EXPECT_EQ(starts.start_time_of("s", wall_now_plus(-kSecond), kWallNow, kNow), kNow - kSecond);
}

// Whichever way the clock is wrong: an engine that has just started is not taken for one past its slow start,
// and one that is past it is not avoided for long.
TEST_F(EngineStart, WrongWallClockMovesAStartNoFurtherThanTheBound) {
  for (const TimeUs clock_error : {-3600 * kSecond, -3 * kSecond, 3 * kSecond, 3600 * kSecond}) {
    EngineStarts starts(rules);
    const TimeUs started_at = starts.start_time_of("s", kWallNow, wall_now_plus(clock_error), kNow);
    EXPECT_GE(started_at, kNow - starts.max_trusted_age()) << clock_error;
    EXPECT_LE(started_at, kNow) << clock_error;
  }
  EXPECT_LT(EngineStarts(rules).max_trusted_age(), 5 * kSecond);
}

TEST_F(EngineStart, SameStartKeepsItsTimeWhateverTheClocksSayLater) {
  EngineStarts starts(rules);
  const TimeUs first = starts.start_time_of("s", kWallNow, kWallNow, kNow);
  EXPECT_EQ(starts.start_time_of("s", kWallNow, wall_now_plus(-3600 * kSecond), kNow + kSecond), first);
  EXPECT_EQ(starts.start_time_of("s", wall_now_plus(kSecond), wall_now_plus(kSecond), kNow + kSecond),
            kNow + kSecond);
  starts.keep_only({});
  EXPECT_EQ(starts.size(), 0U);
}

// Guards against a start time of 0 or less on a machine that was booted a moment ago: 0 means that the engine
// started a long time back.
TEST_F(EngineStart, StartBeforeThisMachinesBootIsNotALongTimeBack) {
  EngineStarts starts(rules);
  EXPECT_GT(starts.start_time_of("s", wall_now_plus(-3 * kSecond), kWallNow, kSecond), 0);
}

}  // namespace
}  // namespace orchidgw
