// How long the event loop was stalled, with times set by the test.
#include "net/attention.h"

#include <gtest/gtest.h>

namespace orchidgw::net {
namespace {

constexpr TimeUs kMs = 1000;

TEST(Attention, LosesOnlyWhatPassedSinceTheLoopWasToBeBack) {
  Attention attention;
  attention.turn_begins(1'000'000 * kMs);  // the first turn: no stall is counted before it
  attention.loop_waits(1'000 * kMs);
  attention.turn_begins(1'000'400 * kMs);  // woken early by a socket
  EXPECT_EQ(attention.lost(), 0);
  attention.loop_waits(100 * kMs);
  attention.turn_begins(1'000'510 * kMs);  // within the tolerance for late timers
  EXPECT_EQ(attention.lost(), 0);
  attention.loop_waits(0);
  attention.turn_begins(1'002'510 * kMs);  // two seconds in one turn
  EXPECT_EQ(attention.lost(), 1'980 * kMs);
  attention.loop_waits(100 * kMs);
  attention.turn_begins(1'002'600 * kMs);
  EXPECT_EQ(attention.lost(), 1'980 * kMs);
}

// Guards against timers that act on what was known before a stall while newer events are unread; and against
// a process that is always late and never acts.
TEST(Attention, ATurnThatComesLateIsLeftToTheNextOneNeverTwiceInARow) {
  Attention attention;
  EXPECT_FALSE(attention.turn_begins(1'000'000 * kMs));
  attention.loop_waits(100 * kMs);
  EXPECT_FALSE(attention.turn_begins(1'000'110 * kMs));
  attention.loop_waits(100 * kMs);
  EXPECT_TRUE(attention.turn_begins(1'002'000 * kMs));
  attention.loop_waits(0);
  EXPECT_FALSE(attention.turn_begins(1'003'000 * kMs));
  attention.loop_waits(0);
  EXPECT_TRUE(attention.turn_begins(1'004'000 * kMs));
  attention.loop_waits(0);
  EXPECT_FALSE(attention.turn_begins(1'004'001 * kMs));
}

}  // namespace
}  // namespace orchidgw::net
