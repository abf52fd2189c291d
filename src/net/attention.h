// When this process did not attend to its sockets: starved of CPU, stopped, or busy in one turn for long. No
// I/O, no clock.
#pragma once

#include <algorithm>

#include "decision/decision.h"

namespace orchidgw::net {

class Attention {
 public:
  // A turn begins at `now`. What passed since the loop was to be back, but for `kSlack`, is lost. True if the
  // turn is to be left to the one after it, which comes once the sockets were read: never twice in a row,
  // lest a process that is always late does nothing but read.
  bool turn_begins(TimeUs now) {
    const TimeUs late = back_by_ > 0 ? std::max<TimeUs>(now - back_by_ - kSlack, 0) : 0;
    lost_ += late;
    late_ = late;
    back_by_ = now;
    reads_first_ = late > 0 && !reads_first_;
    return reads_first_;
  }

  // The turn is over; the loop waits at most so long (us).
  void loop_waits(TimeUs wait) { back_by_ += wait; }

  // In us: by so much the turn that began last was late.
  TimeUs late() const { return late_; }

  // In us, all in all. A limit of time that is counted without it lays nothing of that on the other side.
  TimeUs lost() const { return lost_; }

 private:
  static constexpr TimeUs kSlack = 20'000;  // what turns take and timers are late by without a stall
  TimeUs back_by_ = 0;                      // 0: no turn yet
  TimeUs lost_ = 0;
  TimeUs late_ = 0;
  bool reads_first_ = false;  // the last turn was left out
};

}  // namespace orchidgw::net
