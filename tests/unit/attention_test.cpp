// How long the event loop was stalled, with times set by the test.
#include "net/attention.h"

#include <gtest/gtest.h>

namespace orchidgw::net {
namespace {

constexpr TimeUs kMs = 1000;

TEST(StallTracker, LosesOnlyWhatPassedSinceTheLoopWasToBeBack) {
  StallTracker tracker;
  tracker.begin_turn(1'000'000 * kMs);  // the first turn: no stall is counted before it
  tracker.end_turn(1'000 * kMs);
  tracker.begin_turn(1'000'400 * kMs);  // woken early by a socket
  EXPECT_EQ(tracker.stalled_time(), 0);
  tracker.end_turn(100 * kMs);
  tracker.begin_turn(1'000'510 * kMs);  // within the tolerance for late timers
  EXPECT_EQ(tracker.stalled_time(), 0);
  tracker.end_turn(0);
  tracker.begin_turn(1'002'510 * kMs);  // two seconds in one turn
  EXPECT_EQ(tracker.stalled_time(), 1'980 * kMs);
  tracker.end_turn(100 * kMs);
  tracker.begin_turn(1'002'600 * kMs);
  EXPECT_EQ(tracker.stalled_time(), 1'980 * kMs);
}

// Guards against timers that act on what was known before a stall while newer events are unread; and against
// a process that is always late and never acts.
TEST(StallTracker, ATurnThatComesLateIsLeftToTheNextOneNeverTwiceInARow) {
  StallTracker tracker;
  EXPECT_FALSE(tracker.begin_turn(1'000'000 * kMs));
  tracker.end_turn(100 * kMs);
  EXPECT_FALSE(tracker.begin_turn(1'000'110 * kMs));
  tracker.end_turn(100 * kMs);
  EXPECT_TRUE(tracker.begin_turn(1'002'000 * kMs));
  tracker.end_turn(0);
  EXPECT_FALSE(tracker.begin_turn(1'003'000 * kMs));
  tracker.end_turn(0);
  EXPECT_TRUE(tracker.begin_turn(1'004'000 * kMs));
  tracker.end_turn(0);
  EXPECT_FALSE(tracker.begin_turn(1'004'001 * kMs));
}

// Guards against counting a client's time from when its request is processed: in a stall it came earlier
// (review/2).
TEST(StallTracker, WhatIsReadAfterALateTurnMayHaveArrivedSinceTheTurnBefore) {
  StallTracker tracker(999'500 * kMs);
  tracker.begin_turn(1'000'000 * kMs);
  EXPECT_EQ(tracker.earliest_arrival(), 999'500 * kMs);  // while the program started
  tracker.end_turn(20 * kMs);
  tracker.begin_turn(1'000'010 * kMs);
  tracker.end_turn(20 * kMs);
  tracker.begin_turn(1'000'020 * kMs);
  EXPECT_EQ(tracker.earliest_arrival(), 1'000'020 * kMs);
  tracker.end_turn(20 * kMs);
  tracker.begin_turn(1'001'940 * kMs);  // stalled for 1.9 s
  EXPECT_EQ(tracker.earliest_arrival(), 1'000'020 * kMs);
  tracker.end_turn(0);
  tracker.begin_turn(1'001'941 * kMs);  // what the poll before the stall did not report is read now
  EXPECT_EQ(tracker.earliest_arrival(), 1'000'020 * kMs);
  tracker.end_turn(20 * kMs);
  tracker.begin_turn(1'001'950 * kMs);
  EXPECT_EQ(tracker.earliest_arrival(), 1'001'950 * kMs);
}

}  // namespace
}  // namespace orchidgw::net
