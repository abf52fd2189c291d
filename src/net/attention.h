// When this process did not attend to its sockets: starved of CPU, stopped, or busy in one turn for long. No
// I/O, no clock.
#pragma once

#include <algorithm>

#include "decision/decision.h"

namespace orchidgw::net {

class Attention {
 public:
  // A turn begins at `now`. What passed since the loop was to be back, but for `kTolerance`, is lost. True if
  // the turn is to be left to the one after it, which comes once the sockets were read: never twice in a row,
  // lest a process that is always late does nothing but read.
  bool turn_begins(TimeUs now) {
    const TimeUs late = expected_turn_at_ > 0 ? std::max<TimeUs>(now - expected_turn_at_ - kTolerance, 0) : 0;
    stalled_time_ += late;
    turn_lateness_ = late;
    expected_turn_at_ = now;
    left_out_last_turn_ = late > 0 && !left_out_last_turn_;
    return left_out_last_turn_;
  }

  // The turn is over; the loop waits at most so long (us).
  void loop_waits(TimeUs wait) { expected_turn_at_ += wait; }

  // In us: by so much the turn that began last was late.
  TimeUs late() const { return turn_lateness_; }

  // In us, all in all. A limit of time that is counted without it lays nothing of that on the other side.
  TimeUs lost() const { return stalled_time_; }

 private:
  static constexpr TimeUs kTolerance = 20'000;  // what turns take and timers are late by without a stall
  TimeUs expected_turn_at_ = 0;                 // 0: no turn yet
  TimeUs stalled_time_ = 0;
  TimeUs turn_lateness_ = 0;
  bool left_out_last_turn_ = false;  // the last turn was left out
};

}  // namespace orchidgw::net
