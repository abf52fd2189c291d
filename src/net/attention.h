// Measures for how long the event loop was stalled, so that sockets were not served: starved of CPU, stopped,
// or busy with one long turn. No I/O; the caller passes the time in.
#pragma once

#include <algorithm>

#include "decision/decision.h"

namespace orchidgw::net {

class StallTracker {
 public:
  // `started_at`: the earliest time at which what the first turn reads can have arrived.
  explicit StallTracker(TimeUs started_at = 0) : turn_began_at_(started_at) {}

  // Begins a turn at `now` (monotonic time). The time since the turn was expected, less `kTolerance`, counts
  // as stalled. True if the turn is late and must not act: its work is left to the next turn, which
  // comes after the sockets are read. Never true twice in a row, else a process that is always late would do
  // nothing but read.
  bool begin_turn(TimeUs now) {
    const TimeUs lateness =
        expected_turn_at_ > 0 ? std::max<TimeUs>(now - expected_turn_at_ - kTolerance, 0) : 0;
    stalled_time_ += lateness;
    turn_lateness_ = lateness;
    update_earliest_arrival(now, lateness > 0 || expected_turn_at_ == 0);
    expected_turn_at_ = now;
    left_out_last_turn_ = lateness > 0 && !left_out_last_turn_;
    return left_out_last_turn_;
  }

  // Ends the turn; the loop waits at most `wait` (us) before the next one.
  void end_turn(TimeUs wait) { expected_turn_at_ += wait; }

  // How late the current turn began, in us.
  TimeUs turn_lateness() const { return turn_lateness_; }

  // The earliest time at which what is read after the current turn's begin can have arrived on a connection
  // that had nothing unread in the turn before and was watched since. It is this turn's begin, or the begin
  // of the turn before where this turn is late. What arrived in a stall just before the previous turn may be
  // read only now, so a late turn counts for the next one too.
  TimeUs earliest_arrival() const { return earliest_arrival_; }

  // Sum of all stalls so far, in us. Time-outs that leave it out do not charge this process's stalls to the
  // peer.
  TimeUs stalled_time() const { return stalled_time_; }

 private:
  void update_earliest_arrival(TimeUs now, bool late) {
    const TimeUs unread_since = late ? turn_began_at_ : now;
    earliest_arrival_ = last_turn_was_late_ ? std::min(unread_since, last_unread_since_) : unread_since;
    last_unread_since_ = unread_since;
    last_turn_was_late_ = late;
    turn_began_at_ = now;
  }

  // Without a stall, a turn takes and a timer is late by this much at most.
  static constexpr TimeUs kTolerance = 20'000;
  TimeUs expected_turn_at_ = 0;  // 0: no turn so far
  TimeUs stalled_time_ = 0;
  TimeUs turn_lateness_ = 0;
  bool left_out_last_turn_ = false;
  TimeUs turn_began_at_;
  TimeUs earliest_arrival_ = 0;
  TimeUs last_unread_since_ = 0;  // what the turn before found, as is the next
  bool last_turn_was_late_ = false;
};

}  // namespace orchidgw::net
